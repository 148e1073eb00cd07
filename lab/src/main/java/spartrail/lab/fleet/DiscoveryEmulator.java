package spartrail.lab.fleet;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import spartrail.lab.net.SocketLoop;
import spartrail.model.TimerQueue;

/**
 * The discovery service as one front node sees it, over HTTP. A request without {@code since} gets the whole host list
 * at once; one with {@code since} is held until the list changes or the request times out.
 */
final class DiscoveryEmulator implements AutoCloseable {
    /** One server in the host list. */
    static final class HostEntry {
        final FleetPlan.ServerSpec server;
        final String endpoint;
        String state = "SERVING";
        long startedMs;
        long version;
        double changedMs;

        HostEntry(FleetPlan.ServerSpec server, String endpoint) {
            this.server = server;
            this.endpoint = endpoint;
        }
    }

    /** A request that is held until the list is newer than {@code since}. */
    private record Watch(HttpStub.Request request, long since, TimerQueue.Timer end) {}

    private final SocketLoop loop;
    private final int node;
    private final FleetListener listener;
    private final Map<String, HostEntry> entries = new LinkedHashMap<>();
    private final List<Watch> watches = new ArrayList<>();
    private final HttpStub http;
    private long version = 1;
    /** Requests are accepted but not answered. */
    private boolean silent;
    /** Changes of the list do not answer held requests, which then end only at their timeout. */
    private boolean stale;

    DiscoveryEmulator(
            SocketLoop loop, int node, InetSocketAddress address, List<HostEntry> entries, FleetListener listener)
            throws IOException {
        this.loop = loop;
        this.node = node;
        this.listener = listener;
        entries.forEach(entry -> {
            entry.version = 1;
            this.entries.put(entry.server.id(), entry);
        });
        this.http = new HttpStub(loop, address, this::handleRequest);
    }

    int port() {
        return http.port();
    }

    void setSilent(boolean isSilent) {
        silent = isSilent;
        answerWatches();
    }

    void setStale(boolean isStale) {
        stale = isStale;
        answerWatches();
    }

    /** Changes the state of a server and answers the requests that wait for a change. */
    void changeState(String id, String state, double startedMs, double changedMs) {
        HostEntry entry = entries.get(id);
        entry.state = state;
        entry.startedMs = startedMs > 0 ? (long) startedMs : entry.startedMs;
        entry.version = ++version;
        entry.changedMs = changedMs;
        if (!silent && !stale) {
            listener.onStateChanged(node, id, state, loop.nowMs());
        }
        answerWatches();
    }

    private void handleRequest(HttpStub.Request request) {
        if (!request.method.equals("GET") || !request.path.startsWith("/discovery/hosts")) {
            request.respond(404, "", new byte[0]);
            return;
        }
        Map<String, Long> query = new HashMap<>();
        int mark = request.path.indexOf('?');
        try {
            for (String pair :
                    mark < 0 ? new String[0] : request.path.substring(mark + 1).split("&")) {
                query.put(pair.substring(0, pair.indexOf('=')), Long.parseLong(pair.substring(pair.indexOf('=') + 1)));
            }
        } catch (RuntimeException e) {
            request.respond(400, "", new byte[0]);
            return;
        }
        long since = query.getOrDefault("since", -1L);
        double untilMs = loop.nowMs() + Math.min(60_000, query.getOrDefault("timeout_ms", 0L));
        Watch[] watch = new Watch[1];
        watch[0] = new Watch(request, since, loop.schedule(untilMs, () -> {
            if (!silent && watches.remove(watch[0])) {
                answer(watch[0]);
            }
        }));
        watches.add(watch[0]);
        answerWatches();
    }

    private void answerWatches() {
        if (silent) {
            return;
        }
        for (Watch watch : List.copyOf(watches)) {
            if (watch.since() < 0 || watch.since() < version && !stale) {
                watches.remove(watch);
                loop.cancel(watch.end());
                answer(watch);
            }
        }
    }

    private void answer(Watch watch) {
        if (!watch.request().connection.isOpen()) {
            return;
        }
        boolean isWholeList = watch.since() < 0 || watch.since() > version;
        List<HostEntry> listed = new ArrayList<>();
        for (HostEntry entry : entries.values()) {
            if (isWholeList ? !entry.state.equals("DELETED") : entry.version > watch.since()) {
                listed.add(entry);
            }
        }
        StringBuilder body = new StringBuilder("{\"rev\":" + version + ",\"all\":" + isWholeList + ",\"targets\":[");
        double nowMs = loop.nowMs();
        for (int i = 0; i < listed.size(); i++) {
            body.append(i == 0 ? "" : ",").append(toJson(listed.get(i)));
        }
        watch.request()
                .respond(
                        200,
                        "Content-Type: application/json\r\n",
                        body.append("]}").toString().getBytes(StandardCharsets.UTF_8));
        listed.forEach(entry ->
                listener.onStateWritten(node, entry.server.id(), entry.state, entry.startedMs, entry.changedMs, nowMs));
        if (isWholeList) {
            entries.values().stream()
                    .filter(entry -> entry.state.equals("DELETED"))
                    .forEach(entry -> listener.onStateWritten(
                            node, entry.server.id(), entry.state, entry.startedMs, entry.changedMs, nowMs));
        }
    }

    private static String toJson(HostEntry entry) {
        return String.format(
                Locale.ROOT,
                "{\"uid\":\"%s\",\"endpoint\":\"%s\",\"az\":\"%s\",\"model\":\"%s\","
                        + "\"pod_group\":%d,\"state\":\"%s\",\"capacity_hint\":%s,\"boot_ms\":%d}",
                entry.server.id(),
                entry.endpoint,
                entry.server.zone(),
                entry.server.profile().name(),
                entry.server.cell(),
                entry.state,
                entry.server.rating(),
                entry.startedMs);
    }

    /** The whole host list as the JSON body of an answer. */
    String hostListJson() {
        StringBuilder body = new StringBuilder("{\"rev\":" + version + ",\"all\":true,\"targets\":[");
        List<HostEntry> listed = entries.values().stream()
                .filter(entry -> !entry.state.equals("DELETED"))
                .toList();
        for (int i = 0; i < listed.size(); i++) {
            body.append(i == 0 ? "" : ",").append(toJson(listed.get(i)));
        }
        return body.append("]}").toString();
    }

    @Override
    public void close() {
        http.close();
    }
}
