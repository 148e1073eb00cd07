package spartrail.dns;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import java.util.regex.Pattern;
import spartrail.endpoint.EndpointSource;
import spartrail.endpoint.EndpointSourceProvider;
import spartrail.endpoint.SourceReport;
import spartrail.model.NodeClock;
import spartrail.model.Server;

/** DNS SRV names as sources: each name is one source and lists the endpoints of one cell. */
public final class DnsEndpointSourceProvider implements EndpointSourceProvider {
    /** A domain that does not exist (RFC 2606): no additional address lies in it. */
    private static final String NO_BAILIWICK = "invalid";

    private static final Pattern IPV4 = Pattern.compile("[0-9]{1,3}(\\.[0-9]{1,3}){3}");
    private static final int PORTS = 65_536;

    @Override
    public String section() {
        return "dns";
    }

    @Override
    public AutoCloseable start(Map<?, ?> settings, Listener listener) throws IOException {
        List<InetSocketAddress> servers = servers(settings);
        Map<String, Integer> cells = cells(settings);
        Resolver resolver = new Resolver(
                servers,
                settings.get("bailiwick") instanceof String text ? text : NO_BAILIWICK,
                Boolean.TRUE.equals(settings.get("ipv6")),
                ResolverSettings.DEFAULT,
                RandomGenerator.of("L64X128MixRandom"));
        NodeClock clock = new NodeClock();
        DnsTransport transport = new DnsTransport(
                resolver, clock, srvTargets -> report(srvTargets, cells.get(srvTargets.name()), listener));
        transport.execute(() -> cells.keySet().forEach(name -> resolver.follow(name, clock.nowMs())));
        return transport;
    }

    private static List<InetSocketAddress> servers(Map<?, ?> settings) {
        List<InetSocketAddress> servers = new ArrayList<>();
        for (Object server : list(settings, "servers")) {
            servers.add(address(String.valueOf(server)));
        }
        return servers;
    }

    /** The cell that each name lists. */
    private static Map<String, Integer> cells(Map<?, ?> settings) {
        Map<String, Integer> cells = new LinkedHashMap<>();
        for (Object entry : list(settings, "names")) {
            if (!(entry instanceof Map<?, ?> fields)
                    || !(fields.get("name") instanceof String name)
                    || !(fields.get("cell") instanceof Number cell)) {
                throw new IllegalArgumentException("dns: an entry of 'names' has 'name' and 'cell'");
            }
            cells.put(name, cell.intValue());
        }
        return cells;
    }

    private static List<?> list(Map<?, ?> settings, String name) {
        if (settings.get(name) instanceof List<?> list && !list.isEmpty()) {
            return list;
        }
        throw new IllegalArgumentException("dns: '" + name + "' is missing or empty");
    }

    private static InetSocketAddress address(String text) {
        int colon = text.lastIndexOf(':');
        String host = text.substring(0, Math.max(0, colon));
        int port = port(text.substring(colon + 1));
        if (IPV4.matcher(host).matches() && port > 0 && port < PORTS) {
            return new InetSocketAddress(host, port);
        }
        throw new IllegalArgumentException("dns: found '" + text + "', a name server such as 127.0.0.1:53 is expected");
    }

    /** The port, or -1 where the text is no number. */
    private static int port(String text) {
        try {
            return Integer.parseInt(text);
        } catch (NumberFormatException e) {
            return -1;
        }
    }

    private static void report(SrvTargets srvTargets, int cell, Listener listener) {
        String source = "dns " + srvTargets.name();
        if (srvTargets.isUnavailable() || srvTargets.isStale()) {
            listener.onUnavailable(source, EndpointSource.Kind.DNS);
            return;
        }
        double meanWeight = srvTargets.targets().stream()
                .mapToInt(SrvTargets.Target::weight)
                .average()
                .orElse(0);
        List<SourceReport> reports = srvTargets.targets().stream()
                .map(target -> report(target, cell, meanWeight))
                .toList();
        listener.onReports(source, EndpointSource.Kind.DNS, srvTargets.isComplete(), reports, srvTargets.ttlMs());
    }

    private static SourceReport report(SrvTargets.Target target, int cell, double meanWeight) {
        double weight = meanWeight > 0 ? target.weight() / meanWeight : 1;
        return new SourceReport(
                null, target.address(), "", "dns", cell, Server.State.LIVE, weight, Double.NaN, target.priority());
    }
}
