package spartrail.endpoint.sources;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.ServiceLoader;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import spartrail.discovery.DiscoveryClient;
import spartrail.endpoint.EndpointList;
import spartrail.endpoint.EndpointRegistry;
import spartrail.endpoint.EndpointSource;
import spartrail.endpoint.EndpointSourceProvider;
import spartrail.endpoint.SourceReport;
import spartrail.model.NodeClock;

/**
 * Stands between the roll's watch and the loop: what sources say goes into the view, and the lines that change come out as
 * changes of the list. One thread owns the view.
 */
public final class EndpointSources implements DiscoveryClient.Listener, EndpointSourceProvider.Words, AutoCloseable {
    private static final System.Logger LOG = System.getLogger("spartrail.members");

    private final EndpointRegistry view;
    private final NodeClock clock;
    private final DiscoveryClient.Listener loop;
    private final EndpointSource roll;
    private final List<AutoCloseable> sources = new ArrayList<>();
    private final ScheduledExecutorService thread = Executors.newSingleThreadScheduledExecutor(task -> {
        Thread made = new Thread(task, "spartrail-members");
        made.setDaemon(true);
        return made;
    });
    private ScheduledFuture<?> due;
    /** The line in hand comes from the roll. */
    private boolean fromRoll;

    private long version;

    /** The list as it was last had is known to the loop already; it counts as the roll's word until the roll answers. */
    public EndpointSources(
            EndpointSourcesFile file,
            int cells,
            int reach,
            NodeClock clock,
            EndpointList known,
            DiscoveryClient.Listener loop) {
        this.clock = clock;
        this.loop = loop;
        var allowed = file.allowed();
        List<String> rolled =
                known.lines().stream().map(line -> text(line.address())).toList();
        // What the roll names is allowed: its word is law. Ranges bound what others may name.
        this.view = new EndpointRegistry(
                cells,
                reach,
                file.bounds(),
                endpoint -> allowed.test(endpoint) || rolled.contains(endpoint) || fromRoll);
        this.roll = view.source("roll", EndpointSource.Kind.ROLL, clock.nowMs());
        byRoll(() -> view.said(roll, true, lines(known), 0, clock.nowMs()));
        view.out(roll, clock.nowMs());
        view.changes();
    }

    private void byRoll(Runnable what) {
        fromRoll = true;
        what.run();
        fromRoll = false;
    }

    /** Starts the sources that the file names; each is found by the service loader. */
    public void start(EndpointSourcesFile file) throws IOException {
        for (EndpointSourceProvider kind : ServiceLoader.load(EndpointSourceProvider.class)) {
            Map<?, ?> settings = file.section(kind.section());
            if (settings != null) {
                sources.add(kind.start(settings, this));
                LOG.log(System.Logger.Level.INFO, "servers also from " + kind.section());
            }
        }
        if (file.section("dns") != null && sources.isEmpty()) {
            throw new IllegalArgumentException("the members' file has 'dns', but no jar on the class path follows DNS");
        }
    }

    @Override
    public void listed(EndpointList list) {
        thread.execute(() -> {
            byRoll(() -> view.said(roll, list.all(), lines(list), 0, clock.nowMs()));
            // Also where nothing changed: who asks for the list waits for its answer.
            hand(true);
        });
    }

    @Override
    public void unlisted() {
        thread.execute(() -> {
            view.out(roll, clock.nowMs());
            hand(false);
        });
        loop.unlisted();
    }

    @Override
    public void said(
            String source, EndpointSource.Kind kind, boolean whole, List<SourceReport> lines, double lifetimeMs) {
        thread.execute(() -> {
            double nowMs = clock.nowMs();
            view.said(view.source(source, kind, nowMs), whole, lines, lifetimeMs, nowMs);
            hand(false);
        });
    }

    @Override
    public void out(String source, EndpointSource.Kind kind) {
        thread.execute(() -> {
            double nowMs = clock.nowMs();
            view.out(view.source(source, kind, nowMs), nowMs);
            hand(false);
        });
    }

    private List<SourceReport> lines(EndpointList list) {
        List<SourceReport> lines = new ArrayList<>();
        for (EndpointList.Endpoint line : list.lines()) {
            lines.add(new SourceReport(
                    line.id(),
                    line.address() == null ? null : text(line.address()),
                    line.zone(),
                    line.kind(),
                    line.cell(),
                    line.state(),
                    line.rating(),
                    line.bootMs() > 0 ? clock.toNodeTimeMs(line.bootMs()) : -1,
                    0));
        }
        return lines;
    }

    private static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    /** Hands on what has changed, and comes back when time alone changes something. */
    private void hand(boolean always) {
        view.advance(clock.nowMs());
        List<EndpointList.Endpoint> lines = new ArrayList<>();
        for (SourceReport said : view.changes()) {
            lines.add(new EndpointList.Endpoint(
                    said.id(),
                    EndpointList.address(said.endpoint()),
                    said.zone(),
                    said.kind(),
                    said.cell(),
                    said.state(),
                    said.rating(),
                    said.bornMs() > 0 ? unix(said.bornMs()) : 0));
            LOG.log(
                    System.Logger.Level.INFO,
                    said.id() + " at " + said.endpoint() + " is " + said.state() + ": "
                            + view.find(said.id()).rule());
        }
        if (always || !lines.isEmpty()) {
            loop.listed(new EndpointList(++version, false, lines));
        }
        if (due != null) {
            due.cancel(false);
        }
        double waitMs = view.nextMs() - clock.nowMs();
        due = waitMs > 1e9
                ? null
                : thread.schedule(() -> hand(false), Math.max(1, (long) Math.ceil(waitMs)), TimeUnit.MILLISECONDS);
    }

    /** A time of the node's clock as Unix time. */
    private long unix(double ms) {
        return System.currentTimeMillis() - Math.round(clock.nowMs() - ms);
    }

    /** What the view says of a server, by id or endpoint. */
    public String explain(String server) throws Exception {
        return thread.submit(() -> view.find(server) == null
                        ? server + ": nobody knows it\n"
                        : view.explain(view.find(server), clock.nowMs()))
                .get(5, TimeUnit.SECONDS);
    }

    @Override
    public void close() {
        for (AutoCloseable source : sources) {
            try {
                source.close();
            } catch (Exception e) {
                LOG.log(System.Logger.Level.WARNING, "a source did not end: " + e.getMessage());
            }
        }
        thread.shutdownNow();
    }
}
