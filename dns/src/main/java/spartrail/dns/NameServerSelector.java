package spartrail.dns;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Selects the server for the next query: usually the fastest one except the one that has just failed, sometimes a
 * random one.
 */
final class NameServerSelector {
    /** The share of queries sent to a random server, so that a server that has recovered is used again. */
    private static final double EXPLORATION_SHARE = 0.05;

    private final List<NameServer> servers;
    private final RandomGenerator random;

    NameServerSelector(List<InetSocketAddress> addresses, RandomGenerator random) {
        this.servers = addresses.stream().map(NameServer::new).toList();
        this.random = random;
    }

    NameServer select(CacheEntry entry) {
        NameServer fastest = findFastestFor(entry);
        boolean explores = random.nextDouble() < EXPLORATION_SHARE;
        return explores ? servers.get(random.nextInt(servers.size())) : fastest;
    }

    private NameServer findFastestFor(CacheEntry entry) {
        NameServer fastest = null;
        for (NameServer server : servers) {
            boolean hasJustFailed = server == entry.server && entry.attempts > 0 && servers.size() > 1;
            if (!hasJustFailed && (fastest == null || server.smoothedMs() < fastest.smoothedMs())) {
                fastest = server;
            }
        }
        return fastest;
    }
}
