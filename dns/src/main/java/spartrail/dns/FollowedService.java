package spartrail.dns;

/** An SRV name that is followed, and its targets as they were last published. */
final class FollowedService {
    private final String name;
    private final CacheEntry entry;
    private SrvTargets lastTargets;

    FollowedService(String name, CacheEntry entry) {
        this.name = name;
        this.entry = entry;
    }

    String name() {
        return name;
    }

    CacheEntry entry() {
        return entry;
    }

    /** Replaces the last targets; returns whether the new ones differ from them. */
    boolean replaceTargets(SrvTargets srvTargets) {
        if (srvTargets.equals(lastTargets)) {
            return false;
        }
        lastTargets = srvTargets;
        return true;
    }
}
