package spartrail.dns;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.xbill.DNS.Name;
import org.xbill.DNS.Record;
import spartrail.model.TimerQueue;

/**
 * The cache entry of a name and type, with the state of its query. The fields that are not private are shared by this
 * package.
 */
final class CacheEntry {
    /** The followed services that need this entry. */
    final Set<FollowedService> users = new LinkedHashSet<>();
    /** The query in flight, or null. */
    DnsQuery query;
    /** Whether the entry waits for a query of another entry to end, as too many are in flight. */
    boolean isQueued;
    /** The number of queries sent for the current name of the chain. */
    int attempts;
    /** The number of consecutive rounds of attempts without an answer. */
    int failures;
    /** The number of aliases followed so far. */
    int chainLength;
    /** The name that the chain of aliases has reached. */
    Name chainName;
    /** The minimum TTL of the records of the chain. */
    double chainTtlMs = Double.MAX_VALUE;
    /** The server that received the last query. */
    NameServer server;

    /** When the last query was sent. */
    double sentMs;
    /** The timer of the next refresh, or null. */
    TimerQueue.Timer refresh;

    private final Name name;
    private final int type;
    private List<Record> records;
    private double expiresMs = Double.NEGATIVE_INFINITY;
    private double ttlMs;

    CacheEntry(Name name, int type) {
        this.name = name;
        this.type = type;
    }

    Name name() {
        return name;
    }

    int type() {
        return type;
    }

    /** The cached records; null before the first answer, empty if the answer is that there are no records. */
    List<Record> records() {
        return records;
    }

    double ttlMs() {
        return ttlMs;
    }

    boolean hasAnswer() {
        return records != null;
    }

    boolean isFresh(double nowMs) {
        return hasAnswer() && nowMs < expiresMs;
    }

    boolean isExpired(double nowMs) {
        return nowMs >= expiresMs;
    }

    /** Whether the records may be used, fresh or stale. */
    boolean isUsable(double nowMs, double maxStaleMs) {
        return hasAnswer() && nowMs < expiresMs + maxStaleMs;
    }

    /** Whether there has been an answer or at least one round of attempts without an answer. */
    boolean isSettled() {
        return hasAnswer() || failures > 0;
    }

    /** Whether a query is in flight or waiting to be sent. */
    boolean isPending() {
        return query != null || isQueued;
    }

    void store(List<Record> newRecords, double newTtlMs, double nowMs) {
        records = newRecords;
        ttlMs = newTtlMs;
        expiresMs = nowMs + newTtlMs;
        failures = 0;
    }

    /** Restarts the chain at the name of the entry. */
    void resetChain() {
        attempts = 0;
        chainLength = 0;
        chainName = name;
        chainTtlMs = Double.MAX_VALUE;
    }
}
