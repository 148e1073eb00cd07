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

    private static void same(String name, String seen) throws IOException {
        try (InputStream kept = ResolverTest.class.getResourceAsStream("/expected/" + name + ".txt")) {
            Path folder = Files.createDirectories(Path.of("dns/target/seen"));
            Files.writeString(folder.resolve(name + ".txt"), seen.strip() + "\n");
            assertThat(seen.strip())
                    .as(name)
                    .isEqualTo(
                            kept == null
                                    ? "there is no " + name + ".txt"
                                    : new String(kept.readAllBytes(), StandardCharsets.UTF_8).strip());
        }
    }

    /** Each trouble by itself: what the list becomes, with both servers in trouble from 2 s to 8 s; lifetimes of 4 s. */
    @Test
    void failuresOfNameServersNeverEmptyAList() throws Exception {
        StringBuilder seen = new StringBuilder();
        for (DnsZone.Behavior behavior : DnsZone.Behavior.values()) {
            for (boolean refused :
                    behavior == DnsZone.Behavior.TRUNCATE ? new boolean[] {false, true} : new boolean[1]) {
                DnsZone zone = new DnsZone(SETTINGS, 1);
                zone.service(BOOKS, 4, 30, 1, 2, 3);
                zone.follow(BOOKS);
                zone.until(2000);
                zone.behaviors.put(DnsZone.FIRST, behavior);
                zone.behaviors.put(DnsZone.SECOND, behavior);
                zone.refusesTcp = refused;
                zone.until(8000);
                zone.behaviors.clear();
                zone.until(20_000);
                seen.append(behavior)
                        .append(refused ? ", TCP refused" : "")
                        .append('\n')
                        .append(zone.seen);
            }
        }
        same("troubles", seen.toString());
    }

    @Test
    void listingsFollowTheirRecords() throws Exception {
        DnsZone zone = new DnsZone(SETTINGS, 2);
        zone.service(BOOKS, 4, 30, 1, 2, 3);
        zone.follow(BOOKS);
        zone.until(3000);
        zone.seen.append("shrinks\n");
        zone.service(BOOKS, 4, 30, 1);
        zone.until(9000);
        zone.seen.append("is empty\n");
        zone.records.remove("SRV " + BOOKS);
        zone.until(15_000);
        zone.seen.append("there is no such name\n");
        zone.records.put("NX " + BOOKS, List.of());
        zone.until(20_000);
        zone.seen.append("an alias\n");
        zone.records.put("CNAME " + BOOKS, List.of("2 CNAME _books._tcp.all.example.org."));
        zone.service("_books._tcp.all.example.org.", 40, 30, 4, 5);
        zone.until(24_000);
        zone.seen.append("an alias of itself\n");
        zone.records.put("CNAME " + BOOKS, List.of("2 CNAME " + BOOKS));
        zone.until(40_000);
        zone.seen.append("all are silent for longer than stale records last\n");
        zone.behaviors.put(DnsZone.FIRST, DnsZone.Behavior.SILENT);
        zone.behaviors.put(DnsZone.SECOND, DnsZone.Behavior.SILENT);
        zone.until(130_000);
        same("follows", zone.seen.toString());
    }

    @Test
    void queriesAreBoundedWhateverTheTtls() {
        DnsZone zone = new DnsZone(SETTINGS, 3);
        for (int i = 0; i < 200; i++) {
            String name = "_books._tcp.c" + i + ".example.org.";
            zone.service(name, 0, 0, i);
            zone.follow(name);
        }
        zone.until(10_000);
        assertThat(zone.maxInFlight).isLessThanOrEqualTo(16);
        // No name or address is asked for more than once in its least lifetime of a second.
        assertThat(zone.queries).isLessThanOrEqualTo(200 * 2 * 11);
        DnsZone age = new DnsZone(SETTINGS, 4);
        age.service(BOOKS, Integer.MAX_VALUE, Integer.MAX_VALUE, 1);
        age.follow(BOOKS);
        age.until(7_200_000);
        assertThat(age.queries).isBetween(4, 8);
    }

    @Test
    void additionalAddressesSaveQueriesUnlessTheyAreOutOfBailiwick() {
        DnsZone zone = new DnsZone(SETTINGS, 5);
        zone.sendsAdditional = true;
        zone.service(BOOKS, 4, 30, 1, 2, 3);
        zone.records.put("SRV " + BOOKS, List.of("4 SRV 0 5 80 s1.example.org.", "4 SRV 0 5 80 www.bank.example."));
        zone.records.put("A www.bank.example.", List.of("30 A 10.0.0.66"));
        zone.follow(BOOKS);
        zone.until(100);
        assertThat(zone.resolver.counts().get("dropped: an address out of bailiwick"))
                .isEqualTo(1);
        assertThat(zone.queries)
                .as("the name, and the address that lies outside")
                .isEqualTo(2);
    }

    /** Whatever an answer's bytes become, nothing is thrown, and the query is still open or decided. */
    @Test
    void aHundredThousandMalformedMessagesDoNoHarm() {
        SplittableRandom random = new SplittableRandom(6);
        DnsZone zone = new DnsZone(SETTINGS, 6);
        zone.service(BOOKS, 4, 30, 1, 2, 3);
        zone.sendsAdditional = true;
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
            byte[] bytes = zone.message(query, DnsZone.Behavior.ANSWER);
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
        assertThat(zone.resolver.cachedEntries()).isLessThan(5000);
    }

    // ---- Any order of troubles ----

    /** Lists against what the zone truly held lately; what broke, or null. */
    private static String play(LongFunction<Resolver> make, long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        DnsZone zone = new DnsZone(SETTINGS, seed, make.apply(seed));
        zone.sendsAdditional = seed % 2 == 0;
        int[] targets = {1, 2, 3, 4, 5};
        zone.service(BOOKS, 4, 6, targets);
        zone.follow(BOOKS);
        zone.until(50);
        for (int step = 0; step < 12; step++) {
            for (var server : List.of(DnsZone.FIRST, DnsZone.SECOND)) {
                zone.behaviors.put(server, DnsZone.Behavior.values()[random.nextInt(DnsZone.Behavior.values().length)]);
            }
            zone.refusesTcp = random.nextBoolean();
            int before = zone.seen.length();
            zone.until(zone.nowMs + random.nextDouble(500, 5000));
            String news = zone.seen.substring(before);
            // The zone holds five targets all the time: a whole list of fewer is a mistake, in whatever trouble.
            for (String line : news.split("\n")) {
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
        return zone.maxInFlight > SETTINGS.maxInFlight() ? "too many questions" : null;
    }

    private static Resolver withoutFault(long seed) {
        return new Resolver(
                List.of(DnsZone.FIRST, DnsZone.SECOND), "example.org", false, SETTINGS, new SplittableRandom(seed));
    }

    private static Resolver withValidator(long seed, ResponseValidator validator) {
        return new Resolver(
                List.of(DnsZone.FIRST, DnsZone.SECOND),
                "example.org",
                false,
                SETTINGS,
                new SplittableRandom(seed),
                validator);
    }

    private static String hunt(LongFunction<Resolver> make, int seeds) {
        for (long seed = 1; seed <= seeds; seed++) {
            String broken = play(make, seed);
            if (broken != null) {
                return "seed " + seed + ": " + broken;
            }
        }
        return "none";
    }

    @Test
    void nothingBreaksOverSeededFailures() {
        assertThat(hunt(ResolverTest::withoutFault, 2000)).isEqualTo("none");
    }

    @Test
    void plantedFaultsAreCaught() throws Exception {
        Map<String, LongFunction<Resolver>> faults = new TreeMap<>();
        faults.put(
                "truncation ignored",
                seed -> withValidator(seed, new ResponseValidator() {
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
                seed -> withValidator(seed, new ResponseValidator() {
                    @Override
                    boolean hasId(DnsQuery query, Message message) {
                        return true;
                    }

                    @Override
                    boolean answersQuestion(DnsQuery query, Message message) {
                        return true;
                    }
                }));
        StringBuilder caught = new StringBuilder();
        faults.forEach((name, make) -> caught.append(name)
                .append(": ")
                .append(hunt(make, 500).replaceAll("seed [0-9]+: ", ""))
                .append('\n'));
        same("dns-faults", caught.toString());
    }

    /** dnsjava is asked for what we rely on: the types that records are read as. */
    @Test
    void recordsAreReadAsTheirTypes() throws Exception {
        DnsZone zone = new DnsZone(SETTINGS, 7);
        zone.service(BOOKS, 4, 30, 1);
        zone.resolver.follow(BOOKS, 0);
        Message message = new Message(zone.message(zone.resolver.takeQueries().get(0), DnsZone.Behavior.ANSWER));
        Record record = message.getSection(org.xbill.DNS.Section.ANSWER).get(0);
        assertThat(record).isInstanceOf(SRVRecord.class);
        assertThat(((SRVRecord) record).getPort()).isEqualTo(80);
    }
}
