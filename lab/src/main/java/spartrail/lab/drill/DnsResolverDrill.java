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
 * Resolver, transport and registry on real sockets, against name servers with faults. Under each fault twenty servers stay in use,
 * and when it is over the targets are fresh again. Only the emulators are slow; no verdict depends on how long anything takes.
 */
public final class DnsResolverDrill implements Drill {
    private static final String NAME = "_books._tcp.c0.books.example.org.";
    private static final int TARGETS = 20;
    private static final int MAX_LOOKS = 24_000;
    private static final long LOOK_INTERVAL_MS = 5;
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
        return "name servers truncate, fail, lie, fall silent: no list is emptied by it, and it is fresh again afterwards";
    }

    @Override
    public String subsystem() {
        return "DNS";
    }

    @Override
    public void run(long seed, Findings findings) throws Exception {
        for (Behavior behavior : Behavior.values()) {
            play(behavior, seed, findings);
        }
    }

    /** Two name servers that behave like this for a while. */
    static void play(Behavior behavior, long seed, Findings findings) throws Exception {
        NodeClock clock = new NodeClock();
        EndpointRegistry registry = new EndpointRegistry(1, 1, MERGE_LIMITS, any -> true);
        EndpointSource source = registry.getOrCreateSource(NAME, EndpointSource.Kind.DNS, clock.nowMs());
        List<SrvTargets> received = new CopyOnWriteArrayList<>();
        AtomicInteger leastInUse = new AtomicInteger(Integer.MAX_VALUE);
        try (DnsServerEmulator one = new DnsServerEmulator(seed);
                DnsServerEmulator other = new DnsServerEmulator(seed + 1)) {
            List<DnsServerEmulator> servers = List.of(one, other);
            servers.forEach(DnsResolverDrill::setRecords);
            Resolver resolver = new Resolver(
                    List.of(one.address(), other.address()),
                    "books.example.org",
                    false,
                    RESOLVER_SETTINGS,
                    new SplittableRandom(seed));
            try (DnsTransport transport = new DnsTransport(resolver, clock, targets -> {
                merge(registry, source, targets, clock.nowMs());
                if (registry.records().size() == TARGETS) {
                    leastInUse.accumulateAndGet(inUse(registry), Math::min);
                }
                received.add(targets);
            })) {
                transport.execute(() -> resolver.follow(NAME, clock.nowMs()));
                boolean hasShrunk = isShrunkBy(behavior, servers, received);
                SrvTargets latest = received.get(received.size() - 1);
                boolean isPresentEnough = !latest.isStale() && !hasShrunk;
                SrvTargets last = await(received, received.size(), isPresentEnough);
                boolean saysNone = behavior == Behavior.EMPTY || behavior == Behavior.NXDOMAIN;
                findings.checkEqual(behavior + ": a whole list that lacks servers", saysNone, hasShrunk);
                findings.checkAtLeast(
                        behavior + ": servers in use, at the least",
                        saysNone ? MERGE_LIMITS.floor() : TARGETS,
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

    /** Whether complete targets have lacked servers while the name servers behaved like this; they answer again afterwards. */
    private static boolean isShrunkBy(Behavior behavior, List<DnsServerEmulator> servers, List<SrvTargets> received)
            throws InterruptedException {
        await(received, 0, false);
        int before = received.size();
        servers.forEach(server -> server.setBehavior(behavior));
        // Until the fault has been met a number of times, however long that takes.
        int untilQueries = queries(servers) + 3 * TARGETS;
        for (int look = 0; queries(servers) < untilQueries; look++) {
            pauseBetweenLooks(look, "the trouble was not met often enough");
        }
        boolean hasShrunk = received.subList(before, received.size()).stream()
                .anyMatch(targets -> targets.isComplete()
                        && !targets.isUnavailable()
                        && targets.targets().size() < TARGETS);
        servers.forEach(server -> server.setBehavior(Behavior.ANSWER));
        return hasShrunk;
    }

    private static int queries(List<DnsServerEmulator> servers) {
        return servers.stream().mapToInt(DnsServerEmulator::queries).sum();
    }

    /** Fresh complete targets received after so many; the present ones are enough where nothing has changed. */
    private static SrvTargets await(List<SrvTargets> received, int after, boolean isPresentEnough)
            throws InterruptedException {
        for (int look = 0; ; look++) {
            if (!received.isEmpty()) {
                SrvTargets last = received.get(received.size() - 1);
                boolean isNew = received.size() > after || isPresentEnough;
                boolean isFresh = last.isComplete() && !last.isStale();
                if (isNew && isFresh && last.targets().size() == TARGETS) {
                    return last;
                }
            }
            pauseBetweenLooks(look, "no fresh whole list came");
        }
    }

    /** What has not come within some minutes does not come any more. */
    private static void pauseBetweenLooks(int look, String failure) throws InterruptedException {
        if (look > MAX_LOOKS) {
            throw new IllegalStateException(failure);
        }
        TimeUnit.MILLISECONDS.sleep(LOOK_INTERVAL_MS);
    }

    private static int inUse(EndpointRegistry registry) {
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
