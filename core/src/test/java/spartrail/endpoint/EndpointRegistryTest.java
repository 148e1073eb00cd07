package spartrail.endpoint;

import static org.assertj.core.api.Assertions.assertThat;
import static spartrail.model.Server.State.DRAINING;
import static spartrail.model.Server.State.GONE;
import static spartrail.model.Server.State.LIVE;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.function.Supplier;
import org.junit.jupiter.api.Test;
import spartrail.GoldenFile;
import spartrail.model.Server;

class EndpointRegistryTest {
    private static final MergeLimits LIMITS = new MergeLimits(1, 1000, 1000, 100, 500, 3, 50, 1000, 5000, 1e9, 100);
    private static final double LIFETIME_MS = 300;

    private static SourceReport discoveryReport(int number, Server.State state, double bornMs) {
        return new SourceReport("u" + number, "10.0.0." + number + ":1", "a", "k", number % 3, state, 1, bornMs, 0);
    }

    private static SourceReport dnsReport(int number, int tier) {
        return new SourceReport(null, "10.0.0." + number + ":1", "a", "k", number % 3, LIVE, 1, Double.NaN, tier);
    }

    /** Passes answers of sources to a registry and records what it publishes as a text. */
    private static final class RegistryDriver {
        private final EndpointRegistry registry =
                new EndpointRegistry(3, 1, LIMITS, endpoint -> !endpoint.startsWith("192."));
        private final EndpointSource discovery =
                registry.getOrCreateSource("discovery", EndpointSource.Kind.DISCOVERY, 0);
        private final EndpointSource dns = registry.getOrCreateSource("dns", EndpointSource.Kind.DNS, 0);
        private final StringBuilder trace = new StringBuilder();

        void answerFromDiscovery(double ms, SourceReport... reports) {
            advanceTo(ms);
            registry.applyReports(discovery, true, List.of(reports), 0, ms);
            print(ms, "discovery " + reports.length);
        }

        void sendDiscoveryChange(double ms, SourceReport report) {
            advanceTo(ms);
            registry.applyReports(discovery, false, List.of(report), 0, ms);
            print(ms, "discovery " + report.id() + " " + report.state());
        }

        void answerFromDns(double ms, SourceReport... reports) {
            advanceTo(ms);
            registry.applyReports(dns, true, List.of(reports), LIFETIME_MS, ms);
            print(ms, "dns " + reports.length);
        }

        void markUnavailable(double ms, EndpointSource source) {
            advanceTo(ms);
            registry.markUnavailable(source, ms);
            print(ms, source + " out");
        }

        void advanceTo(double ms) {
            while (registry.nextDueMs() <= ms) {
                double dueMs = registry.nextDueMs();
                registry.advance(dueMs);
                print(dueMs, "time");
            }
        }

        private void print(double ms, String event) {
            StringBuilder line = new StringBuilder();
            for (SourceReport report : registry.takeChanges()) {
                EndpointRecord record = registry.find(report.id());
                line.append(String.format(
                        Locale.ROOT,
                        " %s %s%s [%s]",
                        report.id(),
                        report.state(),
                        report.startedMs() >= 0 ? String.format(Locale.ROOT, " born %.0f", report.startedMs()) : "",
                        record == null ? "forgotten" : record.reason()));
            }
            if (line.length() > 0 || !event.equals("time")) {
                trace.append(String.format(Locale.ROOT, "%6.0f %s:%s%n", ms, event, line));
            }
        }
    }

    @Test
    void discoveryOverridesDnsWhichCanOnlyAddEndpoints() throws Exception {
        RegistryDriver driver = new RegistryDriver();
        driver.answerFromDiscovery(0, discoveryReport(1, LIVE, -1), discoveryReport(2, LIVE, -1));
        driver.answerFromDns(
                10,
                dnsReport(1, 0),
                dnsReport(2, 0),
                dnsReport(3, 0),
                new SourceReport(null, "192.0.2.1:1", "a", "k", 0, LIVE, 1, Double.NaN, 0));
        driver.sendDiscoveryChange(20, discoveryReport(1, DRAINING, -1));
        driver.answerFromDns(30, dnsReport(1, 0), dnsReport(2, 0), dnsReport(3, 0));
        driver.markUnavailable(40, driver.discovery);
        driver.answerFromDns(50, dnsReport(1, 0), dnsReport(2, 0), dnsReport(3, 0));
        driver.answerFromDns(100, dnsReport(2, 0), dnsReport(3, 0));
        driver.answerFromDns(200, dnsReport(1, 0), dnsReport(2, 0), dnsReport(3, 0));
        driver.answerFromDns(300, dnsReport(2, 0), dnsReport(3, 0));
        driver.answerFromDns(700, dnsReport(1, 0), dnsReport(2, 0), dnsReport(3, 0));
        driver.answerFromDiscovery(800, discoveryReport(1, DRAINING, -1), discoveryReport(2, LIVE, -1));
        driver.answerFromDiscovery(900, discoveryReport(2, LIVE, -1), discoveryReport(1, LIVE, 890));
        driver.answerFromDiscovery(1000, discoveryReport(2, LIVE, -1));
        GoldenFile.assertMatches("members-law", driver.trace.toString());
    }

    @Test
    void removalsBelowTheFloorWaitForConfirmation() throws Exception {
        RegistryDriver driver = new RegistryDriver();
        driver.answerFromDns(0, dnsReport(0, 0), dnsReport(3, 0), dnsReport(1, 0));
        driver.answerFromDns(10, dnsReport(0, 0), dnsReport(1, 0));
        driver.answerFromDns(20);
        driver.answerFromDns(30);
        driver.answerFromDns(40);
        driver.answerFromDns(100, dnsReport(0, 0), dnsReport(1, 0));
        driver.answerFromDns(110);
        driver.advanceTo(1000);
        GoldenFile.assertMatches("members-floor", driver.trace.toString());
    }

    @Test
    void endpointsOfUnavailableSourcesStayLiveThenBecomeSuspectThenGone() throws Exception {
        RegistryDriver driver = new RegistryDriver();
        driver.answerFromDiscovery(
                0, discoveryReport(0, LIVE, -1), discoveryReport(3, LIVE, -1), discoveryReport(1, LIVE, -1));
        driver.markUnavailable(100, driver.discovery);
        driver.advanceTo(5000);
        driver.trace
                .append(EndpointExplanation.of(driver.registry.find("u0"), 5000))
                .append(EndpointExplanation.of(driver.registry.find("u3"), 5000));
        driver.answerFromDiscovery(5100, discoveryReport(0, LIVE, -1), discoveryReport(3, LIVE, -1));
        GoldenFile.assertMatches("members-out", driver.trace.toString());
    }

    @Test
    void flappingEndpointsWaitLongerUntilTheirRemovalsDecay() throws Exception {
        RegistryDriver driver = new RegistryDriver();
        driver.answerFromDns(0, dnsReport(0, 0), dnsReport(3, 0));
        for (int i = 1; i <= 4; i++) {
            driver.answerFromDns(i * 1000, dnsReport(3, 0));
            driver.answerFromDns(i * 1000 + 10, dnsReport(0, 0), dnsReport(3, 0));
            driver.advanceTo(i * 1000 + 990);
        }
        driver.answerFromDns(60_000, dnsReport(3, 0));
        driver.answerFromDns(60_010, dnsReport(0, 0), dnsReport(3, 0));
        driver.advanceTo(70_000);
        GoldenFile.assertMatches("members-flaps", driver.trace.toString());
    }

    @Test
    void recordsFollowUidsAndAddressesThatMove() throws Exception {
        RegistryDriver driver = new RegistryDriver();
        driver.answerFromDns(0, dnsReport(1, 0));
        // Discovery lists the endpoint that DNS has reported at this address.
        driver.answerFromDiscovery(10, discoveryReport(1, LIVE, -1));
        // Another server takes over the address.
        driver.sendDiscoveryChange(20, new SourceReport("u9", "10.0.0.1:1", "a", "k", 1, LIVE, 1, 15, 0));
        driver.sendDiscoveryChange(30, new SourceReport("u1", "10.0.0.7:1", "a", "k", 1, LIVE, 1, 25, 0));
        // An endpoint of a worse tier stays on standby until its cell has no endpoint in use of a better tier.
        driver.answerFromDns(40, dnsReport(1, 0), dnsReport(4, 1));
        driver.sendDiscoveryChange(50, new SourceReport("u9", null, "a", "k", 1, GONE, 1, -1, 0));
        driver.sendDiscoveryChange(60, new SourceReport("u1", null, "a", "k", 1, DRAINING, 1, -1, 0));
        GoldenFile.assertMatches("members-identity", driver.trace.toString());
    }

    @Test
    void aSnapshotRestoresReportsTombstonesAndFirstSeenTimes() {
        RegistryDriver driver = new RegistryDriver();
        driver.answerFromDiscovery(
                0, discoveryReport(0, LIVE, -1), discoveryReport(1, LIVE, -1), discoveryReport(2, LIVE, -1));
        driver.answerFromDns(5, dnsReport(0, 0), dnsReport(1, 0), dnsReport(5, 0));
        driver.sendDiscoveryChange(10, discoveryReport(1, DRAINING, -1));
        driver.sendDiscoveryChange(20, new SourceReport("u2", null, "a", "k", 2, GONE, 1, -1, 0));
        RegistryDriver restored = new RegistryDriver();
        restored.registry.restore(driver.registry.snapshot(), 100, 200);
        restored.answerFromDns(210, dnsReport(0, 0), dnsReport(1, 0), dnsReport(2, 0), dnsReport(5, 0));
        assertThat(describeStatuses(restored.registry)).isEqualTo("{10.0.0.5:1=LIVE, u0=LIVE, u1=DRAINING, u2=GONE}");
        assertThat(restored.registry.find("10.0.0.5:1").published().startedMs()).isEqualTo(5);
    }

    private static String describeStatuses(EndpointRegistry registry) {
        Map<String, EndpointRecord.Status> statuses = new TreeMap<>();
        registry.records().forEach(record -> statuses.put(record.id(), record.status()));
        return statuses.toString();
    }

    @Test
    void aReportOnOneEndpointCausesOneEvaluation() {
        EndpointRegistry registry = new EndpointRegistry(
                400, 4, new MergeLimits(1, 1e6, 1e6, 100, 500, 3, 50, 1000, 5000, 5000, 10_000), any -> true);
        EndpointSource discovery = registry.getOrCreateSource("discovery", EndpointSource.Kind.DISCOVERY, 0);
        List<SourceReport> all = new ArrayList<>();
        for (int i = 0; i < 2000; i++) {
            all.add(new SourceReport(
                    "u" + i, "10.0." + i / 200 + "." + i % 200 + ":1", "a", "k", i % 400, LIVE, 1, -1, 0));
        }
        registry.applyReports(discovery, true, all, 0, 0);
        registry.takeChanges();
        long before = registry.counts().evaluations();
        registry.applyReports(
                discovery, false, List.of(new SourceReport("u7", null, "a", "k", 7, DRAINING, 1, -1, 0)), 0, 10);
        assertThat(registry.counts().evaluations() - before).isEqualTo(1);
        assertThat(registry.takeChanges()).hasSize(1);
    }

    // ---- Random sequences of events ----

    /**
     * Sends random events to a registry and checks the published reports against its own records of what the sources
     * have reported, without looking at the decisions inside the registry.
     */
    private static final class Observer {
        private static final int SERVERS = 7;
        private final EndpointRegistry registry;
        private final EndpointSource discovery;
        private final EndpointSource[] dns;
        private final SplittableRandom random;
        private double nowMs = 100;
        private final Set<Integer> inUse = new HashSet<>();
        private final double[] firstListedMs = new double[SERVERS];
        private final int[] removals = new int[SERVERS];
        private final int[][] absentAnswers = new int[2][SERVERS];
        private final double[] unavailableSinceMs = new double[3];
        /** Per source: the two DNS sources, then discovery. */
        private final boolean[] isAvailable = new boolean[3];
        /** Per server: discovery's last report; null if there is none. */
        private final Server.State[] discoveryState = new Server.State[SERVERS];
        /** Per server: when discovery reported the state, or changed it from LIVE. */
        private final double[] discoveryStateMs = new double[SERVERS];
        /** Per DNS source and server: whether the source has ever listed the server. */
        private final boolean[][] isListed = new boolean[2][SERVERS];
        /** Per DNS source and server: since when the source has left it out; 0 while it lists the server. */
        private final double[][] absentSinceMs = new double[2][SERVERS];
        /** Per server: the times of its last four removals. */
        private final double[][] removedMs = new double[SERVERS][4];
        /** Per server: whether a DNS source may have lifted discovery's last report. */
        private final boolean[] mayBeLifted = new boolean[SERVERS];

        Observer(EndpointRegistry registry, long seed) {
            this.registry = registry;
            this.random = new SplittableRandom(seed);
            this.discovery = registry.getOrCreateSource("discovery", EndpointSource.Kind.DISCOVERY, 100);
            this.dns = new EndpointSource[] {
                registry.getOrCreateSource("dns0", EndpointSource.Kind.DNS, 100),
                registry.getOrCreateSource("dns1", EndpointSource.Kind.DNS, 100)
            };
            Arrays.fill(firstListedMs, Double.NaN);
        }

        /** Returns the first violation, or null. */
        String runRandomEvents(int events) {
            for (int i = 0; i < events; i++) {
                nowMs += random.nextInt(4) == 0 ? random.nextDouble(0, 800) : random.nextDouble(0, 60);
                while (registry.nextDueMs() <= nowMs) {
                    double dueMs = registry.nextDueMs();
                    registry.advance(dueMs);
                    String violation = findViolationAfter(dueMs, -1);
                    if (violation != null) {
                        return violation;
                    }
                }
                String violation = applyRandomEvent();
                if (violation != null) {
                    return violation;
                }
            }
            return null;
        }

        private String applyRandomEvent() {
            int kind = random.nextInt(10);
            if (kind == 0) {
                int source = random.nextInt(3);
                if (isAvailable[source]) {
                    isAvailable[source] = false;
                    unavailableSinceMs[source] = nowMs;
                }
                registry.markUnavailable(source == 2 ? discovery : dns[source], nowMs);
                return findViolationAfter(nowMs, -1);
            }
            if (kind < 4) {
                int server = random.nextInt(SERVERS - 1);
                Server.State state = Server.State.values()[random.nextInt(3)];
                isAvailable[2] = true;
                if (discoveryState[server] == null || discoveryState[server] == LIVE) {
                    discoveryStateMs[server] = nowMs;
                }
                discoveryState[server] = state;
                mayBeLifted[server] = false;
                registry.applyReports(discovery, false, List.of(discoveryReport(server, state, -1)), 0, nowMs);
                return findViolationAfter(nowMs, -1);
            }
            int source = random.nextInt(2);
            List<SourceReport> reports = new ArrayList<>();
            boolean isEmptyAnswer = random.nextInt(6) == 0;
            isAvailable[source] = true;
            for (int server = 0; server < SERVERS; server++) {
                if (!isEmptyAnswer && random.nextInt(4) != 0) {
                    if (isListed[source][server]
                            && !Double.isNaN(absentSinceMs[source][server])
                            && absentSinceMs[source][server] > 0) {
                        recordPossibleLift(
                                source, server, Math.max(absentSinceMs[source][server], discoveryStateMs[server]));
                    } else if (!isListed[source][server]) {
                        // Never listed by this source, so it may have been absent from the start.
                        recordPossibleLift(source, server, discoveryStateMs[server]);
                    }
                    reports.add(dnsReport(server, 0));
                    isListed[source][server] = true;
                    absentSinceMs[source][server] = 0;
                    absentAnswers[source][server] = 0;
                    firstListedMs[server] = Double.isNaN(firstListedMs[server]) ? nowMs : firstListedMs[server];
                } else {
                    absentSinceMs[source][server] =
                            absentSinceMs[source][server] > 0 ? absentSinceMs[source][server] : nowMs;
                    absentAnswers[source][server]++;
                }
            }
            reports.add(new SourceReport(null, "192.0.2.9:1", "a", "k", 0, LIVE, 1, Double.NaN, 0));
            registry.applyReports(dns[source], true, reports, LIFETIME_MS, nowMs);
            return findViolationAfter(nowMs, source);
        }

        private void recordPossibleLift(int source, int server, double sinceMs) {
            if (!isAvailable[2] && nowMs - sinceMs >= LIFETIME_MS) {
                mayBeLifted[server] = true;
            }
        }

        /** Returns a violation in the latest changes, or null; {@code dnsSource} has just answered, or is -1. */
        private String findViolationAfter(double atMs, int dnsSource) {
            int[] before = countInUsePerShard();
            Set<Integer> wasInUse = new HashSet<>(inUse);
            for (SourceReport report : registry.takeChanges()) {
                if (report.address().startsWith("192.")) {
                    return "an endpoint that is not allowed was handed on";
                }
                int server = report.address().charAt("10.0.0.".length()) - '0';
                if (report.state() == LIVE) {
                    inUse.add(server);
                    if (discoveryState[server] == null && report.startedMs() < firstListedMs[server]) {
                        return "one whose start no source reports was taken for warm";
                    }
                    if (!wasInUse.contains(server)
                            && discoveryState[server] == null
                            && removals[server] >= 3
                            && atMs - removedMs[server][(removals[server] - 3) % 4] < 200
                            && atMs - removedMs[server][(removals[server] - 1) % 4] < 20) {
                        return "one that came and went three times was taken back at once";
                    }
                } else if (inUse.remove(server)) {
                    removedMs[server][removals[server]++ % 4] = atMs;
                    if (discoveryState[server] == null || discoveryState[server] == LIVE && !isAvailable[2]) {
                        String early = findEarlyRemoval(server, atMs);
                        if (early != null) {
                            return early;
                        }
                    }
                }
            }
            for (int server : inUse) {
                if (discoveryState[server] != null && discoveryState[server] != LIVE && !mayBeLifted[server]) {
                    return "server " + server + " is in use though discovery last reported " + discoveryState[server];
                }
            }
            return dnsSource < 0 ? null : findFloorViolation(before, countInUsePerShard(), dnsSource, wasInUse);
        }

        /** Returns a violation if a removed server was still listed by a source whose reports are valid, or null. */
        private String findEarlyRemoval(int server, double atMs) {
            for (int source = 0; source < 2; source++) {
                if (isListed[source][server]
                        && absentSinceMs[source][server] == 0
                        && (isAvailable[source]
                                || atMs < unavailableSinceMs[source] + LIMITS.freezeMs() + LIMITS.suspectMs() - 1)) {
                    return "server " + server + " went though dns" + source + " names it";
                }
            }
            return discoveryState[server] == LIVE
                            && !isAvailable[2]
                            && atMs < unavailableSinceMs[2] + LIMITS.freezeMs() + LIMITS.suspectMs() - 1
                            && !mayBeLifted[server]
                    ? "server " + server + " went at once as discovery became unavailable"
                    : null;
        }

        private int[] countInUsePerShard() {
            int[] count = new int[3];
            inUse.forEach(server -> {
                count[server % 3]++;
                count[Math.floorMod(server % 3 - 1, 3)]++;
            });
            return count;
        }

        private String findFloorViolation(int[] before, int[] after, int source, Set<Integer> wasInUse) {
            for (int shard = 0; shard < 3; shard++) {
                if (before[shard] >= 1 && after[shard] < 1) {
                    int held = shard;
                    boolean confirmed = wasInUse.stream()
                            .filter(server -> server % 3 == held || Math.floorMod(server % 3 - 1, 3) == held)
                            .filter(server -> !inUse.contains(server))
                            .allMatch(server -> absentAnswers[source][server] >= LIMITS.confirmAnswers()
                                    || nowMs - absentSinceMs[source][server] >= LIMITS.confirmMs()
                                    || absentAnswers[1 - source][server] >= LIMITS.confirmAnswers());
                    if (!confirmed) {
                        return "one answer of dns" + source + " took shard " + shard + " below its floor";
                    }
                }
            }
            return null;
        }
    }

    private static EndpointRegistry createRegistry() {
        return new EndpointRegistry(3, 2, LIMITS, endpoint -> !endpoint.startsWith("192."));
    }

    private static EndpointRegistry createRegistryWithRules(StatusRules.Factory rules) {
        return new EndpointRegistry(3, 2, LIMITS, endpoint -> !endpoint.startsWith("192."), rules);
    }

    /** Returns the first seed with a violation and the violation, or "none". */
    private static String findViolation(Supplier<EndpointRegistry> registries, int seeds) {
        for (long seed = 1; seed <= seeds; seed++) {
            String violation = new Observer(registries.get(), seed).runRandomEvents(60);
            if (violation != null) {
                return "seed " + seed + ": " + violation;
            }
        }
        return "none";
    }

    /** To repeat a failing seed, call {@code new Observer(createRegistry(), SEED).runRandomEvents(60)}. */
    @Test
    void noInvariantIsViolatedInTenThousandRandomEventSequences() {
        assertThat(findViolation(EndpointRegistryTest::createRegistry, 10_000)).isEqualTo("none");
    }

    /**
     * Shows that the observer detects each planted fault; otherwise the test above would pass for a faulty registry.
     */
    @Test
    void plantedFaultsAreDetected() throws Exception {
        Map<String, Supplier<EndpointRegistry>> faults = new HashMap<>();
        Function<MergeLimits, EndpointRegistry> withLimits =
                limits -> new EndpointRegistry(3, 2, limits, endpoint -> !endpoint.startsWith("192."));
        faults.put(
                "tombstones lifted by anyone",
                () -> createRegistryWithRules((limits, cells, sources) -> new StatusRules(limits, cells, sources) {
                    @Override
                    boolean mayLiftTombstone(
                            EndpointSource source, EndpointRecord record, double absentSinceMs, double nowMs) {
                        return true;
                    }
                }));
        faults.put(
                "no floor",
                () -> withLimits.apply(new MergeLimits(0, 1000, 1000, 100, 500, 3, 50, 1000, 5000, 1e9, 100)));
        faults.put(
                "confirmed by one answer",
                () -> createRegistryWithRules((limits, cells, sources) -> new StatusRules(limits, cells, sources) {
                    @Override
                    boolean isConfirmed(SourceEntry entry, double nowMs) {
                        return true;
                    }
                }));
        faults.put(
                "no wait after flaps",
                () -> createRegistryWithRules((limits, cells, sources) -> new StatusRules(limits, cells, sources) {
                    @Override
                    double flapDelayMs(EndpointRecord record, double nowMs) {
                        return 0;
                    }
                }));
        faults.put(
                "a source that is out ends its servers",
                () -> withLimits.apply(new MergeLimits(1, 0, 0, 100, 500, 3, 50, 1000, 5000, 1e9, 100)));
        faults.put("any endpoint allowed", () -> new EndpointRegistry(3, 2, LIMITS, endpoint -> true));
        Map<String, String> violations = new TreeMap<>();
        faults.forEach((name, registries) -> violations.put(
                name,
                findViolation(registries, 2000).replaceAll("seed [0-9]+: ", "").replaceAll("[0-9]", "n")));
        GoldenFile.assertMatches("members-faults", violations.toString().replace(", ", "\n"));
    }
}
