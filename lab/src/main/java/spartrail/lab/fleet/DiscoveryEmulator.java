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

/** The roll of servers as one front node sees it: the whole list, and watches that wait for what is newer. */
final class DiscoveryEmulator implements AutoCloseable {
    /** What the roll says of a server. */
    static final class Line {
        final FleetPlan.ServerSpec server;
        final String endpoint;
        String state = "SERVING";
        long bornMs;
        long version;
        double changedMs;

        Line(FleetPlan.ServerSpec server, String endpoint) {
            this.server = server;
            this.endpoint = endpoint;
        }
    }

    private record Watch(HttpStub.Request request, long since, TimerQueue.Timer end) {}

    private final SocketLoop loop;
    private final int node;
    private final FleetListener listener;
    private final Map<String, Line> lines = new LinkedHashMap<>();
    private final List<Watch> watches = new ArrayList<>();
    private final HttpStub stand;
    private long version = 1;
    /** Takes calls and answers none. */
    private boolean silent;
    /** Answers with what it knew when this began. */
    private boolean stale;

    DiscoveryEmulator(SocketLoop loop, int node, InetSocketAddress address, List<Line> lines, FleetListener listener)
            throws IOException {
        this.loop = loop;
        this.node = node;
        this.listener = listener;
        lines.forEach(line -> {
            line.version = 1;
            this.lines.put(line.server.id(), line);
        });
        this.stand = new HttpStub(loop, address, this::asked);
    }

    int port() {
        return stand.port();
    }

    void silent(boolean isSilent) {
        silent = isSilent;
        tell();
    }

    void stale(boolean isStale) {
        stale = isStale;
        tell();
    }

    /** A server has another state from now on; those who watch are told. */
    void change(String id, String state, double bornMs, double changedMs) {
        Line line = lines.get(id);
        line.state = state;
        line.bornMs = bornMs > 0 ? (long) bornMs : line.bornMs;
        line.version = ++version;
        line.changedMs = changedMs;
        if (!silent && !stale) {
            listener.onStateChanged(node, id, state, loop.nowMs());
        }
        tell();
    }

    private void asked(HttpStub.Request request) {
        if (!request.method.equals("GET") || !request.path.startsWith("/discovery/hosts")) {
            request.answer(404, "", new byte[0]);
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
            request.answer(400, "", new byte[0]);
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
        tell();
    }

    private void tell() {
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
        if (!watch.request().from.isOpen()) {
            return;
        }
        boolean all = watch.since() < 0 || watch.since() > version;
        List<Line> news = new ArrayList<>();
        for (Line line : lines.values()) {
            if (all ? !line.state.equals("DELETED") : line.version > watch.since()) {
                news.add(line);
            }
        }
        StringBuilder body = new StringBuilder("{\"rev\":" + version + ",\"all\":" + all + ",\"targets\":[");
        double nowMs = loop.nowMs();
        for (int i = 0; i < news.size(); i++) {
            body.append(i == 0 ? "" : ",").append(json(news.get(i)));
        }
        watch.request()
                .answer(
                        200,
                        "Content-Type: application/json\r\n",
                        body.append("]}").toString().getBytes(StandardCharsets.UTF_8));
        news.forEach(line ->
                listener.onStateWritten(node, line.server.id(), line.state, line.bornMs, line.changedMs, nowMs));
        if (all) {
            lines.values().stream()
                    .filter(line -> line.state.equals("DELETED"))
                    .forEach(line -> listener.onStateWritten(
                            node, line.server.id(), line.state, line.bornMs, line.changedMs, nowMs));
        }
    }

    private static String json(Line line) {
        return String.format(
                Locale.ROOT,
                "{\"uid\":\"%s\",\"endpoint\":\"%s\",\"az\":\"%s\",\"model\":\"%s\","
                        + "\"pod_group\":%d,\"state\":\"%s\",\"capacity_hint\":%s,\"boot_ms\":%d}",
                line.server.id(),
                line.endpoint,
                line.server.zone(),
                line.server.profile().name(),
                line.server.cell(),
                line.state,
                line.server.rating(),
                line.bornMs);
    }

    /** The whole list in the roll's form. */
    String list() {
        StringBuilder body = new StringBuilder("{\"rev\":" + version + ",\"all\":true,\"targets\":[");
        List<Line> listed = lines.values().stream()
                .filter(line -> !line.state.equals("DELETED"))
                .toList();
        for (int i = 0; i < listed.size(); i++) {
            body.append(i == 0 ? "" : ",").append(json(listed.get(i)));
        }
        return body.append("]}").toString();
    }

    @Override
    public void close() {
        stand.close();
    }
}
