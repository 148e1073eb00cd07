package spartrail.lab.cli;

import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.BlockingQueue;
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

/** Asks name servers for SRV names, once or on and on. */
final class DnsAsk extends Command {
    @Argument(required = true, metaVar = "NAME", usage = "SRV names, such as _books._tcp.c3.books.example.org")
    private List<String> names = new ArrayList<>();

    @Option(
            name = "--server",
            metaVar = "HOST:PORT",
            required = true,
            usage = "a name server by its number; may be repeated")
    private List<String> servers = new ArrayList<>();

    @Option(
            name = "--bailiwick",
            metaVar = "DOMAIN",
            usage = "addresses that come along count within it (default: no domain)")
    private String bailiwick = "invalid";

    @Option(
            name = "--seconds",
            metaVar = "S",
            usage = "ask waits so long for answers, watch shows changes for so long (default 5)")
    private double seconds = 5;

    private final boolean watch;

    DnsAsk(boolean watch) {
        this.watch = watch;
    }

    @Override
    String summary() {
        return watch
                ? "follows SRV names and shows each change of their lists"
                : "asks for SRV names and shows their lists once";
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
                addresses, bailiwick, false, ResolverSettings.USUAL, RandomGenerator.of("L64X128MixRandom"));
        NodeClock clock = new NodeClock();
        BlockingQueue<SrvTargets> lists = new LinkedBlockingQueue<>();
        String[] wrong = new String[1];
        int told = 0;
        boolean good = true;
        try (DnsTransport transport = new DnsTransport(resolver, clock, lists::add)) {
            transport.execute(() -> {
                try {
                    names.forEach(name -> resolver.follow(name, clock.nowMs()));
                } catch (IllegalArgumentException e) {
                    wrong[0] = e.getMessage();
                }
            });
            double fromMs = clock.nowMs();
            double untilMs = fromMs + 1000 * seconds;
            while (clock.nowMs() < untilMs && (watch || told < names.size())) {
                SrvTargets listing = lists.poll(50, TimeUnit.MILLISECONDS);
                if (wrong[0] != null) {
                    throw new InvalidInputException(wrong[0]);
                }
                if (listing != null) {
                    told++;
                    good &= !listing.out();
                    print(out, listing, clock.nowMs() - fromMs);
                }
            }
            transport.execute(() -> out.println(resolver.counts()));
            transport.execute(() -> lists.add(new SrvTargets("", true, false, false, List.of(), 0)));
            while (lists.take().name().length() > 0) {
                // Until the counts are printed.
            }
        }
        if (told < names.size()) {
            err.println("spartrail: no answer for " + (names.size() - told) + " of " + names.size() + " names within "
                    + seconds + " s");
        }
        return good && told >= names.size() ? 0 : 1;
    }

    private static void print(PrintStream out, SrvTargets listing, double ms) {
        out.printf(
                Locale.ROOT,
                "%8.0f ms %s: %d targets, good for %.1f s%s%s%s%n",
                ms,
                listing.name(),
                listing.targets().size(),
                listing.lifetimeMs() / 1000,
                listing.whole() ? "" : ", not whole",
                listing.stale() ? ", stale" : "",
                listing.out() ? ", OUT" : "");
        listing.targets()
                .forEach(target -> out.printf(
                        Locale.ROOT,
                        "            %-40s %-24s priority %d weight %d%n",
                        target.host(),
                        target.endpoint(),
                        target.priority(),
                        target.weight()));
    }
}
