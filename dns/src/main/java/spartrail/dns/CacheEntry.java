package spartrail.dns;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.xbill.DNS.Name;
import org.xbill.DNS.Record;
import spartrail.model.TimerQueue;

/** A name and type that is cached or asked for. The resolver and its queries share the fields that are not private. */
final class CacheEntry {
    /** The followed services that need it. */
    final Set<FollowedService> users = new LinkedHashSet<>();
    /** The query in flight, or null. */
    DnsQuery query;
    /** Whether it waits for a query in flight to end. */
    boolean isQueued;
    /** Queries sent for the present name of the chain. */
    int attempts;
    /** Rounds of attempts in a row without an answer. */
    int failures;
    /** Aliases followed so far. */
    int chainLength;
    /** The name that the chain of aliases has led to. */
    Name chainName;
    /** The least TTL of the chain. */
    double chainTtlMs = Double.MAX_VALUE;
    /** The server that was asked last, and when. */
    NameServer server;

    double sentMs;
    /** When it is refreshed, or null. */
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

    /** Null before the first answer; empty where there is none. */
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

    /** Whether its records may be used, fresh or stale. */
    boolean isUsable(double nowMs, double maxStaleMs) {
        return hasAnswer() && nowMs < expiresMs + maxStaleMs;
    }

    /** Whether the search for it has come to an end, with an answer or without. */
    boolean isSettled() {
        return hasAnswer() || failures > 0;
    }

    /** Whether it is asked for already, or waits to be. */
    boolean isPending() {
        return query != null || isQueued;
    }

    void store(List<Record> newRecords, double newTtlMs, double nowMs) {
        records = newRecords;
        ttlMs = newTtlMs;
        expiresMs = nowMs + newTtlMs;
        failures = 0;
    }

    /** Begins the chain anew. */
    void resetChain() {
        attempts = 0;
        chainLength = 0;
        chainName = name;
        chainTtlMs = Double.MAX_VALUE;
    }
}
