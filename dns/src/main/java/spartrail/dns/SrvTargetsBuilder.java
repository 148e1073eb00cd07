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

/** Builds the targets of one service from the records that are cached now. */
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

    /** Whether targets were dropped because there are too many. */
    boolean hasTooManyTargets() {
        return hasTooManyTargets;
    }

    /** Builds the targets; returns null while queries for the service have not had a first result. */
    SrvTargets build(FollowedService service) {
        CacheEntry entry = service.entry();
        if (!isUsable(entry)) {
            return entry.isSettled() ? SrvTargets.unavailable(service.name()) : null;
        }
        ttlMs = entry.ttlMs();
        for (Record record : entry.records()) {
            SRVRecord target = (SRVRecord) record;
            // The root as target means that the service is not available (RFC 2782).
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

    /** Adds the target if its address is known; returns false while the first query for the address has no result. */
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
                String smallest = selectSmallestAddress(entry.records());
                address = address == null ? smallest : address;
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

    /** Selects the alphabetically smallest of several addresses, so that the selection is always the same. */
    private static String selectSmallestAddress(List<Record> records) {
        return records.stream()
                .map(SrvTargetsBuilder::formatAddress)
                .min(String::compareTo)
                .orElseThrow();
    }

    private static String formatAddress(Record record) {
        if (record instanceof ARecord ipv4) {
            return ipv4.getAddress().getHostAddress();
        }
        return "[" + ((AAAARecord) record).getAddress().getHostAddress() + "]";
    }
}
