package spartrail.cli;

import static org.assertj.core.api.Assertions.assertThat;

import example.DelayedAnswers;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.stream.LongStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import spartrail.cli.BadClient.Kind;

/**
 * Runs a node beside clients and signals that a seed draws, until it is killed at the earliest time that the rules allow
 * after SIGTERM. More seeds: {@code mvn -pl node -am test -Dtest=ClientSoakTest -DargLine='-Dsoak.seeds=50'}; one seed:
 * {@code -Dsoak.firstSeed=N -Dsoak.seeds=1}.
 */
class ClientSoakTest extends NodeProcessFixture {
    private static final System.Logger LOG = System.getLogger("spartrail.test");
    private static final int DEFAULT_SEEDS = 8;
    private static final int SERVICE_TIME_MS = 10;
    private static final int SERVING_MS = 3000;
    private static final int CLIENT_TIMEOUT_MS = 600;
    private static final int KILL_AFTER_MS = CLIENT_TIMEOUT_MS + 700;
    private static final int CROWD = 300;
    /** The rule's 0.1 s, 50 ms more on sockets, and a period in which a throttled node is suspended. */
    private static final long MAX_SEND_AFTER_DEPARTURE_MS = 100 + 50 + 100;

    private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(4);
    private DelayedAnswers answers;
    private final Map<String, Long> departuresNs = new ConcurrentHashMap<>();
    private final List<AutoCloseable> others = new ArrayList<>();

    ClientSoakTest() throws IOException {}

    static LongStream seeds() {
        long first = Long.getLong("soak.firstSeed", 1);
        return LongStream.range(first, first + Integer.getInteger("soak.seeds", DEFAULT_SEEDS));
    }

    @AfterEach
    void stop() throws Exception {
        for (AutoCloseable other : others) {
            other.close();
        }
        timer.shutdownNow();
        if (answers != null) {
            answers.close();
        }
    }

    private int startServing(Random random, boolean isIdempotent, int memoryMb) throws Exception {
        Random serviceTimes = new Random(random.nextLong());
        answers = new DelayedAnswers(fleet, () -> serviceTimes.nextInt(2 * SERVICE_TIME_MS));
        Files.writeString(
                configurationFile,
                validConfiguration
                        .replace("\"memory_mb\": 192", "\"memory_mb\": " + memoryMb)
                        .replace("\"aim\": 1, \"deadline\": 2", "\"aim\": 0.3, \"deadline\": 0.6")
                        .replace("\"free\"", isIdempotent ? "\"free\"" : "\"single_shot\""));
        startNodeByStartCommand("");
        return awaitPort();
    }

    private void startOthers(int port, Random random) throws IOException {
        for (int group = random.nextInt(3); group >= 0; group--) {
            Kind kind = Kind.values()[random.nextInt(Kind.values().length)];
            int count = List.of(1, 6, 40).get(random.nextInt(3));
            for (int i = 0; i < count; i++) {
                others.add(new BadClient(port, "orders", kind));
            }
        }
        if (random.nextInt(4) == 0) {
            for (int i = 0; i < CROWD; i++) {
                Socket idle = new Socket("127.0.0.1", port);
                idle.getOutputStream().write("GET /up HTTP/1.1\r\nHost: x\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
                others.add(idle);
            }
        }
    }

    /** Sends queries at once, leaves soon after, and sends some of their ids again on new connections. */
    private void leaveAndComeAgain(int port, String name, Random random) {
        try (Socket leaving = new Socket("127.0.0.1", port)) {
            StringBuilder text = new StringBuilder();
            for (int i = 0; i < 30; i++) {
                text.append(UsualClients.buildQuery("orders", name + i, 0.6, 3));
            }
            leaving.getOutputStream().write(text.toString().getBytes(StandardCharsets.US_ASCII));
            TimeUnit.MILLISECONDS.sleep(random.nextInt(30));
            leaving.close();
            departuresNs.put(name, System.nanoTime());
            for (int i = 0; i < 3; i++) {
                TimeUnit.MILLISECONDS.sleep(random.nextInt(120));
                try (Socket again = new Socket("127.0.0.1", port)) {
                    String query = UsualClients.buildQuery("orders", name + i, 0.6, 3);
                    again.getOutputStream().write(query.getBytes(StandardCharsets.US_ASCII));
                    again.setSoTimeout(1000);
                    UsualClients.readStatus(new BufferedInputStream(again.getInputStream()));
                }
            }
        } catch (IOException e) {
            // The node may be ending.
            departuresNs.putIfAbsent(name, System.nanoTime());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void scheduleSignals(Random random, UsualClients usual) {
        for (int i = random.nextInt(5); i > 0; i--) {
            schedule(random.nextInt(SERVING_MS), () -> sendSignal("HUP"));
        }
        schedule(SERVING_MS, () -> {
            usual.expectEndOfNode();
            sendSignal("TERM");
        });
        if (random.nextBoolean()) {
            schedule(SERVING_MS + random.nextInt(500), () -> sendSignal("TERM"));
        }
    }

    private interface Step {
        void run() throws Exception;
    }

    private void schedule(int afterMs, Step step) {
        timer.schedule(
                () -> {
                    step.run();
                    return null;
                },
                afterMs,
                TimeUnit.MILLISECONDS);
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void rulesHoldBesideOtherClientsUntilTheKill(long seed) throws Exception {
        Random random = new Random(new SplittableRandom(seed).nextLong());
        boolean isIdempotent = random.nextBoolean();
        int memoryMb = random.nextBoolean() ? 96 : 192;
        double share = List.of(1.0, 1.0, 0.25, 0.1).get(random.nextInt(4));
        int port = startServing(random, isIdempotent, memoryMb);
        double[] peakMb = new double[1];
        double[] waitedMs = new double[1];
        try (UsualClients usual = new UsualClients(port, "orders")) {
            usual.run(0.5);
            if (share < 1) {
                others.add(new ProcessThrottle(process.pid(), share));
            }
            startOthers(port, random);
            scheduleSignals(random, usual);
            for (int i = 0; i < 10; i++) {
                String name = "leaver" + i + "-";
                Random own = new Random(random.nextLong());
                schedule(random.nextInt(SERVING_MS + KILL_AFTER_MS), () -> leaveAndComeAgain(port, name, own));
            }
            schedule(SERVING_MS - 10, () -> {
                peakMb[0] = readPeakMemoryMb();
                waitedMs[0] = readProcessorWaitMs();
            });
            schedule(SERVING_MS + KILL_AFTER_MS, () -> process.destroyForcibly());
            UsualClients.Summary seen = usual.run((SERVING_MS + KILL_AFTER_MS) / 1000.0);
            String run = "seed " + seed + ", share " + share + ", " + memoryMb + " MB, idempotent " + isIdempotent
                    + ", " + others.size() + " others, peak " + peakMb[0] + " MB, waited for a processor "
                    + Math.round(waitedMs[0]) + " ms: " + seen + "; log "
                    + findLines("WARNING");
            LOG.log(System.Logger.Level.INFO, "soak " + run);
            assertThat(seen.lost()).as("lost, " + run).isZero();
            assertThat(peakMb[0]).as("peak memory, " + run).isBetween(1.0, (double) memoryMb);
            assertNothingRanTwice(isIdempotent, run);
            assertNothingWasSentAfterDepartures(run);
        }
    }

    private void assertNothingRanTwice(boolean isIdempotent, String run) {
        if (!isIdempotent) {
            assertThat(answers.arrivalsNs).allSatisfy((id, times) -> assertThat(times)
                    .as("runs of part " + id + ", " + run)
                    .hasSize(1));
        }
    }

    /** Of the ids that do not come again. */
    private void assertNothingWasSentAfterDepartures(String run) {
        answers.arrivalsNs.forEach((id, times) -> {
            if (!id.matches("leaver\\d+-\\d+\\..*") || id.matches(".*-[012]\\..*")) {
                return;
            }
            Long departureNs = departuresNs.get(id.substring(0, id.indexOf('-') + 1));
            if (departureNs != null) {
                assertThat(times).as("sends of part " + id + ", " + run).allSatisfy(sentNs -> assertThat(
                                (sentNs - departureNs) / 1_000_000)
                        .isLessThanOrEqualTo(MAX_SEND_AFTER_DEPARTURE_MS));
            }
        });
    }
}
