package spartrail.lab.cli;

import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;
import spartrail.dns.DnsTransport;
import spartrail.dns.Resolver;
import spartrail.dns.ResolverSettings;
import spartrail.dns.SrvTargets;
import spartrail.lab.file.InvalidInputException;
import spartrail.model.NodeClock;

/** Queries name servers for SRV names, either once or repeatedly until the time is up. */
final class DnsAsk extends Command {
    @Argument(required = true, metaVar = "NAME", usage = "SRV names to query, such as _books._tcp.c3.books.example.org")
    private List<String> names = new ArrayList<>();

    @Option(
            name = "--server",
            metaVar = "HOST:PORT",
            required = true,
            usage = "IP address and port of a name server; may be repeated")
    private List<String> servers = new ArrayList<>();

    @Option(
            name = "--bailiwick",
            metaVar = "DOMAIN",
            usage = "use addresses in the additional section only for names in this domain (default: no domain)")
    private String bailiwick = "invalid";

    @Option(
            name = "--seconds",
            metaVar = "S",
            usage = "how long ask waits for responses, or how long watch shows changes (default 5)")
    private double seconds = 5;

    private final boolean watch;

    DnsAsk(boolean watch) {
        this.watch = watch;
    }

    @Override
    String summary() {
        return watch
                ? "watches SRV names and prints their targets at each change"
                : "queries SRV names and prints their targets once";
    }

    @Override
    int run(PrintStream out, PrintStream err) throws Exception {
        List<InetSocketAddress> addresses = new ArrayList<>();
        for (String server : servers) {
            if (!server.matches("[0-9]{1,3}(\\.[0-9]{1,3}){3}:[0-9]{1,5}")) {
                throw new InvalidInputException(
                        "--server: found '" + server + "', an address such as 127.0.0.1:53 is expected");
            }
            addresses.add(new InetSocketAddress(server.split(":")[0], Integer.parseInt(server.split(":")[1])));
        }
        Resolver resolver = new Resolver(
                addresses, bailiwick, false, ResolverSettings.DEFAULT, RandomGenerator.of("L64X128MixRandom"));
        NodeClock clock = new NodeClock();
        BlockingQueue<SrvTargets> listings = new LinkedBlockingQueue<>();
        String[] invalidName = new String[1];
        int received = 0;
        boolean allAvailable = true;
        try (DnsTransport transport = new DnsTransport(resolver, clock, listings::add)) {
            transport.execute(() -> {
                try {
                    names.forEach(name -> resolver.follow(name, clock.nowMs()));
                } catch (IllegalArgumentException e) {
                    invalidName[0] = e.getMessage();
                }
            });
            double fromMs = clock.nowMs();
            double untilMs = fromMs + 1000 * seconds;
            while (clock.nowMs() < untilMs && (watch || received < names.size())) {
                SrvTargets listing = listings.poll(50, TimeUnit.MILLISECONDS);
                if (invalidName[0] != null) {
                    throw new InvalidInputException(invalidName[0]);
                }
                if (listing != null) {
                    received++;
                    allAvailable &= !listing.isUnavailable();
                    printTargets(out, listing, clock.nowMs() - fromMs);
                }
            }
            CountDownLatch printed = new CountDownLatch(1);
            transport.execute(() -> {
                out.println(resolver.counts());
                printed.countDown();
            });
            printed.await();
        }
        if (received < names.size()) {
            err.println("spartrail: no response for " + (names.size() - received) + " of " + names.size()
                    + " names within " + seconds + " s");
        }
        return allAvailable && received >= names.size() ? 0 : 1;
    }

    private static void printTargets(PrintStream out, SrvTargets listing, double elapsedMs) {
        out.printf(
                Locale.ROOT,
                "%8.0f ms %s: %d targets, TTL %.1f s%s%s%s%n",
                elapsedMs,
                listing.name(),
                listing.targets().size(),
                listing.ttlMs() / 1000,
                listing.isComplete() ? "" : ", incomplete",
                listing.isStale() ? ", stale" : "",
                listing.isUnavailable() ? ", UNAVAILABLE" : "");
        listing.targets()
                .forEach(target -> out.printf(
                        Locale.ROOT,
                        "            %-40s %-24s priority %d weight %d%n",
                        target.host(),
                        target.address(),
                        target.priority(),
                        target.weight()));
    }
}
