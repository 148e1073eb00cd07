package spartrail.endpoint.sources;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.ServiceLoader;
import java.util.Set;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import spartrail.discovery.DiscoveryClient;
import spartrail.endpoint.EndpointAddress;
import spartrail.endpoint.EndpointExplanation;
import spartrail.endpoint.EndpointList;
import spartrail.endpoint.EndpointList.Endpoint;
import spartrail.endpoint.EndpointRecord;
import spartrail.endpoint.EndpointRegistry;
import spartrail.endpoint.EndpointSource;
import spartrail.endpoint.EndpointSourceProvider;
import spartrail.endpoint.SourceReport;
import spartrail.model.NodeClock;

/**
 * Stands between the discovery client and the coordinator's loop: what all sources report goes into one registry, and the endpoints
 * that change come out as changes of the endpoint list. A thread of its own owns the registry.
 */
public final class EndpointSources implements DiscoveryClient.Listener, EndpointSourceProvider.Listener, AutoCloseable {
    private static final System.Logger LOG = System.getLogger("spartrail.endpoint.sources");
    private static final long EXPLAIN_TIMEOUT_S = 5;
    /** Waits longer than this are for ever. */
    private static final double MAX_WAIT_MS = 1e9;

    private static final long STARTED_LONG_AGO = -1;

    private final EndpointRegistry registry;
    private final EndpointSource discovery;
    private final NodeClock clock;
    private final DiscoveryClient.Listener listener;
    private final List<AutoCloseable> providers = new ArrayList<>();
    private final ScheduledExecutorService executor = Executors.newSingleThreadScheduledExecutor(task -> {
        Thread thread = new Thread(task, "spartrail-endpoint-sources");
        thread.setDaemon(true);
        return thread;
    });
    private ScheduledFuture<?> nextAdvance;
    /** Whether the reports at hand are discovery's, which may name any address. */
    private boolean isFromDiscovery;

    private long version;

    /** The listener knows this list already; it counts as discovery's report until discovery answers. */
    public EndpointSources(
            EndpointSourcesFile file,
            int cells,
            int replicationFactor,
            NodeClock clock,
            EndpointList known,
            DiscoveryClient.Listener listener) {
        this.clock = clock;
        this.listener = listener;
        this.registry = new EndpointRegistry(cells, replicationFactor, file.limits(), allowed(file, known));
        this.discovery = registry.getOrCreateSource("discovery", EndpointSource.Kind.DISCOVERY, clock.nowMs());
        applyFromDiscovery(true, known);
        registry.markUnavailable(discovery, clock.nowMs());
        registry.takeChanges();
    }

    /** What discovery names is allowed; the ranges of the file bound what other sources may name. */
    private Predicate<String> allowed(EndpointSourcesFile file, EndpointList known) {
        Predicate<String> ranges = file.allowed();
        Set<String> knownAddresses =
                known.endpoints().stream().map(each -> text(each.address())).collect(Collectors.toSet());
        return address -> ranges.test(address) || knownAddresses.contains(address) || isFromDiscovery;
    }

    private void applyFromDiscovery(boolean isComplete, EndpointList list) {
        isFromDiscovery = true;
        registry.applyReports(discovery, isComplete, reports(list), 0, clock.nowMs());
        isFromDiscovery = false;
    }

    /** Starts the sources that the file names; each is found by the service loader. */
    public void start(EndpointSourcesFile file) throws IOException {
        for (EndpointSourceProvider provider : ServiceLoader.load(EndpointSourceProvider.class)) {
            Map<?, ?> settings = file.section(provider.section());
            if (settings != null) {
                providers.add(provider.start(settings, this));
                LOG.log(System.Logger.Level.INFO, "endpoints also from " + provider.section());
            }
        }
        if (file.section("dns") != null && providers.isEmpty()) {
            throw new IllegalArgumentException("the members' file has 'dns', but no jar on the class path follows DNS");
        }
    }

    @Override
    public void onEndpointUpdate(EndpointList list) {
        executor.execute(() -> {
            applyFromDiscovery(list.isComplete(), list);
            // Also where nothing has changed: who asks for the list waits for an answer.
            publish(true);
        });
    }

    @Override
    public void onDiscoveryUnavailable() {
        executor.execute(() -> {
            registry.markUnavailable(discovery, clock.nowMs());
            publish(false);
        });
        listener.onDiscoveryUnavailable();
    }

    @Override
    public void onReports(
            String source,
            EndpointSource.Kind kind,
            boolean isComplete,
            List<SourceReport> reports,
            double lifetimeMs) {
        executor.execute(() -> {
            double nowMs = clock.nowMs();
            EndpointSource from = registry.getOrCreateSource(source, kind, nowMs);
            registry.applyReports(from, isComplete, reports, lifetimeMs, nowMs);
            publish(false);
        });
    }

    @Override
    public void onUnavailable(String source, EndpointSource.Kind kind) {
        executor.execute(() -> {
            double nowMs = clock.nowMs();
            registry.markUnavailable(registry.getOrCreateSource(source, kind, nowMs), nowMs);
            publish(false);
        });
    }

    private List<SourceReport> reports(EndpointList list) {
        return list.endpoints().stream().map(this::report).toList();
    }

    private SourceReport report(Endpoint endpoint) {
        return new SourceReport(
                endpoint.id(),
                endpoint.address() == null ? null : text(endpoint.address()),
                endpoint.zone(),
                endpoint.kind(),
                endpoint.cell(),
                endpoint.state(),
                endpoint.weight(),
                endpoint.bootMs() > 0 ? clock.toNodeTimeMs(endpoint.bootMs()) : STARTED_LONG_AGO,
                0);
    }

    private static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    // Publication

    /** Hands on what has changed, and comes back when time alone changes something. */
    private void publish(boolean isAlways) {
        registry.advance(clock.nowMs());
        List<Endpoint> changed = new ArrayList<>();
        for (SourceReport report : registry.takeChanges()) {
            changed.add(endpoint(report));
            log(report);
        }
        if (isAlways || !changed.isEmpty()) {
            version++;
            listener.onEndpointUpdate(new EndpointList(version, false, changed));
        }
        scheduleNext();
    }

    private Endpoint endpoint(SourceReport report) {
        return new Endpoint(
                report.id(),
                EndpointAddress.parse(report.address()),
                report.zone(),
                report.kind(),
                report.cell(),
                report.state(),
                report.weight(),
                report.startedMs() > 0 ? unixMs(report.startedMs()) : 0);
    }

    /** A time of the node's clock as Unix time. */
    private long unixMs(double ms) {
        return System.currentTimeMillis() - Math.round(clock.nowMs() - ms);
    }

    private void log(SourceReport report) {
        LOG.log(
                System.Logger.Level.INFO,
                report.id() + " at " + report.address() + " is " + report.state() + ": "
                        + registry.find(report.id()).reason());
    }

    private void scheduleNext() {
        if (nextAdvance != null) {
            nextAdvance.cancel(false);
            nextAdvance = null;
        }
        double waitMs = registry.nextDueMs() - clock.nowMs();
        if (waitMs <= MAX_WAIT_MS) {
            long delayMs = Math.max(1, (long) Math.ceil(waitMs));
            nextAdvance = executor.schedule(() -> publish(false), delayMs, TimeUnit.MILLISECONDS);
        }
    }

    /** What the registry knows of an endpoint, by id, uid or address. */
    public String explain(String name) throws InterruptedException, ExecutionException, TimeoutException {
        return executor.submit(() -> explainNow(name)).get(EXPLAIN_TIMEOUT_S, TimeUnit.SECONDS);
    }

    private String explainNow(String name) {
        EndpointRecord record = registry.find(name);
        return record == null ? name + ": no source has named it\n" : EndpointExplanation.of(record, clock.nowMs());
    }

    /** Ends the sources and the thread. */
    @Override
    public void close() {
        for (AutoCloseable provider : providers) {
            try {
                provider.close();
            } catch (Exception e) {
                LOG.log(System.Logger.Level.WARNING, "a source did not end: " + e.getMessage());
            }
        }
        executor.shutdownNow();
    }
}
