package spartrail.dns;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeSet;
import org.xbill.DNS.DClass;
import org.xbill.DNS.Flags;
import org.xbill.DNS.Message;
import org.xbill.DNS.Name;
import org.xbill.DNS.Rcode;
import org.xbill.DNS.Record;
import org.xbill.DNS.Section;
import org.xbill.DNS.Type;
import spartrail.model.TimerQueue;

/**
 * Simulated name servers on a virtual clock, whose records and behaviors a test sets, and a resolver that sends them
 * queries.
 */
final class DnsZone {
    /** How a name server responds. */
    enum Behavior {
        ANSWER,
        TRUNCATE,
        SERVFAIL,
        SILENT,
        WRONG_ID,
        WRONG_QUESTION,
        SPOOF,
        NOISE,
        LATE,
        SHUFFLE
    }

    static final InetSocketAddress FIRST = new InetSocketAddress("127.0.0.1", 5301);
    static final InetSocketAddress SECOND = new InetSocketAddress("127.0.0.1", 5302);
    private static final double ROUND_TRIP_MS = 5;

    final Map<String, List<String>> records = new HashMap<>();
    final Map<InetSocketAddress, Behavior> behaviors = new HashMap<>();
    boolean refusesTcp;
    boolean hasAdditionalRecords;
    final Resolver resolver;
    final SplittableRandom random;
    final StringBuilder trace = new StringBuilder();
    private final TimerQueue wire = new TimerQueue();
    double nowMs;
    int queries;
    int maxInFlight;

    DnsZone(ResolverSettings settings, long seed) {
        this(settings, seed, null);
    }

    /** Creates a zone with a resolver that may have a planted fault. */
    DnsZone(ResolverSettings settings, long seed, Resolver faultyResolver) {
        random = new SplittableRandom(seed);
        resolver = faultyResolver != null
                ? faultyResolver
                : new Resolver(List.of(FIRST, SECOND), "example.org", false, settings, random);
    }

    /** Adds an SRV name with these targets, and the addresses of the targets. */
    void addService(String name, int ttlS, int addressTtlS, int... targets) {
        List<String> lines = new ArrayList<>();
        for (int target : targets) {
            lines.add(ttlS + " SRV 0 5 80 s" + target + ".example.org.");
            records.put("A s" + target + ".example.org.", List.of(addressTtlS + " A 10.0.0." + target));
        }
        records.put("SRV " + name, lines);
    }

    void follow(String name) {
        resolver.follow(name, nowMs);
        sendQueries();
    }

    private void sendQueries() {
        for (DnsQuery query : resolver.takeQueries()) {
            queries++;
            Behavior behavior = behaviors.getOrDefault(query.server(), Behavior.ANSWER);
            boolean[] isCompleted = new boolean[1];
            if (query.isTcp() && refusesTcp) {
                wire.schedule(nowMs + ROUND_TRIP_MS, () -> resolver.onFailure(query, nowMs));
                continue;
            }
            wire.schedule(nowMs + query.timeoutMs(), () -> {
                if (!isCompleted[0]) {
                    resolver.onTimeout(query, nowMs);
                }
            });
            if (behavior != Behavior.SILENT) {
                double roundTripMs = behavior == Behavior.LATE ? query.timeoutMs() + 50 : ROUND_TRIP_MS;
                wire.schedule(nowMs + roundTripMs, () -> isCompleted[0] |= respond(query, behavior));
            }
        }
        maxInFlight = Math.max(maxInFlight, resolver.inFlight());
    }

    private boolean respond(DnsQuery query, Behavior behavior) {
        byte[] bytes = createMessage(query, behavior);
        InetSocketAddress from = behavior == Behavior.SPOOF ? new InetSocketAddress("127.0.0.1", 9) : query.server();
        if (resolver.onResponse(query, bytes, from, nowMs)) {
            return true;
        }
        // A message that the resolver drops is followed by the correct response, except after noise.
        return behavior != Behavior.NOISE
                && resolver.onResponse(query, createMessage(query, Behavior.ANSWER), query.server(), nowMs);
    }

    byte[] createMessage(DnsQuery query, Behavior behavior) {
        try {
            if (behavior == Behavior.NOISE) {
                byte[] noise = new byte[random.nextInt(200)];
                random.nextBytes(noise);
                return noise;
            }
            Message request = new Message(query.message());
            Message message = new Message(behavior == Behavior.WRONG_ID ? query.id() ^ 1 : query.id());
            message.getHeader().setFlag(Flags.QR);
            Name name = request.getQuestion().getName();
            Record question = behavior == Behavior.WRONG_QUESTION
                    ? Record.newRecord(Name.fromString("other.example.org."), query.type(), DClass.IN)
                    : request.getQuestion();
            message.addRecord(question, Section.QUESTION);
            if (behavior == Behavior.SERVFAIL) {
                message.getHeader().setRcode(Rcode.SERVFAIL);
                return message.toWire();
            }
            List<String> lines = findRecords(Type.string(query.type()) + " " + name);
            if (behavior == Behavior.WRONG_ID || behavior == Behavior.WRONG_QUESTION || behavior == Behavior.SPOOF) {
                // A forged response would make the resolver use another server.
                lines = List.of(query.type() == Type.SRV ? "4 SRV 0 5 80 s66.example.org." : "6 A 10.0.0.66");
            }
            int count = 0;
            for (String line : lines) {
                if (behavior == Behavior.TRUNCATE && !query.isTcp() && count++ >= 1) {
                    message.getHeader().setFlag(Flags.TC);
                    break;
                }
                message.addRecord(parseRecord(name, line), Section.ANSWER);
            }
            if (lines.isEmpty()) {
                List<String> alias = findRecords("CNAME " + name);
                if (!alias.isEmpty()) {
                    message.addRecord(parseRecord(name, alias.get(0)), Section.ANSWER);
                } else {
                    message.getHeader().setRcode(records.containsKey("NX " + name) ? Rcode.NXDOMAIN : Rcode.NOERROR);
                    message.addRecord(
                            parseRecord(Name.fromString("example.org."), "60 SOA a. b. 1 2 3 4 2"), Section.AUTHORITY);
                }
            }
            if (hasAdditionalRecords) {
                for (Record answer : message.getSection(Section.ANSWER)) {
                    if (answer.getAdditionalName() != null) {
                        for (String line : findRecords("A " + answer.getAdditionalName())) {
                            message.addRecord(parseRecord(answer.getAdditionalName(), line), Section.ADDITIONAL);
                        }
                    }
                }
            }
            return message.toWire();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private List<String> findRecords(String key) {
        return records.getOrDefault(key, List.of());
    }

    private static Record parseRecord(Name name, String line) throws IOException {
        String[] words = line.split(" ", 3);
        return Record.fromString(name, Type.value(words[1]), DClass.IN, Long.parseLong(words[0]), words[2], Name.root);
    }

    /** Advances the time and records the changes of the targets. */
    void advanceTo(double ms) {
        recordChanges();
        while (Math.min(wire.nextDueMs(), resolver.nextDueMs()) <= ms) {
            nowMs = Math.min(wire.nextDueMs(), resolver.nextDueMs());
            wire.runDue(nowMs);
            resolver.advance(nowMs);
            sendQueries();
            recordChanges();
        }
        nowMs = ms;
    }

    void recordChanges() {
        for (SrvTargets srvTargets : resolver.takeChangedTargets(nowMs)) {
            TreeSet<String> targets = new TreeSet<>();
            srvTargets
                    .targets()
                    .forEach(target ->
                            targets.add(target.address().replace("10.0.0.", "").replace(":80", "")));
            trace.append(String.format(
                    Locale.ROOT,
                    "%9.0f %s %s%s%s%s good for %.0f%n",
                    nowMs,
                    srvTargets.name(),
                    targets,
                    srvTargets.isComplete() ? "" : " not whole",
                    srvTargets.isStale() ? " stale" : "",
                    srvTargets.isUnavailable() ? " OUT" : "",
                    srvTargets.ttlMs()));
        }
    }
}
