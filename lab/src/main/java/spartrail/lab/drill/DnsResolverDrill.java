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
import spartrail.lab.dns.DnsServerEmulator.Manner;
import spartrail.model.NodeClock;
import spartrail.model.Server;

/**
 * Resolver, transport and view on real sockets, against name servers in trouble. In each trouble twenty servers stay in
 * use, and when it is over the list is fresh again. Only the stand-ins sleep; no verdict hangs on how long anything takes.
 */
public final class DnsResolverDrill implements Drill {
    private static final String NAME = "_books._tcp.c0.books.example.org.";
    private static final int TARGETS = 20;
    private static final ResolverSettings LIFETIMES =
            new ResolverSettings(300, 3_600_000, 300, 100, 400, 600_000, 100, 4, 16, 512);
    private static final MergeLimits BOUNDS =
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
        for (Manner manner : Manner.values()) {
            play(manner, seed, findings);
        }
    }

    /** One trouble. */
    static void play(Manner manner, long seed, Findings findings) throws Exception {
        NodeClock clock = new NodeClock();
        EndpointRegistry view = new EndpointRegistry(1, 1, BOUNDS, any -> true);
        EndpointSource source = view.source(NAME, EndpointSource.Kind.DNS, clock.nowMs());
        List<SrvTargets> told = new CopyOnWriteArrayList<>();
        int[] least = {Integer.MAX_VALUE};
        try (DnsServerEmulator one = new DnsServerEmulator(seed);
                DnsServerEmulator other = new DnsServerEmulator(seed + 1)) {
            for (DnsServerEmulator server : List.of(one, other)) {
                List<String> lines = new ArrayList<>();
                for (int i = 0; i < TARGETS; i++) {
                    lines.add("1 SRV 0 5 " + (7000 + i) + " s" + i + ".books.example.org.");
                    server.set("A", "s" + i + ".books.example.org.", List.of("1 A 127.0.0." + (i + 1)));
                }
                server.set("SRV", NAME, lines);
            }
            Resolver resolver = new Resolver(
                    List.of(one.address(), other.address()),
                    "books.example.org",
                    false,
                    LIFETIMES,
                    new SplittableRandom(seed));
            try (DnsTransport transport = new DnsTransport(resolver, clock, listing -> {
                merge(view, source, listing, clock.nowMs());
                if (view.members().size() == TARGETS) {
                    least[0] = Math.min(least[0], inUse(view));
                }
                told.add(listing);
            })) {
                transport.execute(() -> resolver.follow(NAME, clock.nowMs()));
                await(told, 0, false);
                int before = told.size();
                one.behave(manner);
                other.behave(manner);
                // Until it has been met a number of times, whatever that takes.
                int asked = one.asked() + other.asked();
                for (int i = 0; one.asked() + other.asked() < asked + 3 * TARGETS; i++) {
                    bounded(i, "the trouble was not met often enough");
                }
                boolean shrank = told.subList(before, told.size()).stream()
                        .anyMatch(listing -> listing.whole()
                                && !listing.out()
                                && listing.targets().size() < TARGETS);
                one.behave(Manner.ANSWER);
                other.behave(Manner.ANSWER);
                SrvTargets last =
                        await(told, told.size(), !(told.get(told.size() - 1).stale() || shrank));
                boolean says = manner == Manner.EMPTY || manner == Manner.NXDOMAIN;
                findings.equal(manner + ": a whole list that lacks servers", says, shrank);
                findings.least(manner + ": servers in use, at the least", says ? BOUNDS.floor() : TARGETS, least[0]);
                findings.equal(
                        manner + ": targets afterwards", TARGETS, last.targets().size());
            }
        }
    }

    /** A fresh whole list that was told after so many; the present one will do where nothing changed. */
    private static SrvTargets await(List<SrvTargets> told, int after, boolean presentWillDo)
            throws InterruptedException {
        for (int i = 0; ; i++) {
            if (!told.isEmpty()) {
                SrvTargets last = told.get(told.size() - 1);
                if ((told.size() > after || presentWillDo)
                        && last.whole()
                        && !last.stale()
                        && last.targets().size() == TARGETS) {
                    return last;
                }
            }
            bounded(i, "no fresh whole list came");
        }
    }

    /** A look each 5 ms; what takes minutes does not come any more. */
    private static void bounded(int looks, String what) throws InterruptedException {
        if (looks > 24_000) {
            throw new IllegalStateException(what);
        }
        Thread.sleep(5);
    }

    private static int inUse(EndpointRegistry view) {
        return (int) view.members().stream()
                .filter(member -> member.line() != null && member.line().state() == Server.State.LIVE)
                .count();
    }

    private static void merge(EndpointRegistry view, EndpointSource source, SrvTargets listing, double nowMs) {
        if (listing.out() || listing.stale()) {
            view.out(source, nowMs);
            return;
        }
        List<SourceReport> lines = new ArrayList<>();
        listing.targets()
                .forEach(target -> lines.add(new SourceReport(
                        null, target.endpoint(), "a", "dns", 0, Server.State.LIVE, 1, Double.NaN, target.priority())));
        view.said(source, listing.whole(), lines, listing.lifetimeMs(), nowMs);
        view.changes();
    }
}
