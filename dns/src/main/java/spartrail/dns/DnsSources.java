package spartrail.dns;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import spartrail.endpoint.EndpointSource;
import spartrail.endpoint.EndpointSourceProvider;
import spartrail.endpoint.SourceReport;
import spartrail.model.NodeClock;
import spartrail.model.Server;

/** DNS SRV names as sources: each name is one source and lists the servers of one cell. */
public final class DnsSources implements EndpointSourceProvider {
    @Override
    public String section() {
        return "dns";
    }

    @Override
    public AutoCloseable start(Map<?, ?> settings, Words words) throws IOException {
        List<InetSocketAddress> servers = new ArrayList<>();
        for (Object server : list(settings, "servers")) {
            servers.add(address(String.valueOf(server)));
        }
        Map<String, Integer> cells = new LinkedHashMap<>();
        for (Object entry : list(settings, "names")) {
            if (!(entry instanceof Map<?, ?> name)
                    || !(name.get("name") instanceof String text)
                    || !(name.get("cell") instanceof Number cell)) {
                throw new IllegalArgumentException("dns: an entry of 'names' has 'name' and 'cell'");
            }
            cells.put(text, cell.intValue());
        }
        String bailiwick = settings.get("bailiwick") instanceof String text ? text : "invalid";
        Resolver resolver = new Resolver(
                servers,
                bailiwick,
                Boolean.TRUE.equals(settings.get("ipv6")),
                ResolverSettings.USUAL,
                RandomGenerator.of("L64X128MixRandom"));
        NodeClock clock = new NodeClock();
        DnsTransport transport = new DnsTransport(resolver, clock, listing -> tell(listing, cells, words));
        transport.execute(() -> cells.keySet().forEach(name -> resolver.follow(name, clock.nowMs())));
        return transport;
    }

    private static List<?> list(Map<?, ?> settings, String name) {
        if (settings.get(name) instanceof List<?> list && !list.isEmpty()) {
            return list;
        }
        throw new IllegalArgumentException("dns: '" + name + "' is missing or empty");
    }

    private static InetSocketAddress address(String text) {
        int colon = text.lastIndexOf(':');
        try {
            String host = text.substring(0, Math.max(0, colon));
            int port = Integer.parseInt(text.substring(colon + 1));
            if (host.matches("[0-9]{1,3}(\\.[0-9]{1,3}){3}") && port > 0 && port < 65_536) {
                return new InetSocketAddress(host, port);
            }
        } catch (NumberFormatException e) {
            // Said below.
        }
        throw new IllegalArgumentException("dns: found '" + text + "', a name server such as 127.0.0.1:53 is expected");
    }

    private static void tell(SrvTargets listing, Map<String, Integer> cells, Words words) {
        String source = "dns " + listing.name();
        if (listing.out() || listing.stale()) {
            words.out(source, EndpointSource.Kind.DNS);
            return;
        }
        double mean = listing.targets().stream()
                .mapToInt(SrvTargets.Target::weight)
                .average()
                .orElse(0);
        List<SourceReport> lines = new ArrayList<>();
        for (SrvTargets.Target target : listing.targets()) {
            lines.add(new SourceReport(
                    null,
                    target.endpoint(),
                    "",
                    "dns",
                    cells.get(listing.name()),
                    Server.State.LIVE,
                    mean > 0 ? target.weight() / mean : 1,
                    Double.NaN,
                    target.priority()));
        }
        words.said(source, EndpointSource.Kind.DNS, listing.whole(), lines, listing.lifetimeMs());
    }
}
