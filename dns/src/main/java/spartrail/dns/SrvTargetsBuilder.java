package spartrail.dns;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.xbill.DNS.AAAARecord;
import org.xbill.DNS.ARecord;
import org.xbill.DNS.Name;
import org.xbill.DNS.Record;
import org.xbill.DNS.SRVRecord;
import org.xbill.DNS.Type;

/** Puts the targets of one service together from what is cached now. */
final class SrvTargetsBuilder {
    private final RecordCache cache;
    private final ResolverSettings settings;
    private final int[] addressTypes;
    private final double nowMs;
    private final List<SrvTargets.Target> targets = new ArrayList<>();
    private boolean isComplete = true;
    private boolean hasTooManyTargets;
    private double ttlMs;

    SrvTargetsBuilder(RecordCache cache, ResolverSettings settings, int[] addressTypes, double nowMs) {
        this.cache = cache;
        this.settings = settings;
        this.addressTypes = addressTypes;
        this.nowMs = nowMs;
    }

    /** Whether targets were left out as there are too many. */
    boolean hasTooManyTargets() {
        return hasTooManyTargets;
    }

    /** The targets; null while the service's first answers are still on their way. */
    SrvTargets build(FollowedService service) {
        CacheEntry entry = service.entry();
        if (!isUsable(entry)) {
            return entry.isSettled() ? SrvTargets.unavailable(service.name()) : null;
        }
        ttlMs = entry.ttlMs();
        for (Record record : entry.records()) {
            SRVRecord target = (SRVRecord) record;
            // A target of the root says that there is no such service (RFC 2782).
            if (target.getTarget().equals(Name.root)) {
                continue;
            }
            if (targets.size() >= settings.maxTargets()) {
                hasTooManyTargets = true;
                isComplete = false;
                break;
            }
            if (!addTarget(target)) {
                return null;
            }
        }
        targets.sort(Comparator.comparing(SrvTargets.Target::address));
        return new SrvTargets(service.name(), isComplete, entry.isExpired(nowMs), false, List.copyOf(targets), ttlMs);
    }

    private boolean isUsable(CacheEntry entry) {
        return entry != null && entry.isUsable(nowMs, settings.maxStaleMs());
    }

    /** Adds the target if its address is known; false while the address is still asked for. */
    private boolean addTarget(SRVRecord target) {
        String address = null;
        boolean areAddressesKnown = true;
        for (int type : addressTypes) {
            CacheEntry entry = cache.find(target.getTarget(), type);
            if (!isUsable(entry)) {
                areAddressesKnown = false;
                continue;
            }
            if (!entry.records().isEmpty()) {
                String least = leastAddress(entry.records());
                address = address == null ? least : address;
                ttlMs = Math.min(ttlMs, entry.ttlMs());
            }
        }
        if (address == null) {
            isComplete &= areAddressesKnown;
            return areAddressesKnown || isAddressSettled(target);
        }
        targets.add(new SrvTargets.Target(
                target.getTarget().toString(true),
                address + ":" + target.getPort(),
                target.getPriority(),
                target.getWeight()));
        return true;
    }

    private boolean isAddressSettled(SRVRecord target) {
        CacheEntry entry = cache.find(target.getTarget(), Type.A);
        return entry != null && entry.isSettled();
    }

    /** Of a server with several addresses the least, so that it is the same one each time. */
    private static String leastAddress(List<Record> records) {
        return records.stream()
                .map(SrvTargetsBuilder::address)
                .min(String::compareTo)
                .orElseThrow();
    }

    private static String address(Record record) {
        if (record instanceof ARecord four) {
            return four.getAddress().getHostAddress();
        }
        return "[" + ((AAAARecord) record).getAddress().getHostAddress() + "]";
    }
}
