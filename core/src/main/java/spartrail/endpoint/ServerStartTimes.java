package spartrail.endpoint;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import spartrail.endpoint.EndpointList.Endpoint;
import spartrail.model.Server;

/**
 * Converts the start times of servers from Unix time to the node's clock, which never steps. The machine's wall clock may
 * step at any time, and its resolution is a millisecond; so each start time is converted once, when it is first listed.
 * Otherwise each list would give other times, which look like restarts.
 *
 * <p>If the wall clock has stepped since the list before, the age of a server that is listed with a new start time is
 * unknown, and the server counts as just started: traffic for a warm server would overload a cold one.
 */
public final class ServerStartTimes {
    /** The start time of servers that started long ago. */
    public static final double STARTED_LONG_AGO_MS = -1;

    /** The clocks' drift between two lists stays below this. */
    private static final double MIN_STEP_MS = 1000;

    /** A start as listed, and its time on the node's clock. */
    private record Start(long bootMs, double startedAtMs) {}

    private final Map<String, Start> startsByServer = new HashMap<>();
    private final Map<String, Start> publishedByServer = new HashMap<>();
    /** What the wall clock was ahead of the node's clock at the last list; NaN before the first one. */
    private double offsetMs = Double.NaN;

    /** Converts the endpoints of a list that is received now to the servers that the coordinator works with. */
    public List<Server> toServers(EndpointList list, double nowMs, long unixNowMs) {
        List<Server> servers = new ArrayList<>(list.endpoints().size());
        List<Double> startTimes = convert(list, nowMs, unixNowMs);
        for (int i = 0; i < startTimes.size(); i++) {
            Endpoint endpoint = list.endpoints().get(i);
            Server server = new Server(endpoint.id());
            server.zone = endpoint.zone();
            server.kind = endpoint.kind();
            server.cell = endpoint.cell();
            server.state = endpoint.state();
            server.weight = endpoint.weight();
            server.startedAtMs = startTimes.get(i);
            servers.add(server);
        }
        return servers;
    }

    /** The start times of the endpoints of a list that is received now, in its order. */
    public List<Double> convert(EndpointList list, double nowMs, long unixNowMs) {
        boolean hasStepped = Math.abs(unixNowMs - nowMs - offsetMs) > MIN_STEP_MS;
        offsetMs = unixNowMs - nowMs;
        if (list.isComplete()) {
            Set<String> listed = new HashSet<>();
            list.endpoints().forEach(endpoint -> listed.add(endpoint.id()));
            startsByServer.keySet().retainAll(listed);
        }
        List<Double> startTimes = new ArrayList<>(list.endpoints().size());
        for (Endpoint endpoint : list.endpoints()) {
            startTimes.add(convert(endpoint, nowMs, hasStepped));
        }
        return startTimes;
    }

    private double convert(Endpoint endpoint, double nowMs, boolean hasStepped) {
        Start known = startsByServer.get(endpoint.id());
        boolean isSameProcess = known != null && known.bootMs == endpoint.bootMs();
        double startedAtMs = isSameProcess ? known.startedAtMs : convertNew(endpoint.bootMs(), nowMs, hasStepped);
        if (endpoint.state() == Server.State.GONE) {
            startsByServer.remove(endpoint.id());
        } else {
            startsByServer.put(endpoint.id(), new Start(endpoint.bootMs(), startedAtMs));
        }
        return startedAtMs;
    }

    private double convertNew(long bootMs, double nowMs, boolean hasStepped) {
        if (bootMs <= 0) {
            return STARTED_LONG_AGO_MS;
        }
        return hasStepped ? nowMs : Math.min(nowMs, bootMs - offsetMs);
    }

    /**
     * Converts the start of a server to Unix time, to what was listed if that is known. The result is the same whenever
     * the same start is converted, until the server is gone.
     */
    public long toBootMs(SourceReport report, double nowMs, long unixNowMs) {
        Start listed = startsByServer.get(report.id());
        Start published = publishedByServer.remove(report.id());
        if (!(report.startedMs() > 0)) {
            return 0;
        }
        Start start = new Start(Math.round(unixNowMs - nowMs + report.startedMs()), report.startedMs());
        if (listed != null && listed.startedAtMs == report.startedMs()) {
            start = listed;
        } else if (published != null && published.startedAtMs == report.startedMs()) {
            start = published;
        }
        if (report.state() != Server.State.GONE) {
            publishedByServer.put(report.id(), start);
        }
        return start.bootMs;
    }
}
