package spartrail.dns;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.LongFunction;
import org.junit.jupiter.api.Test;
import org.xbill.DNS.Message;
import org.xbill.DNS.Record;
import org.xbill.DNS.SRVRecord;

class ResolverTest {
    private static final String BOOKS = "_books._tcp.c3.example.org.";
    private static final ResolverSettings SETTINGS =
            new ResolverSettings(1000, 3_600_000, 60_000, 1000, 8000, 60_000, 100, 4, 16, 100);

    private static void compareWithExpected(String name, String actual) throws IOException {
        try (InputStream expected = ResolverTest.class.getResourceAsStream("/expected/" + name + ".txt")) {
            Path folder = Files.createDirectories(Path.of("dns/target/seen"));
            Files.writeString(folder.resolve(name + ".txt"), actual.strip() + "\n");
            assertThat(actual.strip())
                    .as(name)
                    .isEqualTo(
                            expected == null
                                    ? "there is no " + name + ".txt"
                                    : new String(expected.readAllBytes(), StandardCharsets.UTF_8).strip());
        }
    }

    /** Records the targets for each behavior alone, which both servers have from 2 s to 8 s; the TTL is 4 s. */
    @Test
    void failuresOfNameServersNeverEmptyTheTargets() throws Exception {
        StringBuilder trace = new StringBuilder();
        for (DnsZone.Behavior behavior : DnsZone.Behavior.values()) {
            for (boolean refusesTcp :
                    behavior == DnsZone.Behavior.TRUNCATE ? new boolean[] {false, true} : new boolean[1]) {
                DnsZone zone = new DnsZone(SETTINGS, 1);
                zone.addService(BOOKS, 4, 30, 1, 2, 3);
                zone.follow(BOOKS);
                zone.advanceTo(2000);
                zone.behaviors.put(DnsZone.FIRST, behavior);
                zone.behaviors.put(DnsZone.SECOND, behavior);
                zone.refusesTcp = refusesTcp;
                zone.advanceTo(8000);
                zone.behaviors.clear();
                zone.advanceTo(20_000);
                trace.append(behavior)
                        .append(refusesTcp ? ", TCP refused" : "")
                        .append('\n')
                        .append(zone.trace);
            }
        }
        compareWithExpected("troubles", trace.toString());
    }

    @Test
    void targetsFollowChangesOfTheirRecords() throws Exception {
        DnsZone zone = new DnsZone(SETTINGS, 2);
        zone.addService(BOOKS, 4, 30, 1, 2, 3);
        zone.follow(BOOKS);
        zone.advanceTo(3000);
        zone.trace.append("shrinks\n");
        zone.addService(BOOKS, 4, 30, 1);
        zone.advanceTo(9000);
        zone.trace.append("is empty\n");
        zone.records.remove("SRV " + BOOKS);
        zone.advanceTo(15_000);
        zone.trace.append("there is no such name\n");
        zone.records.put("NX " + BOOKS, List.of());
        zone.advanceTo(20_000);
        zone.trace.append("an alias\n");
        zone.records.put("CNAME " + BOOKS, List.of("2 CNAME _books._tcp.all.example.org."));
        zone.addService("_books._tcp.all.example.org.", 40, 30, 4, 5);
        zone.advanceTo(24_000);
        zone.trace.append("an alias of itself\n");
        zone.records.put("CNAME " + BOOKS, List.of("2 CNAME " + BOOKS));
        zone.advanceTo(40_000);
        zone.trace.append("all are silent for longer than stale records last\n");
        zone.behaviors.put(DnsZone.FIRST, DnsZone.Behavior.SILENT);
        zone.behaviors.put(DnsZone.SECOND, DnsZone.Behavior.SILENT);
        zone.advanceTo(130_000);
        compareWithExpected("follows", zone.trace.toString());
    }

    @Test
    void queriesAreBoundedForExtremeTtls() {
        DnsZone zone = new DnsZone(SETTINGS, 3);
        for (int i = 0; i < 200; i++) {
            String name = "_books._tcp.c" + i + ".example.org.";
            zone.addService(name, 0, 0, i);
            zone.follow(name);
        }
        zone.advanceTo(10_000);
        assertThat(zone.maxInFlight).isLessThanOrEqualTo(16);
        // Each name and address is queried at most once per minimum TTL of one second.
        assertThat(zone.queries).isLessThanOrEqualTo(200 * 2 * 11);
        DnsZone longTtlZone = new DnsZone(SETTINGS, 4);
        longTtlZone.addService(BOOKS, Integer.MAX_VALUE, Integer.MAX_VALUE, 1);
        longTtlZone.follow(BOOKS);
        longTtlZone.advanceTo(7_200_000);
        assertThat(longTtlZone.queries).isBetween(4, 8);
    }

    @Test
    void additionalAddressesWithinTheBailiwickSaveQueries() {
        DnsZone zone = new DnsZone(SETTINGS, 5);
        zone.hasAdditionalRecords = true;
        zone.addService(BOOKS, 4, 30, 1, 2, 3);
        zone.records.put("SRV " + BOOKS, List.of("4 SRV 0 5 80 s1.example.org.", "4 SRV 0 5 80 www.bank.example."));
        zone.records.put("A www.bank.example.", List.of("30 A 10.0.0.66"));
        zone.follow(BOOKS);
        zone.advanceTo(100);
        assertThat(zone.resolver.counts().get("dropped: an address out of bailiwick"))
                .isEqualTo(1);
        assertThat(zone.queries)
                .as("queries for the name and for the address out of bailiwick")
                .isEqualTo(2);
    }

    /**
     * Alters the bytes of responses at random; the resolver must not throw, and each query must stay open or complete.
     */
    @Test
    void aHundredThousandMalformedMessagesAreHandled() {
        SplittableRandom random = new SplittableRandom(6);
        DnsZone zone = new DnsZone(SETTINGS, 6);
        zone.addService(BOOKS, 4, 30, 1, 2, 3);
        zone.hasAdditionalRecords = true;
        zone.resolver.follow(BOOKS, 0);
        double nowMs = 0;
        List<DnsQuery> open = new ArrayList<>(zone.resolver.takeQueries());
        for (int i = 0; i < 100_000; i++) {
            nowMs += 1;
            zone.resolver.advance(nowMs);
            open.addAll(zone.resolver.takeQueries());
            if (open.isEmpty()) {
                continue;
            }
            DnsQuery query = open.get(random.nextInt(open.size()));
            byte[] bytes = zone.createMessage(query, DnsZone.Behavior.ANSWER);
            for (int change = random.nextInt(1, 6); change > 0; change--) {
                switch (random.nextInt(3)) {
                    case 0 -> bytes[random.nextInt(bytes.length)] = (byte) random.nextInt(256);
                    case 1 -> bytes = java.util.Arrays.copyOf(bytes, Math.max(1, bytes.length - random.nextInt(20)));
                    default -> bytes[random.nextInt(bytes.length)] |= (byte) 0xc0;
                }
            }
            if (zone.resolver.onResponse(query, bytes, query.server(), nowMs)) {
                open.remove(query);
            } else if (random.nextInt(50) == 0) {
                zone.resolver.onTimeout(query, nowMs);
                open.remove(query);
            }
            zone.resolver.takeChangedTargets(nowMs);
            assertThat(zone.resolver.inFlight()).isLessThanOrEqualTo(16);
        }
        assertThat(zone.resolver.cachedEntryCount()).isLessThan(5000);
    }

    // ---- Random sequences of failures ----

    /**
     * Compares the targets with the records of the zone under random failures; returns the first violation, or null.
     */
    private static String findViolationForSeed(LongFunction<Resolver> factory, long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        DnsZone zone = new DnsZone(SETTINGS, seed, factory.apply(seed));
        zone.hasAdditionalRecords = seed % 2 == 0;
        int[] targets = {1, 2, 3, 4, 5};
        zone.addService(BOOKS, 4, 6, targets);
        zone.follow(BOOKS);
        zone.advanceTo(50);
        for (int step = 0; step < 12; step++) {
            for (var server : List.of(DnsZone.FIRST, DnsZone.SECOND)) {
                zone.behaviors.put(server, DnsZone.Behavior.values()[random.nextInt(DnsZone.Behavior.values().length)]);
            }
            zone.refusesTcp = random.nextBoolean();
            int before = zone.trace.length();
            zone.advanceTo(zone.nowMs + random.nextDouble(500, 5000));
            String changes = zone.trace.substring(before);
            // The zone always has five targets, so complete targets with fewer are a violation under any failure.
            for (String line : changes.split("\n")) {
                if (line.matches(".*[\\[ ]66[,\\]].*")) {
                    return "an address was taken from somebody else";
                }
                if (!line.isBlank()
                        && !line.contains("not whole")
                        && !line.contains("OUT")
                        && !line.contains("[1, 2, 3, 4, 5]")) {
                    return "a whole list lacks servers";
                }
                if (line.contains("good for 6000")) {
                    return "a list is good for longer than its shortest record";
                }
            }
        }
        return zone.maxInFlight > SETTINGS.maxInFlight() ? "too many queries in flight" : null;
    }

    private static Resolver createResolver(long seed) {
        return new Resolver(
                List.of(DnsZone.FIRST, DnsZone.SECOND), "example.org", false, SETTINGS, new SplittableRandom(seed));
    }

    private static Resolver createResolverWithValidator(long seed, ResponseValidator validator) {
        return new Resolver(
                List.of(DnsZone.FIRST, DnsZone.SECOND),
                "example.org",
                false,
                SETTINGS,
                new SplittableRandom(seed),
                validator);
    }

    private static String findFirstViolation(LongFunction<Resolver> factory, int seeds) {
        for (long seed = 1; seed <= seeds; seed++) {
            String violation = findViolationForSeed(factory, seed);
            if (violation != null) {
                return "seed " + seed + ": " + violation;
            }
        }
        return "none";
    }

    @Test
    void noInvariantIsViolatedUnderRandomFailures() {
        assertThat(findFirstViolation(ResolverTest::createResolver, 2000)).isEqualTo("none");
    }

    @Test
    void plantedFaultsAreDetected() throws Exception {
        Map<String, LongFunction<Resolver>> faults = new TreeMap<>();
        faults.put(
                "truncation ignored",
                seed -> createResolverWithValidator(seed, new ResponseValidator() {
                    @Override
                    boolean isTruncated(Message message) {
                        return false;
                    }
                }));
        faults.put(
                "the lifetime of the last record",
                seed -> new Resolver(
                        List.of(DnsZone.FIRST, DnsZone.SECOND),
                        "example.org",
                        false,
                        new ResolverSettings(6000, 6000, 6000, 1000, 8000, 60_000, 100, 4, 16, 100),
                        new SplittableRandom(seed)));
        faults.put(
                "questions not compared",
                seed -> createResolverWithValidator(seed, new ResponseValidator() {
                    @Override
                    boolean hasId(DnsQuery query, Message message) {
                        return true;
                    }

                    @Override
                    boolean answersQuestion(DnsQuery query, Message message) {
                        return true;
                    }
                }));
        StringBuilder violations = new StringBuilder();
        faults.forEach((name, factory) -> violations
                .append(name)
                .append(": ")
                .append(findFirstViolation(factory, 500).replaceAll("seed [0-9]+: ", ""))
                .append('\n'));
        compareWithExpected("dns-faults", violations.toString());
    }

    /** Checks a property of dnsjava on which the resolver relies: the classes of decoded records. */
    @Test
    void recordsAreDecodedAsTheirTypes() throws Exception {
        DnsZone zone = new DnsZone(SETTINGS, 7);
        zone.addService(BOOKS, 4, 30, 1);
        zone.resolver.follow(BOOKS, 0);
        Message message =
                new Message(zone.createMessage(zone.resolver.takeQueries().get(0), DnsZone.Behavior.ANSWER));
        Record record = message.getSection(org.xbill.DNS.Section.ANSWER).get(0);
        assertThat(record).isInstanceOf(SRVRecord.class);
        assertThat(((SRVRecord) record).getPort()).isEqualTo(80);
    }
}
