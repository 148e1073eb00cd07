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
    private static final ResolverSettings LIFETIMES =
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
    void troublesOfNameServersNeverEmptyAList() throws Exception {
        StringBuilder seen = new StringBuilder();
        for (DnsZone.Manner manner : DnsZone.Manner.values()) {
            for (boolean refused : manner == DnsZone.Manner.TRUNCATE ? new boolean[] {false, true} : new boolean[1]) {
                DnsZone zone = new DnsZone(LIFETIMES, 1);
                zone.service(BOOKS, 4, 30, 1, 2, 3);
                zone.follow(BOOKS);
                zone.until(2000);
                zone.manners.put(DnsZone.FIRST, manner);
                zone.manners.put(DnsZone.SECOND, manner);
                zone.tcpRefused = refused;
                zone.until(8000);
                zone.manners.clear();
                zone.until(20_000);
                seen.append(manner)
                        .append(refused ? ", TCP refused" : "")
                        .append('\n')
                        .append(zone.seen);
            }
        }
        same("troubles", seen.toString());
    }

    @Test
    void listsFollowTheirRecords() throws Exception {
        DnsZone zone = new DnsZone(LIFETIMES, 2);
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
        zone.manners.put(DnsZone.FIRST, DnsZone.Manner.SILENT);
        zone.manners.put(DnsZone.SECOND, DnsZone.Manner.SILENT);
        zone.until(130_000);
        same("follows", zone.seen.toString());
    }

    @Test
    void questionsAreBoundedWhateverTheLifetimes() {
        DnsZone zone = new DnsZone(LIFETIMES, 3);
        for (int i = 0; i < 200; i++) {
            String name = "_books._tcp.c" + i + ".example.org.";
            zone.service(name, 0, 0, i);
            zone.follow(name);
        }
        zone.until(10_000);
        assertThat(zone.mostOut).isLessThanOrEqualTo(16);
        // No name or address is asked for more than once in its least lifetime of a second.
        assertThat(zone.asked).isLessThanOrEqualTo(200 * 2 * 11);
        DnsZone age = new DnsZone(LIFETIMES, 4);
        age.service(BOOKS, Integer.MAX_VALUE, Integer.MAX_VALUE, 1);
        age.follow(BOOKS);
        age.until(7_200_000);
        assertThat(age.asked).isBetween(4, 8);
    }

    @Test
    void addressesThatComeAlongSaveQuestionsUnlessTheyLieOutside() {
        DnsZone zone = new DnsZone(LIFETIMES, 5);
        zone.additional = true;
        zone.service(BOOKS, 4, 30, 1, 2, 3);
        zone.records.put("SRV " + BOOKS, List.of("4 SRV 0 5 80 s1.example.org.", "4 SRV 0 5 80 www.bank.example."));
        zone.records.put("A www.bank.example.", List.of("30 A 10.0.0.66"));
        zone.follow(BOOKS);
        zone.until(100);
        assertThat(zone.resolver.counts().get("dropped: an address out of bailiwick"))
                .isEqualTo(1);
        assertThat(zone.asked).as("the name, and the address that lies outside").isEqualTo(2);
    }

    /** Whatever an answer's bytes become, nothing is thrown, and the question is still open or decided. */
    @Test
    void aHundredThousandSpoiltMessagesDoNoHarm() {
        SplittableRandom chance = new SplittableRandom(6);
        DnsZone zone = new DnsZone(LIFETIMES, 6);
        zone.service(BOOKS, 4, 30, 1, 2, 3);
        zone.additional = true;
        zone.resolver.follow(BOOKS, 0);
        double nowMs = 0;
        List<DnsQuery> open = new ArrayList<>(zone.resolver.questions());
        for (int i = 0; i < 100_000; i++) {
            nowMs += 1;
            zone.resolver.advance(nowMs);
            open.addAll(zone.resolver.questions());
            if (open.isEmpty()) {
                continue;
            }
            DnsQuery question = open.get(chance.nextInt(open.size()));
            byte[] bytes = zone.message(question, DnsZone.Manner.ANSWER);
            for (int change = chance.nextInt(1, 6); change > 0; change--) {
                switch (chance.nextInt(3)) {
                    case 0 -> bytes[chance.nextInt(bytes.length)] = (byte) chance.nextInt(256);
                    case 1 -> bytes = java.util.Arrays.copyOf(bytes, Math.max(1, bytes.length - chance.nextInt(20)));
                    default -> bytes[chance.nextInt(bytes.length)] |= (byte) 0xc0;
                }
            }
            if (zone.resolver.answer(question, bytes, question.server(), nowMs)) {
                open.remove(question);
            } else if (chance.nextInt(50) == 0) {
                zone.resolver.timedOut(question, nowMs);
                open.remove(question);
            }
            zone.resolver.listings(nowMs);
            assertThat(zone.resolver.outstanding()).isLessThanOrEqualTo(16);
        }
        assertThat(zone.resolver.entries()).isLessThan(5000);
    }

    // ---- Any order of troubles ----

    /** Lists against what the zone truly held lately; what broke, or null. */
    private static String play(LongFunction<Resolver> make, long seed) {
        SplittableRandom chance = new SplittableRandom(seed);
        DnsZone zone = new DnsZone(LIFETIMES, seed, make.apply(seed));
        zone.additional = seed % 2 == 0;
        int[] targets = {1, 2, 3, 4, 5};
        zone.service(BOOKS, 4, 6, targets);
        zone.follow(BOOKS);
        zone.until(50);
        for (int step = 0; step < 12; step++) {
            for (var server : List.of(DnsZone.FIRST, DnsZone.SECOND)) {
                zone.manners.put(server, DnsZone.Manner.values()[chance.nextInt(DnsZone.Manner.values().length)]);
            }
            zone.tcpRefused = chance.nextBoolean();
            int before = zone.seen.length();
            zone.until(zone.nowMs + chance.nextDouble(500, 5000));
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
        return zone.mostOut > LIFETIMES.mostAsking() ? "too many questions" : null;
    }

    private static Resolver sound(long seed) {
        return new Resolver(
                List.of(DnsZone.FIRST, DnsZone.SECOND), "example.org", false, LIFETIMES, new SplittableRandom(seed));
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
    void nothingBreaksOverSeededTroubles() {
        assertThat(hunt(ResolverTest::sound, 2000)).isEqualTo("none");
    }

    @Test
    void plantedFaultsAreCaught() throws Exception {
        Map<String, LongFunction<Resolver>> faults = new TreeMap<>();
        faults.put(
                "truncation ignored",
                seed ->
                        new Resolver(
                                List.of(DnsZone.FIRST, DnsZone.SECOND),
                                "example.org",
                                false,
                                LIFETIMES,
                                new SplittableRandom(seed)) {
                            @Override
                            boolean truncated(Message message) {
                                return false;
                            }
                        });
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
                seed ->
                        new Resolver(
                                List.of(DnsZone.FIRST, DnsZone.SECOND),
                                "example.org",
                                false,
                                LIFETIMES,
                                new SplittableRandom(seed)) {
                            @Override
                            boolean fits(DnsQuery question, Message message) {
                                return true;
                            }
                        });
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
        DnsZone zone = new DnsZone(LIFETIMES, 7);
        zone.service(BOOKS, 4, 30, 1);
        zone.resolver.follow(BOOKS, 0);
        Message message = new Message(zone.message(zone.resolver.questions().get(0), DnsZone.Manner.ANSWER));
        Record record = message.getSection(org.xbill.DNS.Section.ANSWER).get(0);
        assertThat(record).isInstanceOf(SRVRecord.class);
        assertThat(((SRVRecord) record).getPort()).isEqualTo(80);
    }
}
