package spartrail.dns;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import org.xbill.DNS.AAAARecord;
import org.xbill.DNS.ARecord;
import org.xbill.DNS.CNAMERecord;
import org.xbill.DNS.DClass;
import org.xbill.DNS.Flags;
import org.xbill.DNS.Message;
import org.xbill.DNS.Name;
import org.xbill.DNS.OPTRecord;
import org.xbill.DNS.Opcode;
import org.xbill.DNS.Rcode;
import org.xbill.DNS.Record;
import org.xbill.DNS.SOARecord;
import org.xbill.DNS.SRVRecord;
import org.xbill.DNS.Section;
import org.xbill.DNS.TextParseException;
import org.xbill.DNS.Type;
import spartrail.model.TimerQueue;

/**
 * Follows SRV names (RFC 2782) over several name servers: what to ask whom next, and what the lists now are. No I/O, no
 * clock; the host sends the questions, hands in answers, time-outs and failures, and asks what is due.
 *
 * <pre>
 * state      what happens                            next
 * idle       due, or needed for a name               asking: one question at a time for a name and type
 * asking     an answer that fits                     held for the least lifetime of its chain, refreshed ahead of its end
 * asking     one that says there is none             held as none, by the SOA (RFC 2308)
 * asking     truncated, over UDP                     asking the same server over TCP; what was cut is never used
 * asking     a failure code, a time-out, TCP refused asking the next server, with a longer wait, a bounded number of times
 * asking     none of them answers                    what is held goes on stale (RFC 8767), next try after a growing wait
 * asking     what does not fit the question          dropped and counted; the true answer is still waited for
 * stale      longer than allowed                     out: nothing can be said of the name
 * </pre>
 */
public class Resolver {
    private static final int EDNS_SIZE = 1232;
    private static final int MOST_CHAIN = 8;
    private static final double EXPLORE = 0.05;

    /** A name and type that is held or asked for. */
    private final class Entry {
        private final Name name;
        private final int type;
        /** The SRV names that need it. */
        private final Set<Srv> users = new LinkedHashSet<>();
        /** Null while nothing was ever answered; empty where there is none. */
        private List<Record> records;

        private double endsMs = Double.NEGATIVE_INFINITY;
        private double lifetimeMs;
        private DnsQuery asking;
        private boolean queued;
        private int tries;
        private int failures;
        private int chain;
        private Name chainName;
        private double chainLeastMs = Double.MAX_VALUE;
        private NameServer asked;
        private double askedMs;
        private TimerQueue.Timer due;

        Entry(Name name, int type) {
            this.name = name;
            this.type = type;
        }

        boolean had() {
            return records != null;
        }

        boolean usable() {
            return had() && nowMs < endsMs + lifetimes.staleMs();
        }
    }

    /** One SRV name that is followed. */
    private static final class Srv {
        private final String name;
        private final Entry entry;
        private SrvTargets told;

        Srv(String name, Entry entry) {
            this.name = name;
            this.entry = entry;
        }
    }

    private static final class NameServer {
        private final InetSocketAddress address;
        /** Smoothed round trip; a time-out counts as its wait. */
        private double smoothMs;

        NameServer(InetSocketAddress address) {
            this.address = address;
        }
    }

    private final ResolverSettings lifetimes;
    private final RandomGenerator chance;
    private final boolean six;
    private final List<NameServer> servers = new ArrayList<>();
    private final Map<String, Entry> entries = new HashMap<>();
    private final Map<String, Srv> srvs = new LinkedHashMap<>();
    private final Map<Long, Entry> asking = new HashMap<>();
    private final Deque<Entry> waiting = new ArrayDeque<>();
    private final List<DnsQuery> questions = new ArrayList<>();
    private final Set<Srv> touched = new LinkedHashSet<>();
    private final TimerQueue timetable = new TimerQueue();
    private final Map<String, Long> counts = new TreeMap<>();
    private final String bailiwick;
    private double nowMs;
    private long number;

    /** Addresses that come along count only for names within {@code bailiwick}; AAAA is asked for only where wanted. */
    public Resolver(
            List<InetSocketAddress> nameServers,
            String bailiwick,
            boolean six,
            ResolverSettings lifetimes,
            RandomGenerator chance) {
        nameServers.forEach(address -> servers.add(new NameServer(address)));
        this.bailiwick = ("." + bailiwick.toLowerCase(Locale.ROOT) + ".").replaceAll("\\.+", ".");
        this.six = six;
        this.lifetimes = lifetimes;
        this.chance = chance;
    }

    /** Follows this SRV name from now on. */
    public void follow(String name, double atMs) {
        nowMs = atMs;
        try {
            Name absolute = Name.fromString(name, Name.root);
            Entry entry = entry(absolute, Type.SRV);
            Srv srv = srvs.computeIfAbsent(name, key -> new Srv(key, entry));
            entry.users.add(srv);
            need(entry);
        } catch (TextParseException e) {
            throw new IllegalArgumentException("'" + name + "' is no name: " + e.getMessage(), e);
        }
    }

    private static String key(Name name, int type) {
        return type + " " + name.toString().toLowerCase(Locale.ROOT);
    }

    private Entry entry(Name name, int type) {
        return entries.computeIfAbsent(key(name, type), key -> new Entry(name, type));
    }

    private void count(String what) {
        counts.merge(what, 1L, Long::sum);
    }

    // ---- What to ask ----

    /** Does what is due. */
    public void advance(double atMs) {
        nowMs = atMs;
        timetable.runDue(atMs);
        // A name whose records have become too old in between.
        touched.addAll(srvs.values());
    }

    public double nextMs() {
        return timetable.nextDueMs();
    }

    /** Questions that are to be sent now. */
    public List<DnsQuery> questions() {
        List<DnsQuery> now = List.copyOf(questions);
        questions.clear();
        return now;
    }

    private void need(Entry entry) {
        if (entry.asking != null || entry.queued || entry.had() && nowMs < entry.endsMs || entry.due != null) {
            return;
        }
        ask(entry);
    }

    /** From the beginning of its chain. */
    private void ask(Entry entry) {
        entry.tries = 0;
        entry.chain = 0;
        entry.chainName = entry.name;
        entry.chainLeastMs = Double.MAX_VALUE;
        unplan(entry);
        enqueue(entry);
    }

    private void enqueue(Entry entry) {
        if (asking.size() >= lifetimes.mostAsking()) {
            entry.queued = true;
            waiting.add(entry);
        } else {
            send(entry, pick(entry), false);
        }
    }

    /** The server that answers soonest, now and then another; not the one that just failed. */
    private NameServer pick(Entry entry) {
        NameServer best = null;
        for (NameServer server : servers) {
            boolean other = server != entry.asked || entry.tries == 0 || servers.size() == 1;
            if (other && (best == null || server.smoothMs < best.smoothMs)) {
                best = server;
            }
        }
        return chance.nextDouble() < EXPLORE ? servers.get(chance.nextInt(servers.size())) : best;
    }

    private void send(Entry entry, NameServer server, boolean tcp) {
        int id = chance.nextInt(1 << 16);
        Message message = new Message(id);
        message.getHeader().setFlag(Flags.RD);
        message.addRecord(Record.newRecord(entry.chainName, entry.type, DClass.IN), Section.QUESTION);
        message.addRecord(new OPTRecord(EDNS_SIZE, 0, 0), Section.ADDITIONAL);
        double waitMs = lifetimes.timeOutMs() * Math.min(4, 1 << Math.min(2, entry.tries));
        entry.tries++;
        entry.asked = server;
        entry.askedMs = nowMs;
        entry.asking = new DnsQuery(
                number++, entry.chainName.toString(), entry.type, server.address, tcp, id, message.toWire(), waitMs);
        asking.put(entry.asking.number(), entry);
        questions.add(entry.asking);
        count(tcp ? "asked over TCP" : "asked over UDP");
    }

    // ---- What comes back ----

    /** What came for a question; whether it was its answer. If not, the host goes on waiting. */
    public boolean answer(DnsQuery question, byte[] bytes, InetSocketAddress from, double atMs) {
        nowMs = atMs;
        Entry entry = asking.get(question.number());
        if (entry == null) {
            count("dropped: nobody waits for it");
            return false;
        }
        if (!question.server().equals(from)) {
            count("dropped: from another address");
            return false;
        }
        Message message;
        try {
            message = new Message(bytes);
        } catch (IOException | RuntimeException e) {
            count("dropped: cannot be read");
            return false;
        }
        if (!fits(question, message)) {
            return false;
        }
        over(entry);
        NameServer server = entry.asked;
        double tookMs = nowMs - entry.askedMs;
        server.smoothMs = server.smoothMs == 0 ? tookMs : 0.7 * server.smoothMs + 0.3 * tookMs;
        if (truncated(message) && !question.tcp()) {
            count("truncated");
            send(entry, server, true);
            return true;
        }
        int code = message.getRcode();
        if (code != Rcode.NOERROR && code != Rcode.NXDOMAIN || truncated(message)) {
            count("failed: " + Rcode.string(code));
            again(entry);
            return true;
        }
        take(entry, message);
        next();
        return true;
    }

    /** Danger: a list that is cut looks like a shorter one. */
    boolean truncated(Message message) {
        return message.getHeader().getFlag(Flags.TC);
    }

    boolean fits(DnsQuery question, Message message) {
        if (message.getHeader().getID() != question.id()) {
            count("dropped: another id");
            return false;
        }
        Record asked = message.getQuestion();
        if (!message.getHeader().getFlag(Flags.QR)
                || message.getHeader().getOpcode() != Opcode.QUERY
                || asked == null
                || message.getSection(Section.QUESTION).size() != 1
                || asked.getType() != question.type()
                || asked.getDClass() != DClass.IN
                || !asked.getName().toString().equalsIgnoreCase(question.name())) {
            count("dropped: another question");
            return false;
        }
        return true;
    }

    public void timedOut(DnsQuery question, double atMs) {
        nowMs = atMs;
        Entry entry = asking.get(question.number());
        if (entry != null) {
            count("timed out");
            entry.asked.smoothMs = Math.max(entry.asked.smoothMs, question.timeOutMs());
            over(entry);
            again(entry);
        }
    }

    /** The connection was refused or broke, or there was no socket. */
    public void failed(DnsQuery question, double atMs) {
        nowMs = atMs;
        Entry entry = asking.get(question.number());
        if (entry != null) {
            count("no connection");
            entry.asked.smoothMs = Math.max(entry.asked.smoothMs, question.timeOutMs());
            over(entry);
            again(entry);
        }
    }

    private void over(Entry entry) {
        asking.remove(entry.asking.number());
        entry.asking = null;
    }

    /** Another server, or the end of the tries. */
    private void again(Entry entry) {
        if (entry.tries < lifetimes.tries()) {
            send(entry, pick(entry), false);
            return;
        }
        entry.failures++;
        double waitMs = Math.min(
                lifetimes.failedMostMs(), lifetimes.failedMs() * Math.pow(2, Math.min(20, entry.failures - 1)));
        count("nobody answers");
        plan(entry, nowMs + waitMs * (0.75 + 0.5 * chance.nextDouble()));
        touched.addAll(entry.users);
        next();
    }

    private void next() {
        while (!waiting.isEmpty() && asking.size() < lifetimes.mostAsking()) {
            Entry entry = waiting.poll();
            entry.queued = false;
            send(entry, pick(entry), false);
        }
    }

    // ---- Records ----

    private void take(Entry entry, Message message) {
        List<Record> found = new ArrayList<>();
        Name name = entry.chainName;
        double leastMs = entry.chainLeastMs;
        boolean moved = true;
        while (moved) {
            moved = false;
            for (Record record : message.getSection(Section.ANSWER)) {
                if (record.getDClass() != DClass.IN || !record.getName().equals(name)) {
                    continue;
                }
                if (record.getType() == entry.type) {
                    found.add(record);
                    leastMs = least(leastMs, record);
                } else if (record instanceof CNAMERecord alias && entry.chain < MOST_CHAIN) {
                    entry.chain++;
                    name = alias.getTarget();
                    leastMs = least(leastMs, record);
                    moved = true;
                    break;
                } else if (record instanceof CNAMERecord) {
                    count("failed: a chain of names without end");
                    entry.tries = lifetimes.tries();
                    again(entry);
                    return;
                }
            }
        }
        if (found.isEmpty() && !name.equals(entry.chainName)) {
            // The chain leads out of this answer.
            entry.chainName = name;
            entry.chainLeastMs = leastMs;
            entry.tries = 0;
            enqueue(entry);
            return;
        }
        if (found.isEmpty()) {
            count("there is none");
            leastMs = Math.min(lifetimes.negativeMostMs(), negativeMs(message));
        }
        hold(entry, found, leastMs);
        if (entry.type == Type.SRV) {
            additional(entry, message);
            found.forEach(record -> targets(entry, (SRVRecord) record));
        }
    }

    /** The least lifetime of a chain counts. */
    double least(double leastMs, Record record) {
        return Math.min(leastMs, 1000.0 * Math.max(0, record.getTTL()));
    }

    /** The lesser of the SOA's lifetime and its minimum (RFC 2308, section 5). */
    private double negativeMs(Message message) {
        for (Record record : message.getSection(Section.AUTHORITY)) {
            if (record instanceof SOARecord soa) {
                return 1000.0 * Math.max(0, Math.min(soa.getTTL(), soa.getMinimum()));
            }
        }
        return lifetimes.failedMs();
    }

    private void hold(Entry entry, List<Record> records, double leastMs) {
        double lifetimeMs = Math.max(lifetimes.leastMs(), Math.min(lifetimes.mostMs(), leastMs));
        entry.records = records;
        entry.lifetimeMs = lifetimeMs;
        entry.endsMs = nowMs + lifetimeMs;
        entry.failures = 0;
        // Ahead of its end, spread by chance, so that names that came together are not asked for together.
        plan(entry, nowMs + Math.max(lifetimes.leastMs(), lifetimeMs * (0.75 + 0.15 * chance.nextDouble())));
        touched.addAll(entry.users);
    }

    private void plan(Entry entry, double atMs) {
        unplan(entry);
        entry.due = timetable.schedule(atMs, () -> {
            entry.due = null;
            if (!entry.users.isEmpty() && entry.asking == null && !entry.queued) {
                ask(entry);
            } else if (entry.users.isEmpty()) {
                entries.remove(key(entry.name, entry.type), entry);
            }
        });
    }

    private void unplan(Entry entry) {
        if (entry.due != null) {
            timetable.cancel(entry.due);
            entry.due = null;
        }
    }

    /** Danger: whoever answers for one zone could name addresses for any other. */
    boolean inBailiwick(Name name) {
        return ("." + name.toString().toLowerCase(Locale.ROOT)).endsWith(bailiwick);
    }

    /** Addresses that came along are as good as asked for. */
    private void additional(Entry srv, Message message) {
        Map<String, List<Record>> came = new LinkedHashMap<>();
        Set<String> wanted = new LinkedHashSet<>();
        srv.records.forEach(
                record -> wanted.add(((SRVRecord) record).getTarget().toString().toLowerCase(Locale.ROOT)));
        for (Record record : message.getSection(Section.ADDITIONAL)) {
            boolean address = record.getType() == Type.A || six && record.getType() == Type.AAAA;
            if (!address
                    || record.getDClass() != DClass.IN
                    || !wanted.contains(record.getName().toString().toLowerCase(Locale.ROOT))) {
                continue;
            }
            if (!inBailiwick(record.getName())) {
                count("dropped: an address out of bailiwick");
                continue;
            }
            came.computeIfAbsent(key(record.getName(), record.getType()), key -> new ArrayList<>())
                    .add(record);
        }
        came.forEach((key, records) -> {
            Entry entry = entry(records.get(0).getName(), records.get(0).getType());
            if (entry.asking == null && !entry.queued) {
                double leastMs = Double.MAX_VALUE;
                for (Record record : records) {
                    leastMs = least(leastMs, record);
                }
                hold(entry, records, leastMs);
            }
        });
    }

    private void targets(Entry srv, SRVRecord record) {
        // A target of the root says that there is no such service (RFC 2782).
        if (record.getTarget().equals(Name.root)) {
            return;
        }
        for (int type : six ? new int[] {Type.A, Type.AAAA} : new int[] {Type.A}) {
            Entry address = entry(record.getTarget(), type);
            address.users.addAll(srv.users);
            need(address);
        }
    }

    // ---- Lists ----

    /** Lists that are others than when this was last asked; none while a name's first answers are still coming. */
    public List<SrvTargets> listings(double atMs) {
        nowMs = atMs;
        List<SrvTargets> changed = new ArrayList<>();
        for (Srv srv : touched) {
            SrvTargets listing = listing(srv);
            if (listing != null && !listing.equals(srv.told)) {
                srv.told = listing;
                changed.add(listing);
            }
        }
        touched.clear();
        return changed;
    }

    private SrvTargets listing(Srv srv) {
        Entry entry = srv.entry;
        if (!entry.usable()) {
            return entry.had() || entry.failures > 0 ? new SrvTargets(srv.name, false, true, true, List.of(), 0) : null;
        }
        boolean whole = true;
        boolean stale = nowMs >= entry.endsMs;
        double lifetimeMs = entry.lifetimeMs;
        List<SrvTargets.Target> targets = new ArrayList<>();
        for (Record record : entry.records) {
            SRVRecord target = (SRVRecord) record;
            if (target.getTarget().equals(Name.root)) {
                continue;
            }
            if (targets.size() >= lifetimes.mostTargets()) {
                count("left out: too many targets");
                whole = false;
                break;
            }
            String address = null;
            boolean known = true;
            for (int type : six ? new int[] {Type.A, Type.AAAA} : new int[] {Type.A}) {
                Entry held = entries.get(key(target.getTarget(), type));
                boolean usable = held != null && held.usable();
                known &= usable;
                if (usable && !held.records.isEmpty()) {
                    // One server at several addresses: the least, so that it is the same one each time.
                    String least = held.records.stream()
                            .map(Resolver::address)
                            .min(String::compareTo)
                            .orElseThrow();
                    address = address == null ? least : address;
                    lifetimeMs = Math.min(lifetimeMs, held.lifetimeMs);
                }
            }
            if (address == null) {
                if (!known && held(target) == null) {
                    return null;
                }
                whole &= known;
                continue;
            }
            targets.add(new SrvTargets.Target(
                    target.getTarget().toString(true),
                    address + ":" + target.getPort(),
                    target.getPriority(),
                    target.getWeight()));
        }
        targets.sort((a, b) -> a.endpoint().compareTo(b.endpoint()));
        return new SrvTargets(srv.name, whole, stale, false, List.copyOf(targets), lifetimeMs);
    }

    /** Its address was looked for, and that came to an end, good or bad. */
    private Entry held(SRVRecord target) {
        Entry entry = entries.get(key(target.getTarget(), Type.A));
        return entry != null && (entry.had() || entry.failures > 0) ? entry : null;
    }

    private static String address(Record record) {
        return record instanceof ARecord four
                ? four.getAddress().getHostAddress()
                : "[" + ((AAAARecord) record).getAddress().getHostAddress() + "]";
    }

    /** Questions out and held back. */
    public int outstanding() {
        return asking.size();
    }

    public Map<String, Long> counts() {
        return counts;
    }

    int entries() {
        return entries.size();
    }
}
