package spartrail.dns;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.xbill.DNS.DClass;
import org.xbill.DNS.Message;
import org.xbill.DNS.Name;
import org.xbill.DNS.Rcode;
import org.xbill.DNS.Record;
import org.xbill.DNS.SRVRecord;
import org.xbill.DNS.Section;
import org.xbill.DNS.TextParseException;
import org.xbill.DNS.Type;
import spartrail.model.TimerQueue;

/**
 * Follows SRV names (RFC 2782) over several name servers: decides which query to send next to which server, and
 * determines the current targets. The resolver has no clock and does no I/O. Its host sends the queries, passes in
 * responses, timeouts and failures, and calls {@link #advance} when something is due.
 *
 * <pre>
 * state      event                                   next
 * idle       refresh due, or needed for a service    in flight: one query at a time for a name and type
 * in flight  a valid response with records           cached for the minimum TTL of its chain, refreshed before expiry
 * in flight  a valid response without records        cached as negative answer, for the time of the SOA (RFC 2308)
 * in flight  truncated, over UDP                     in flight to the same server over TCP; truncated records are not
 *                                                    used
 * in flight  a failure code, a timeout, TCP refused  in flight to another server with a longer timeout, up to the
 *                                                    maximum number of attempts
 * in flight  all attempts used up                    cached records are used as stale (RFC 8767); the next round
 *                                                    follows after a backoff
 * in flight  a message that does not match           dropped and counted; the query stays in flight
 * stale      longer than allowed                     unavailable: the targets of the name are unknown
 * </pre>
 *
 * <p>Cost: a response takes time proportional to its records and the services that need them; {@link #advance}
 * iterates over all services and marks them for a check of their targets.
 */
public final class Resolver {
    private static final int[] IPV4_ONLY = {Type.A};
    private static final int[] IPV4_AND_IPV6 = {Type.A, Type.AAAA};
    private static final int MAX_BACKOFF_DOUBLINGS = 20;
    private static final double MIN_BACKOFF_SHARE = 0.75;
    private static final double BACKOFF_JITTER_SHARE = 0.5;
    private static final double MIN_REFRESH_SHARE = 0.75;
    private static final double REFRESH_JITTER_SHARE = 0.15;

    private final ResolverSettings settings;
    private final RandomGenerator random;
    private final ResponseValidator validator;
    private final int[] addressTypes;
    private final String bailiwick;
    private final ResolverCounts counts = new ResolverCounts();
    private final QueryDispatcher queries;
    private final RecordCache cache = new RecordCache();
    private final Map<String, FollowedService> services = new LinkedHashMap<>();
    private final Set<FollowedService> touched = new LinkedHashSet<>();
    private final TimerQueue timers = new TimerQueue();
    private double nowMs;

    /**
     * Creates a resolver that follows no name yet.
     *
     * @param bailiwick addresses in the additional section of a response are used only for names within this domain
     * @param hasIpv6 whether AAAA records are queried in addition to A records
     */
    public Resolver(
            List<InetSocketAddress> nameServers,
            String bailiwick,
            boolean hasIpv6,
            ResolverSettings settings,
            RandomGenerator random) {
        this(nameServers, bailiwick, hasIpv6, settings, random, new ResponseValidator());
    }

    Resolver(
            List<InetSocketAddress> nameServers,
            String bailiwick,
            boolean hasIpv6,
            ResolverSettings settings,
            RandomGenerator random,
            ResponseValidator validator) {
        this.bailiwick = ("." + bailiwick.toLowerCase(Locale.ROOT) + ".").replaceAll("\\.+", ".");
        this.addressTypes = hasIpv6 ? IPV4_AND_IPV6 : IPV4_ONLY;
        this.settings = settings;
        this.random = random;
        this.validator = validator;
        this.queries = new QueryDispatcher(nameServers, settings, random, counts);
    }

    /** Follows this SRV name from now on; throws an IllegalArgumentException if it is not a valid name. */
    public void follow(String name, double atMs) {
        nowMs = atMs;
        CacheEntry entry = cache.getOrCreate(parseName(name), Type.SRV);
        FollowedService service = services.computeIfAbsent(name, key -> new FollowedService(key, entry));
        entry.users.add(service);
        queryIfNeeded(entry);
    }

    private static Name parseName(String name) {
        try {
            return Name.fromString(name, Name.root);
        } catch (TextParseException e) {
            throw new IllegalArgumentException("'" + name + "' is not a valid DNS name: " + e.getMessage(), e);
        }
    }

    // Queries

    /** Runs the timers that are due at this time. */
    public void advance(double atMs) {
        nowMs = atMs;
        timers.runDue(atMs);
        // The records of any service may have expired in the meantime.
        touched.addAll(services.values());
    }

    /** When the next timer of {@link #advance} is due; {@code Double.MAX_VALUE} if there is none. */
    public double nextDueMs() {
        return timers.nextDueMs();
    }

    /** Returns the queries to be sent now, each once. */
    public List<DnsQuery> takeQueries() {
        return queries.takeUnsent();
    }

    /** The number of queries in flight. */
    public int inFlight() {
        return queries.inFlight();
    }

    private void queryIfNeeded(CacheEntry entry) {
        boolean isScheduled = entry.refresh != null;
        if (!entry.isPending() && !entry.isFresh(nowMs) && !isScheduled) {
            startQuery(entry);
        }
    }

    private void startQuery(CacheEntry entry) {
        entry.resetChain();
        cancelRefresh(entry);
        queries.enqueue(entry, nowMs);
    }

    private void scheduleRefresh(CacheEntry entry, double atMs) {
        cancelRefresh(entry);
        entry.refresh = timers.schedule(atMs, () -> {
            entry.refresh = null;
            refreshOrRemove(entry);
        });
    }

    private void refreshOrRemove(CacheEntry entry) {
        if (entry.users.isEmpty()) {
            cache.remove(entry);
        } else if (!entry.isPending()) {
            startQuery(entry);
        }
    }

    private void cancelRefresh(CacheEntry entry) {
        if (entry.refresh != null) {
            timers.cancel(entry.refresh);
            entry.refresh = null;
        }
    }

    // Responses

    /**
     * Passes in a message received for a query; returns false if it is not the response, so that the host keeps
     * waiting.
     */
    public boolean onResponse(DnsQuery query, byte[] bytes, InetSocketAddress from, double atMs) {
        nowMs = atMs;
        CacheEntry entry = queries.find(query);
        if (entry == null) {
            counts.increment(ResolverCounts.UNEXPECTED);
            return false;
        }
        if (!query.server().equals(from)) {
            counts.increment(ResolverCounts.OTHER_ADDRESS);
            return false;
        }
        Message message = decode(bytes);
        if (message == null || !isResponse(query, message)) {
            return false;
        }
        queries.complete(entry);
        entry.server.recordResponse(nowMs - entry.sentMs);
        handleResponse(entry, query, message);
        return true;
    }

    /** Decodes a message; returns null if the bytes are malformed. */
    private Message decode(byte[] bytes) {
        try {
            return new Message(bytes);
        } catch (IOException | RuntimeException e) {
            // The library reports some malformed messages by unchecked exceptions.
            counts.increment(ResolverCounts.UNREADABLE);
            return null;
        }
    }

    private boolean isResponse(DnsQuery query, Message message) {
        if (!validator.hasId(query, message)) {
            counts.increment(ResolverCounts.OTHER_ID);
            return false;
        }
        if (!validator.answersQuestion(query, message)) {
            counts.increment(ResolverCounts.OTHER_QUESTION);
            return false;
        }
        return true;
    }

    private void handleResponse(CacheEntry entry, DnsQuery query, Message message) {
        boolean isTruncated = validator.isTruncated(message);
        if (isTruncated && !query.isTcp()) {
            counts.increment(ResolverCounts.TRUNCATED);
            queries.retryOverTcp(entry, nowMs);
            return;
        }
        int code = message.getRcode();
        boolean isAnswer = code == Rcode.NOERROR || code == Rcode.NXDOMAIN;
        if (!isAnswer || isTruncated) {
            counts.incrementFailure(Rcode.string(code));
            retryOrBackOff(entry);
            return;
        }
        storeAnswer(entry, message);
        queries.sendWaiting(nowMs);
    }

    /** Reports that no response arrived within the timeout of the query. */
    public void onTimeout(DnsQuery query, double atMs) {
        fail(query, ResolverCounts.TIMED_OUT, atMs);
    }

    /** Reports that the connection was refused or broken, or that no socket could be opened. */
    public void onFailure(DnsQuery query, double atMs) {
        fail(query, ResolverCounts.NO_CONNECTION, atMs);
    }

    private void fail(DnsQuery query, String event, double atMs) {
        nowMs = atMs;
        CacheEntry entry = queries.find(query);
        if (entry != null) {
            counts.increment(event);
            entry.server.recordFailure(query.timeoutMs());
            queries.complete(entry);
            retryOrBackOff(entry);
        }
    }

    /**
     * Starts another attempt. After the last attempt, cached records stay in use and the next round follows after a
     * backoff.
     */
    private void retryOrBackOff(CacheEntry entry) {
        if (queries.retry(entry, nowMs)) {
            return;
        }
        entry.failures++;
        counts.increment(ResolverCounts.NO_SERVER_ANSWERS);
        double jitter = MIN_BACKOFF_SHARE + BACKOFF_JITTER_SHARE * random.nextDouble();
        scheduleRefresh(entry, nowMs + backoffMs(entry.failures) * jitter);
        touched.addAll(entry.users);
        queries.sendWaiting(nowMs);
    }

    private double backoffMs(int failures) {
        int doublings = Math.min(MAX_BACKOFF_DOUBLINGS, failures - 1);
        return Math.min(settings.maxFailureBackoffMs(), settings.failureBackoffMs() * Math.pow(2, doublings));
    }

    // Records

    private void storeAnswer(CacheEntry entry, Message message) {
        AliasChain chain = new AliasChain(entry);
        chain.follow(message);
        entry.chainLength = chain.length();
        if (chain.isTooLong()) {
            counts.increment(ResolverCounts.ENDLESS_CHAIN);
            entry.attempts = settings.attempts();
            retryOrBackOff(entry);
            return;
        }
        List<Record> records = chain.records();
        boolean hasLeftResponse = !chain.name().equals(entry.chainName);
        if (records.isEmpty() && hasLeftResponse) {
            entry.chainName = chain.name();
            entry.chainTtlMs = chain.ttlMs();
            entry.attempts = 0;
            queries.enqueue(entry, nowMs);
            return;
        }
        double ttlMs = chain.ttlMs();
        if (records.isEmpty()) {
            counts.increment(ResolverCounts.NO_RECORDS);
            ttlMs = Math.min(settings.maxNegativeTtlMs(), Ttl.negativeMs(message, settings.failureBackoffMs()));
        }
        store(entry, records, ttlMs);
        if (entry.type() == Type.SRV) {
            storeAdditionalAddresses(entry, message);
            records.forEach(record -> queryAddresses(entry, (SRVRecord) record));
        }
    }

    private void store(CacheEntry entry, List<Record> records, double ttlMs) {
        double boundedMs = Math.max(settings.minTtlMs(), Math.min(settings.maxTtlMs(), ttlMs));
        entry.store(records, boundedMs, nowMs);
        // Refreshed at a random time before expiry, so that names cached together are not queried together.
        double share = MIN_REFRESH_SHARE + REFRESH_JITTER_SHARE * random.nextDouble();
        scheduleRefresh(entry, nowMs + Math.max(settings.minTtlMs(), boundedMs * share));
        touched.addAll(entry.users);
    }

    /**
     * Stores the addresses of targets in the additional section as if they had been queried, if within the bailiwick.
     */
    private void storeAdditionalAddresses(CacheEntry srv, Message message) {
        Map<String, List<Record>> byKey = new LinkedHashMap<>();
        Set<String> wanted = targetNames(srv);
        for (Record record : message.getSection(Section.ADDITIONAL)) {
            if (!isAddress(record) || !wanted.contains(toLowerCase(record.getName()))) {
                continue;
            }
            if (!isInBailiwick(record.getName())) {
                counts.increment(ResolverCounts.OUT_OF_BAILIWICK);
                continue;
            }
            String key = RecordCache.key(record.getName(), record.getType());
            byKey.computeIfAbsent(key, unused -> new ArrayList<>()).add(record);
        }
        byKey.values().forEach(this::storeAddresses);
    }

    private static Set<String> targetNames(CacheEntry srv) {
        Set<String> names = new LinkedHashSet<>();
        srv.records().forEach(record -> names.add(toLowerCase(((SRVRecord) record).getTarget())));
        return names;
    }

    private static String toLowerCase(Name name) {
        return name.toString().toLowerCase(Locale.ROOT);
    }

    private boolean isAddress(Record record) {
        boolean isWantedType = false;
        for (int type : addressTypes) {
            isWantedType |= record.getType() == type;
        }
        return isWantedType && record.getDClass() == DClass.IN;
    }

    /**
     * Whether the name is in the bailiwick; otherwise a server of one zone could supply addresses for names of any
     * zone.
     */
    private boolean isInBailiwick(Name name) {
        return ("." + toLowerCase(name)).endsWith(bailiwick);
    }

    private void storeAddresses(List<Record> records) {
        Record first = records.get(0);
        CacheEntry entry = cache.getOrCreate(first.getName(), first.getType());
        if (entry.isPending()) {
            return;
        }
        double ttlMs = Double.MAX_VALUE;
        for (Record record : records) {
            ttlMs = Ttl.minMs(ttlMs, record);
        }
        store(entry, records, ttlMs);
    }

    private void queryAddresses(CacheEntry srv, SRVRecord record) {
        // The root as target means that the service is not available (RFC 2782).
        if (record.getTarget().equals(Name.root)) {
            return;
        }
        for (int type : addressTypes) {
            CacheEntry address = cache.getOrCreate(record.getTarget(), type);
            address.users.addAll(srv.users);
            queryIfNeeded(address);
        }
    }

    // Targets

    /** The targets that have changed since the last call, without services whose first queries have no result yet. */
    public List<SrvTargets> takeChangedTargets(double atMs) {
        nowMs = atMs;
        List<SrvTargets> changed = new ArrayList<>();
        for (FollowedService service : touched) {
            SrvTargetsBuilder builder = new SrvTargetsBuilder(cache, settings, addressTypes, nowMs);
            SrvTargets srvTargets = builder.build(service);
            if (builder.hasTooManyTargets()) {
                counts.increment(ResolverCounts.TOO_MANY_TARGETS);
            }
            if (srvTargets != null && service.replaceTargets(srvTargets)) {
                changed.add(srvTargets);
            }
        }
        touched.clear();
        return changed;
    }

    /** The counters of events, by name. */
    public Map<String, Long> counts() {
        return counts.asMap();
    }

    int cachedEntryCount() {
        return cache.size();
    }
}
