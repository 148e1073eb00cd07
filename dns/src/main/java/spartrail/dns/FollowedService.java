package spartrail.dns;

/** An SRV name that is followed, and the targets that were last handed out. */
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

    /** Whether the targets differ from the last ones, which they replace. */
    boolean replaceTargets(SrvTargets srvTargets) {
        if (srvTargets.equals(lastTargets)) {
            return false;
        }
        lastTargets = srvTargets;
        return true;
    }
}
