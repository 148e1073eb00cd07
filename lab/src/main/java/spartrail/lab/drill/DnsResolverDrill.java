package spartrail.lab.drill;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import spartrail.dns.DnsTransport;
import spartrail.dns.Resolver;
import spartrail.dns.ResolverSettings;
import spartrail.dns.SrvTargets;
import spartrail.endpoint.EndpointRegistry;
import spartrail.endpoint.EndpointSource;
import spartrail.endpoint.MergeLimits;
import spartrail.endpoint.SourceReport;
import spartrail.lab.dns.DnsServerEmulator;
import spartrail.lab.dns.DnsServerEmulator.Behavior;
import spartrail.model.NodeClock;
import spartrail.model.Server;

/**
 * Runs resolver, transport and registry on real sockets against name servers with faults. Under each fault twenty
 * servers stay in use, and after it the targets are fresh again. Only the emulators are slow; no result depends on how
 * long an operation takes.
 */
public final class DnsResolverDrill implements Drill {
    private static final String NAME = "_books._tcp.c0.books.example.org.";
    private static final int TARGETS = 20;
    private static final int MAX_POLLS = 24_000;
    private static final long POLL_INTERVAL_MS = 5;
    private static final ResolverSettings RESOLVER_SETTINGS =
            new ResolverSettings(300, 3_600_000, 300, 100, 400, 600_000, 100, 4, 16, 512);
    private static final MergeLimits MERGE_LIMITS =
            new MergeLimits(10, 600_000, 600_000, 400, 600_000, 1_000_000, 0, 0, 1, 600_000, 1000);

    @Override
    public String name() {
        return "dns-resolver";
    }

    @Override
    public String summary() {
        return "name servers truncate, fail, spoof or do not respond: no list empties, and all are fresh afterwards";
    }

    @Override
    public String subsystem() {
        return "DNS";
    }

    @Override
    public void run(long seed, Findings findings) throws Exception {
        for (Behavior behavior : Behavior.values()) {
            runWithBehavior(behavior, seed, findings);
        }
    }

    /** Checks the targets while two name servers show this behavior and after they respond correctly again. */
    static void runWithBehavior(Behavior behavior, long seed, Findings findings) throws Exception {
        NodeClock clock = new NodeClock();
        EndpointRegistry registry = new EndpointRegistry(1, 1, MERGE_LIMITS, address -> true);
        EndpointSource source = registry.getOrCreateSource(NAME, EndpointSource.Kind.DNS, clock.nowMs());
        List<SrvTargets> received = new CopyOnWriteArrayList<>();
        AtomicInteger leastInUse = new AtomicInteger(Integer.MAX_VALUE);
        try (DnsServerEmulator firstServer = new DnsServerEmulator(seed);
                DnsServerEmulator secondServer = new DnsServerEmulator(seed + 1)) {
            List<DnsServerEmulator> servers = List.of(firstServer, secondServer);
            servers.forEach(DnsResolverDrill::setRecords);
            Resolver resolver = new Resolver(
                    List.of(firstServer.address(), secondServer.address()),
                    "books.example.org",
                    false,
                    RESOLVER_SETTINGS,
                    new SplittableRandom(seed));
            try (DnsTransport transport = new DnsTransport(resolver, clock, targets -> {
                merge(registry, source, targets, clock.nowMs());
                if (registry.records().size() == TARGETS) {
                    leastInUse.accumulateAndGet(countInUse(registry), Math::min);
                }
                received.add(targets);
            })) {
                transport.execute(() -> resolver.follow(NAME, clock.nowMs()));
                boolean hasLackedServers = hasLackedServersDuring(behavior, servers, received);
                SrvTargets latest = received.get(received.size() - 1);
                boolean acceptsCurrent = !latest.isStale() && !hasLackedServers;
                SrvTargets last = awaitFreshTargets(received, received.size(), acceptsCurrent);
                boolean reportsNoRecords = behavior == Behavior.EMPTY || behavior == Behavior.NXDOMAIN;
                findings.checkEqual(behavior + ": complete targets lacked servers", reportsNoRecords, hasLackedServers);
                findings.checkAtLeast(
                        behavior + ": least number of servers in use",
                        reportsNoRecords ? MERGE_LIMITS.floor() : TARGETS,
                        leastInUse.get());
                findings.checkEqual(
                        behavior + ": targets afterwards",
                        TARGETS,
                        last.targets().size());
            }
        }
    }

    private static void setRecords(DnsServerEmulator server) {
        List<String> lines = new ArrayList<>();
        for (int i = 0; i < TARGETS; i++) {
            lines.add("1 SRV 0 5 " + (7000 + i) + " s" + i + ".books.example.org.");
            server.setRecords("A", "s" + i + ".books.example.org.", List.of("1 A 127.0.0." + (i + 1)));
        }
        server.setRecords("SRV", NAME, lines);
    }

    /**
     * Applies a behavior to the name servers and then restores them. Returns whether complete targets lacked servers
     * meanwhile.
     */
    private static boolean hasLackedServersDuring(
            Behavior behavior, List<DnsServerEmulator> servers, List<SrvTargets> received) throws InterruptedException {
        awaitFreshTargets(received, 0, false);
        int receivedBefore = received.size();
        servers.forEach(server -> server.setBehavior(behavior));
        // Waits until enough queries have met the fault, however long that takes.
        int untilQueries = countQueries(servers) + 3 * TARGETS;
        for (int pollCount = 0; countQueries(servers) < untilQueries; pollCount++) {
            sleepBeforeNextPoll(pollCount, "too few DNS queries reached the faulty name servers");
        }
        boolean hasLackedServers = received.subList(receivedBefore, received.size()).stream()
                .anyMatch(targets -> targets.isComplete()
                        && !targets.isUnavailable()
                        && targets.targets().size() < TARGETS);
        servers.forEach(server -> server.setBehavior(Behavior.ANSWER));
        return hasLackedServers;
    }

    private static int countQueries(List<DnsServerEmulator> servers) {
        return servers.stream().mapToInt(DnsServerEmulator::queries).sum();
    }

    /**
     * Waits for fresh complete targets.
     *
     * @param minReceived only targets received after this number of earlier ones count
     * @param acceptsCurrent whether the latest targets already received count too, as nothing has changed since
     */
    private static SrvTargets awaitFreshTargets(List<SrvTargets> received, int minReceived, boolean acceptsCurrent)
            throws InterruptedException {
        for (int pollCount = 0; ; pollCount++) {
            if (!received.isEmpty()) {
                SrvTargets last = received.get(received.size() - 1);
                boolean isNew = received.size() > minReceived || acceptsCurrent;
                boolean isFresh = last.isComplete() && !last.isStale();
                if (isNew && isFresh && last.targets().size() == TARGETS) {
                    return last;
                }
            }
            sleepBeforeNextPoll(pollCount, "no fresh and complete targets with all servers were received");
        }
    }

    /** Sleeps until the next poll. Fails after {@link #MAX_POLLS} polls, that is after some minutes. */
    private static void sleepBeforeNextPoll(int pollCount, String failure) throws InterruptedException {
        if (pollCount > MAX_POLLS) {
            throw new IllegalStateException(failure);
        }
        TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MS);
    }

    private static int countInUse(EndpointRegistry registry) {
        return (int) registry.records().stream()
                .filter(record ->
                        record.published() != null && record.published().state() == Server.State.LIVE)
                .count();
    }

    private static void merge(EndpointRegistry registry, EndpointSource source, SrvTargets targets, double nowMs) {
        if (targets.isUnavailable() || targets.isStale()) {
            registry.markUnavailable(source, nowMs);
            return;
        }
        List<SourceReport> reports = new ArrayList<>();
        targets.targets()
                .forEach(target -> reports.add(new SourceReport(
                        null, target.address(), "a", "dns", 0, Server.State.LIVE, 1, Double.NaN, target.priority())));
        registry.applyReports(source, targets.isComplete(), reports, targets.ttlMs(), nowMs);
        registry.takeChanges();
    }
}
