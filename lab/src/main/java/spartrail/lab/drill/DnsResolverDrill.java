package spartrail.lab.drill;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CopyOnWriteArrayList;
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
 * Resolver, transport and registry on real sockets, against name servers in trouble. In each trouble twenty servers stay in
 * use, and when it is over the list is fresh again. Only the stand-ins sleep; no verdict hangs on how long anything takes.
 */
public final class DnsResolverDrill implements Drill {
    private static final String NAME = "_books._tcp.c0.books.example.org.";
    private static final int TARGETS = 20;
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
    public String about() {
        return "DNS";
    }

    @Override
    public void run(long seed, Findings findings) throws Exception {
        for (Behavior behavior : Behavior.values()) {
            play(behavior, seed, findings);
        }
    }

    /** One trouble. */
    static void play(Behavior behavior, long seed, Findings findings) throws Exception {
        NodeClock clock = new NodeClock();
        EndpointRegistry registry = new EndpointRegistry(1, 1, MERGE_LIMITS, any -> true);
        EndpointSource source = registry.source(NAME, EndpointSource.Kind.DNS, clock.nowMs());
        List<SrvTargets> listings = new CopyOnWriteArrayList<>();
        int[] least = {Integer.MAX_VALUE};
        try (DnsServerEmulator one = new DnsServerEmulator(seed);
                DnsServerEmulator other = new DnsServerEmulator(seed + 1)) {
            for (DnsServerEmulator server : List.of(one, other)) {
                List<String> reports = new ArrayList<>();
                for (int i = 0; i < TARGETS; i++) {
                    reports.add("1 SRV 0 5 " + (7000 + i) + " s" + i + ".books.example.org.");
                    server.setRecords("A", "s" + i + ".books.example.org.", List.of("1 A 127.0.0." + (i + 1)));
                }
                server.setRecords("SRV", NAME, reports);
            }
            Resolver resolver = new Resolver(
                    List.of(one.address(), other.address()),
                    "books.example.org",
                    false,
                    RESOLVER_SETTINGS,
                    new SplittableRandom(seed));
            try (DnsTransport transport = new DnsTransport(resolver, clock, listing -> {
                merge(registry, source, listing, clock.nowMs());
                if (registry.records().size() == TARGETS) {
                    least[0] = Math.min(least[0], inUse(registry));
                }
                listings.add(listing);
            })) {
                transport.execute(() -> resolver.follow(NAME, clock.nowMs()));
                await(listings, 0, false);
                int before = listings.size();
                one.setBehavior(behavior);
                other.setBehavior(behavior);
                // Until it has been met a number of times, whatever that takes.
                int asked = one.queries() + other.queries();
                for (int i = 0; one.queries() + other.queries() < asked + 3 * TARGETS; i++) {
                    checkLooks(i, "the trouble was not met often enough");
                }
                boolean shrank = listings.subList(before, listings.size()).stream()
                        .anyMatch(listing -> listing.isComplete()
                                && !listing.isUnavailable()
                                && listing.targets().size() < TARGETS);
                one.setBehavior(Behavior.ANSWER);
                other.setBehavior(Behavior.ANSWER);
                SrvTargets last = await(
                        listings,
                        listings.size(),
                        !(listings.get(listings.size() - 1).isStale() || shrank));
                boolean saysNone = behavior == Behavior.EMPTY || behavior == Behavior.NXDOMAIN;
                findings.equal(behavior + ": a whole list that lacks servers", saysNone, shrank);
                findings.least(
                        behavior + ": servers in use, at the least",
                        saysNone ? MERGE_LIMITS.floor() : TARGETS,
                        least[0]);
                findings.equal(
                        behavior + ": targets afterwards",
                        TARGETS,
                        last.targets().size());
            }
        }
    }

    /** A fresh whole list that was listings after so many; the present one will do where nothing changed. */
    private static SrvTargets await(List<SrvTargets> listings, int after, boolean isPresentEnough)
            throws InterruptedException {
        for (int i = 0; ; i++) {
            if (!listings.isEmpty()) {
                SrvTargets last = listings.get(listings.size() - 1);
                if ((listings.size() > after || isPresentEnough)
                        && last.isComplete()
                        && !last.isStale()
                        && last.targets().size() == TARGETS) {
                    return last;
                }
            }
            checkLooks(i, "no fresh whole list came");
        }
    }

    /** A look each 5 ms; failure takes minutes does not come any more. */
    private static void checkLooks(int looks, String failure) throws InterruptedException {
        if (looks > 24_000) {
            throw new IllegalStateException(failure);
        }
        Thread.sleep(5);
    }

    private static int inUse(EndpointRegistry registry) {
        return (int) registry.records().stream()
                .filter(record ->
                        record.published() != null && record.published().state() == Server.State.LIVE)
                .count();
    }

    private static void merge(EndpointRegistry registry, EndpointSource source, SrvTargets listing, double nowMs) {
        if (listing.isUnavailable() || listing.isStale()) {
            registry.markUnavailable(source, nowMs);
            return;
        }
        List<SourceReport> reports = new ArrayList<>();
        listing.targets()
                .forEach(target -> reports.add(new SourceReport(
                        null, target.address(), "a", "dns", 0, Server.State.LIVE, 1, Double.NaN, target.priority())));
        registry.applyReports(source, listing.isComplete(), reports, listing.ttlMs(), nowMs);
        registry.takeChanges();
    }
}
