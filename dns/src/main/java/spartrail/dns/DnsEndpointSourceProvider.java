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

/** Provides DNS SRV names as endpoint sources; each name is one source that lists the endpoints of one cell. */
public final class DnsEndpointSourceProvider implements EndpointSourceProvider {
    /** A domain that does not exist (RFC 2606), so no additional address is within the bailiwick. */
    private static final String NO_BAILIWICK = "invalid";

    private static final Pattern IPV4 = Pattern.compile("[0-9]{1,3}(\\.[0-9]{1,3}){3}");
    private static final int PORT_COUNT = 65_536;

    @Override
    public String section() {
        return "dns";
    }

    @Override
    public AutoCloseable start(Map<?, ?> settings, Listener listener) throws IOException {
        List<InetSocketAddress> servers = parseServers(settings);
        Map<String, Integer> cells = parseCells(settings);
        Resolver resolver = new Resolver(
                servers,
                settings.get("bailiwick") instanceof String text ? text : NO_BAILIWICK,
                Boolean.TRUE.equals(settings.get("ipv6")),
                ResolverSettings.DEFAULT,
                RandomGenerator.of("L64X128MixRandom"));
        NodeClock clock = new NodeClock();
        DnsTransport transport = new DnsTransport(
                resolver, clock, srvTargets -> reportTargets(srvTargets, cells.get(srvTargets.name()), listener));
        transport.execute(() -> cells.keySet().forEach(name -> resolver.follow(name, clock.nowMs())));
        return transport;
    }

    private static List<InetSocketAddress> parseServers(Map<?, ?> settings) {
        List<InetSocketAddress> servers = new ArrayList<>();
        for (Object server : requireList(settings, "servers")) {
            servers.add(parseAddress(String.valueOf(server)));
        }
        return servers;
    }

    /** Reads the cell of each SRV name. */
    private static Map<String, Integer> parseCells(Map<?, ?> settings) {
        Map<String, Integer> cells = new LinkedHashMap<>();
        for (Object entry : requireList(settings, "names")) {
            if (!(entry instanceof Map<?, ?> fields)
                    || !(fields.get("name") instanceof String name)
                    || !(fields.get("cell") instanceof Number cell)) {
                throw new IllegalArgumentException("dns: an entry of 'names' lacks a text 'name' or a number 'cell'");
            }
            cells.put(name, cell.intValue());
        }
        return cells;
    }

    private static List<?> requireList(Map<?, ?> settings, String name) {
        if (settings.get(name) instanceof List<?> list && !list.isEmpty()) {
            return list;
        }
        throw new IllegalArgumentException(
                "dns: '" + name + "' is missing or empty, an array with at least one element is expected");
    }

    private static InetSocketAddress parseAddress(String text) {
        int colon = text.lastIndexOf(':');
        String host = text.substring(0, Math.max(0, colon));
        int port = parsePort(text.substring(colon + 1));
        if (IPV4.matcher(host).matches() && port > 0 && port < PORT_COUNT) {
            return new InetSocketAddress(host, port);
        }
        throw new IllegalArgumentException("dns: found '" + text + "', a name server such as 127.0.0.1:53 is expected");
    }

    /** The port, or -1 if the text is not a number. */
    private static int parsePort(String text) {
        try {
            return Integer.parseInt(text);
        } catch (NumberFormatException e) {
            return -1;
        }
    }

    private static void reportTargets(SrvTargets srvTargets, int cell, Listener listener) {
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
                .map(target -> toReport(target, cell, meanWeight))
                .toList();
        listener.onReports(source, EndpointSource.Kind.DNS, srvTargets.isComplete(), reports, srvTargets.ttlMs());
    }

    private static SourceReport toReport(SrvTargets.Target target, int cell, double meanWeight) {
        double weight = meanWeight > 0 ? target.weight() / meanWeight : 1;
        return new SourceReport(
                null, target.address(), "", "dns", cell, Server.State.LIVE, weight, Double.NaN, target.priority());
    }
}
