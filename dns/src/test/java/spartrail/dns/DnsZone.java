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

/** Name servers on a virtual clock, with records and manners that a test chooses, and a resolver that asks them. */
final class DnsZone {
    /** What becomes of a question. */
    enum Manner {
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
    private static final double TRIP_MS = 5;

    final Map<String, List<String>> records = new HashMap<>();
    final Map<InetSocketAddress, Manner> manners = new HashMap<>();
    boolean tcpRefused;
    boolean additional;
    final Resolver resolver;
    final SplittableRandom chance;
    final StringBuilder seen = new StringBuilder();
    private final TimerQueue wire = new TimerQueue();
    double nowMs;
    int asked;
    int mostOut;

    DnsZone(ResolverSettings lifetimes, long seed) {
        this(lifetimes, seed, null);
    }

    /** With a resolver of another make, to plant a fault. */
    DnsZone(ResolverSettings lifetimes, long seed, Resolver other) {
        chance = new SplittableRandom(seed);
        resolver =
                other != null ? other : new Resolver(List.of(FIRST, SECOND), "example.org", false, lifetimes, chance);
    }

    /** An SRV name of so many targets and their addresses. */
    void service(String name, int ttlS, int addressTtlS, int... targets) {
        List<String> lines = new ArrayList<>();
        for (int target : targets) {
            lines.add(ttlS + " SRV 0 5 80 s" + target + ".example.org.");
            records.put("A s" + target + ".example.org.", List.of(addressTtlS + " A 10.0.0." + target));
        }
        records.put("SRV " + name, lines);
    }

    void follow(String name) {
        resolver.follow(name, nowMs);
        carry();
    }

    private void carry() {
        for (DnsQuery question : resolver.questions()) {
            asked++;
            Manner manner = manners.getOrDefault(question.server(), Manner.ANSWER);
            boolean[] over = new boolean[1];
            if (question.tcp() && tcpRefused) {
                wire.schedule(nowMs + TRIP_MS, () -> resolver.failed(question, nowMs));
                continue;
            }
            wire.schedule(nowMs + question.timeOutMs(), () -> {
                if (!over[0]) {
                    resolver.timedOut(question, nowMs);
                }
            });
            if (manner != Manner.SILENT) {
                double tripMs = manner == Manner.LATE ? question.timeOutMs() + 50 : TRIP_MS;
                wire.schedule(nowMs + tripMs, () -> over[0] |= give(question, manner));
            }
        }
        mostOut = Math.max(mostOut, resolver.outstanding());
    }

    private boolean give(DnsQuery question, Manner manner) {
        byte[] bytes = message(question, manner);
        InetSocketAddress from = manner == Manner.SPOOF ? new InetSocketAddress("127.0.0.1", 9) : question.server();
        if (resolver.answer(question, bytes, from, nowMs)) {
            return true;
        }
        // What was no answer is followed by the true one, but for noise.
        return manner != Manner.NOISE
                && resolver.answer(question, message(question, Manner.ANSWER), question.server(), nowMs);
    }

    byte[] message(DnsQuery question, Manner manner) {
        try {
            if (manner == Manner.NOISE) {
                byte[] noise = new byte[chance.nextInt(200)];
                chance.nextBytes(noise);
                return noise;
            }
            Message asks = new Message(question.message());
            Message message = new Message(manner == Manner.WRONG_ID ? question.id() ^ 1 : question.id());
            message.getHeader().setFlag(Flags.QR);
            Name name = asks.getQuestion().getName();
            Record about = manner == Manner.WRONG_QUESTION
                    ? Record.newRecord(Name.fromString("other.example.org."), question.type(), DClass.IN)
                    : asks.getQuestion();
            message.addRecord(about, Section.QUESTION);
            if (manner == Manner.SERVFAIL) {
                message.getHeader().setRcode(Rcode.SERVFAIL);
                return message.toWire();
            }
            List<String> lines = find(Type.string(question.type()) + " " + name);
            if (manner == Manner.WRONG_ID || manner == Manner.WRONG_QUESTION || manner == Manner.SPOOF) {
                // Whoever is not the server would have other servers asked.
                lines = List.of(question.type() == Type.SRV ? "4 SRV 0 5 80 s66.example.org." : "6 A 10.0.0.66");
            }
            int count = 0;
            for (String line : lines) {
                if (manner == Manner.TRUNCATE && !question.tcp() && count++ >= 1) {
                    message.getHeader().setFlag(Flags.TC);
                    break;
                }
                message.addRecord(record(name, line), Section.ANSWER);
            }
            if (lines.isEmpty()) {
                List<String> alias = find("CNAME " + name);
                if (!alias.isEmpty()) {
                    message.addRecord(record(name, alias.get(0)), Section.ANSWER);
                } else {
                    message.getHeader().setRcode(records.containsKey("NX " + name) ? Rcode.NXDOMAIN : Rcode.NOERROR);
                    message.addRecord(
                            record(Name.fromString("example.org."), "60 SOA a. b. 1 2 3 4 2"), Section.AUTHORITY);
                }
            }
            if (additional) {
                for (Record answer : message.getSection(Section.ANSWER)) {
                    if (answer.getAdditionalName() != null) {
                        for (String line : find("A " + answer.getAdditionalName())) {
                            message.addRecord(record(answer.getAdditionalName(), line), Section.ADDITIONAL);
                        }
                    }
                }
            }
            return message.toWire();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private List<String> find(String key) {
        return records.getOrDefault(key, List.of());
    }

    private static Record record(Name name, String line) throws IOException {
        String[] words = line.split(" ", 3);
        return Record.fromString(name, Type.value(words[1]), DClass.IN, Long.parseLong(words[0]), words[2], Name.root);
    }

    /** Goes on to this time and prints what the lists become. */
    void until(double ms) {
        print();
        while (Math.min(wire.nextDueMs(), resolver.nextMs()) <= ms) {
            nowMs = Math.min(wire.nextDueMs(), resolver.nextMs());
            wire.runDue(nowMs);
            resolver.advance(nowMs);
            carry();
            print();
        }
        nowMs = ms;
    }

    void print() {
        for (SrvTargets listing : resolver.listings(nowMs)) {
            TreeSet<String> targets = new TreeSet<>();
            listing.targets()
                    .forEach(target ->
                            targets.add(target.endpoint().replace("10.0.0.", "").replace(":80", "")));
            seen.append(String.format(
                    Locale.ROOT,
                    "%9.0f %s %s%s%s%s good for %.0f%n",
                    nowMs,
                    listing.name(),
                    targets,
                    listing.whole() ? "" : " not whole",
                    listing.stale() ? " stale" : "",
                    listing.out() ? " OUT" : "",
                    listing.lifetimeMs()));
        }
    }
}
