package spartrail.dns;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.xbill.DNS.DClass;
import org.xbill.DNS.Flags;
import org.xbill.DNS.Message;
import org.xbill.DNS.OPTRecord;
import org.xbill.DNS.Record;
import org.xbill.DNS.Section;

/**
 * The queries in flight, whose number is limited, the queries to be sent, and the entries that wait until a query in
 * flight ends.
 */
final class QueryDispatcher {
    /** The largest UDP message that is not fragmented on common networks (DNS Flag Day 2020). */
    private static final int EDNS_SIZE_BYTES = 1232;

    private static final int ID_COUNT = 1 << 16;
    private static final int MAX_TIMEOUT_DOUBLINGS = 2;

    private final ResolverSettings settings;
    private final RandomGenerator random;
    private final NameServerSelector servers;
    private final ResolverCounts counts;
    private final Map<Long, CacheEntry> inFlight = new HashMap<>();
    private final Deque<CacheEntry> waiting = new ArrayDeque<>();
    private final List<DnsQuery> unsent = new ArrayList<>();
    private long nextNumber;

    QueryDispatcher(
            List<InetSocketAddress> nameServers,
            ResolverSettings settings,
            RandomGenerator random,
            ResolverCounts counts) {
        this.settings = settings;
        this.random = random;
        this.servers = new NameServerSelector(nameServers, random);
        this.counts = counts;
    }

    int inFlight() {
        return inFlight.size();
    }

    /** The entry of the query; null if the query is not in flight any more. */
    CacheEntry find(DnsQuery query) {
        return inFlight.get(query.number());
    }

    /** Returns the queries to be sent now, each once. */
    List<DnsQuery> takeUnsent() {
        List<DnsQuery> queries = List.copyOf(unsent);
        unsent.clear();
        return queries;
    }

    /** Sends a query for the entry now, or after another query has ended if too many are in flight. */
    void enqueue(CacheEntry entry, double nowMs) {
        if (inFlight.size() >= settings.maxInFlight()) {
            entry.isQueued = true;
            waiting.add(entry);
        } else {
            send(entry, servers.select(entry), false, nowMs);
        }
    }

    /** Sends the waiting queries up to the maximum number in flight. */
    void sendWaiting(double nowMs) {
        while (!waiting.isEmpty() && inFlight.size() < settings.maxInFlight()) {
            CacheEntry entry = waiting.poll();
            entry.isQueued = false;
            send(entry, servers.select(entry), false, nowMs);
        }
    }

    /** Sends another query for the entry; returns false if its attempts are used up. */
    boolean retry(CacheEntry entry, double nowMs) {
        if (entry.attempts >= settings.attempts()) {
            return false;
        }
        send(entry, servers.select(entry), false, nowMs);
        return true;
    }

    /** Sends a query to the same name server over TCP. */
    void retryOverTcp(CacheEntry entry, double nowMs) {
        send(entry, entry.server, true, nowMs);
    }

    private void send(CacheEntry entry, NameServer server, boolean isTcp, double nowMs) {
        int id = random.nextInt(ID_COUNT);
        byte[] message = createMessage(id, entry).toWire();
        double timeoutMs = timeoutForAttemptMs(entry.attempts);
        entry.attempts++;
        entry.server = server;
        entry.sentMs = nowMs;
        entry.query = new DnsQuery(
                nextNumber++,
                entry.chainName.toString(),
                entry.type(),
                server.address(),
                isTcp,
                id,
                message,
                timeoutMs);
        inFlight.put(entry.query.number(), entry);
        unsent.add(entry.query);
        counts.increment(isTcp ? ResolverCounts.SENT_TCP : ResolverCounts.SENT_UDP);
    }

    private static Message createMessage(int id, CacheEntry entry) {
        Message message = new Message(id);
        message.getHeader().setFlag(Flags.RD);
        message.addRecord(Record.newRecord(entry.chainName, entry.type(), DClass.IN), Section.QUESTION);
        message.addRecord(new OPTRecord(EDNS_SIZE_BYTES, 0, 0), Section.ADDITIONAL);
        return message;
    }

    private double timeoutForAttemptMs(int attempts) {
        int factor = 1 << Math.min(MAX_TIMEOUT_DOUBLINGS, attempts);
        return settings.timeoutMs() * factor;
    }

    /** Removes the entry's query, which has ended. */
    void complete(CacheEntry entry) {
        inFlight.remove(entry.query.number());
        entry.query = null;
    }
}
