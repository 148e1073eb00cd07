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
 * Follows SRV names (RFC 2782) over several name servers: what to ask whom next, and what the targets are now. No I/O, no clock;
 * the host sends the queries, hands in responses, timeouts and failures, and asks what is due.
 *
 * <pre>
 * state      event                                   next
 * idle       refresh due, or needed for a service    in flight: one query at a time for a name and type
 * in flight  a response that fits                    cached for the least TTL of its chain, refreshed ahead of its end
 * in flight  one that says there is none             cached as none, by the SOA (RFC 2308)
 * in flight  truncated, over UDP                     in flight to the same server over TCP; what was cut is never used
 * in flight  a failure code, a timeout, TCP refused  in flight to the next server, with a longer wait, so many attempts
 * in flight  all attempts used up                    what is cached goes on stale (RFC 8767), next round after a backoff
 * in flight  what does not fit the query             dropped and counted; the true response is still waited for
 * stale      longer than allowed                     unavailable: nothing can be said of the name
 * </pre>
 *
 * <p>Cost: a response costs its records and the services that need them; {@link #advance} walks all services.
 */
public final class Resolver {
    private static final int[] IPV4_ONLY = {Type.A};
    private static final int[] IPV4_AND_IPV6 = {Type.A, Type.AAAA};
    private static final int MAX_BACKOFF_DOUBLINGS = 20;
    private static final double BACKOFF_LEAST_SHARE = 0.75;
    private static final double BACKOFF_JITTER_SHARE = 0.5;
    private static final double REFRESH_LEAST_SHARE = 0.75;
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
     * Additional addresses of a response count only for names within {@code bailiwick}; AAAA is asked for only with
     * {@code hasIpv6}.
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

    /** Follows this SRV name from now on; an IllegalArgumentException where it is no name. */
    public void follow(String name, double atMs) {
        nowMs = atMs;
        CacheEntry entry = cache.getOrCreate(parse(name), Type.SRV);
        FollowedService service = services.computeIfAbsent(name, key -> new FollowedService(key, entry));
        entry.users.add(service);
        askIfNeeded(entry);
    }

    private static Name parse(String name) {
        try {
            return Name.fromString(name, Name.root);
        } catch (TextParseException e) {
            throw new IllegalArgumentException("'" + name + "' is no name: " + e.getMessage(), e);
        }
    }

    // Queries

    /** Does what is due by now. */
    public void advance(double atMs) {
        nowMs = atMs;
        timers.runDue(atMs);
        // The records of a service may have become too old meanwhile.
        touched.addAll(services.values());
    }

    /** When {@link #advance} has something to do next. */
    public double nextMs() {
        return timers.nextDueMs();
    }

    /** The queries that are to be sent now. */
    public List<DnsQuery> takeQueries() {
        return queries.takeUnsent();
    }

    /** Queries in flight. */
    public int inFlight() {
        return queries.inFlight();
    }

    private void askIfNeeded(CacheEntry entry) {
        boolean isScheduled = entry.refresh != null;
        if (!entry.isPending() && !entry.isFresh(nowMs) && !isScheduled) {
            ask(entry);
        }
    }

    private void ask(CacheEntry entry) {
        entry.resetChain();
        cancelRefresh(entry);
        queries.enqueue(entry, nowMs);
    }

    private void scheduleRefresh(CacheEntry entry, double atMs) {
        cancelRefresh(entry);
        entry.refresh = timers.schedule(atMs, () -> {
            entry.refresh = null;
            refreshOrForget(entry);
        });
    }

    private void refreshOrForget(CacheEntry entry) {
        if (entry.users.isEmpty()) {
            cache.remove(entry);
        } else if (!entry.isPending()) {
            ask(entry);
        }
    }

    private void cancelRefresh(CacheEntry entry) {
        if (entry.refresh != null) {
            timers.cancel(entry.refresh);
            entry.refresh = null;
        }
    }

    // Responses

    /** What came for a query; whether it was its response. If not, the host goes on waiting. */
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

    /** The message, or null where the bytes are none. */
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

    /** No response came in the query's time. */
    public void onTimeout(DnsQuery query, double atMs) {
        fail(query, ResolverCounts.TIMED_OUT, atMs);
    }

    /** The connection was refused or broke, or there was no socket. */
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

    /** Another attempt, or the end of the round: what is cached is used on, and the next round begins after a backoff. */
    private void retryOrBackOff(CacheEntry entry) {
        if (queries.retry(entry, nowMs)) {
            return;
        }
        entry.failures++;
        counts.increment(ResolverCounts.NO_SERVER_ANSWERS);
        double jitter = BACKOFF_LEAST_SHARE + BACKOFF_JITTER_SHARE * random.nextDouble();
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
        boolean leadsOut = !chain.name().equals(entry.chainName);
        if (records.isEmpty() && leadsOut) {
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
            records.forEach(record -> askForAddresses(entry, (SRVRecord) record));
        }
    }

    private void store(CacheEntry entry, List<Record> records, double ttlMs) {
        double boundedMs = Math.max(settings.minTtlMs(), Math.min(settings.maxTtlMs(), ttlMs));
        entry.store(records, boundedMs, nowMs);
        // Ahead of its end, spread by chance, so that names that came together are not asked for together.
        double share = REFRESH_LEAST_SHARE + REFRESH_JITTER_SHARE * random.nextDouble();
        scheduleRefresh(entry, nowMs + Math.max(settings.minTtlMs(), boundedMs * share));
        touched.addAll(entry.users);
    }

    /** Additional addresses are as good as asked for, within the bailiwick. */
    private void storeAdditionalAddresses(CacheEntry srv, Message message) {
        Map<String, List<Record>> byKey = new LinkedHashMap<>();
        Set<String> wanted = targetNames(srv);
        for (Record record : message.getSection(Section.ADDITIONAL)) {
            if (!isAddress(record) || !wanted.contains(lowerCase(record.getName()))) {
                continue;
            }
            if (!isInBailiwick(record.getName())) {
                counts.increment(ResolverCounts.OUT_OF_BAILIWICK);
                continue;
            }
            String key = RecordCache.key(record.getName(), record.getType());
            byKey.computeIfAbsent(key, each -> new ArrayList<>()).add(record);
        }
        byKey.values().forEach(this::storeAddresses);
    }

    private static Set<String> targetNames(CacheEntry srv) {
        Set<String> names = new LinkedHashSet<>();
        srv.records().forEach(record -> names.add(lowerCase(((SRVRecord) record).getTarget())));
        return names;
    }

    private static String lowerCase(Name name) {
        return name.toString().toLowerCase(Locale.ROOT);
    }

    private boolean isAddress(Record record) {
        boolean isWantedType = false;
        for (int type : addressTypes) {
            isWantedType |= record.getType() == type;
        }
        return isWantedType && record.getDClass() == DClass.IN;
    }

    /** A name server that answers for one zone could name addresses of any other. */
    private boolean isInBailiwick(Name name) {
        return ("." + lowerCase(name)).endsWith(bailiwick);
    }

    private void storeAddresses(List<Record> records) {
        Record first = records.get(0);
        CacheEntry entry = cache.getOrCreate(first.getName(), first.getType());
        if (entry.isPending()) {
            return;
        }
        double ttlMs = Double.MAX_VALUE;
        for (Record record : records) {
            ttlMs = Ttl.leastMs(ttlMs, record);
        }
        store(entry, records, ttlMs);
    }

    private void askForAddresses(CacheEntry srv, SRVRecord record) {
        // A target of the root says that there is no such service (RFC 2782).
        if (record.getTarget().equals(Name.root)) {
            return;
        }
        for (int type : addressTypes) {
            CacheEntry address = cache.getOrCreate(record.getTarget(), type);
            address.users.addAll(srv.users);
            askIfNeeded(address);
        }
    }

    // Targets

    /** The targets that have changed since this was last asked; none of a service whose first answers are on their way. */
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

    /** How often each thing has happened, by its text. */
    public Map<String, Long> counts() {
        return counts.asMap();
    }

    int cachedEntries() {
        return cache.size();
    }
}
