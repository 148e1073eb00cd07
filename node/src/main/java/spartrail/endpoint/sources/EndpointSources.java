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
import spartrail.endpoint.ServerStartTimes;
import spartrail.endpoint.SourceReport;
import spartrail.model.NodeClock;

/**
 * Merges the endpoints of all sources between the discovery client and the coordinator's loop: passes the reports of
 * all sources to one registry, and publishes the changed endpoints as changes of the endpoint list. A thread of this
 * object owns the registry.
 */
public final class EndpointSources implements DiscoveryClient.Listener, EndpointSourceProvider.Listener, AutoCloseable {
    private static final System.Logger LOG = System.getLogger("spartrail.endpoint.sources");
    private static final long EXPLAIN_TIMEOUT_S = 5;
    /** No task is scheduled for longer delays than this. */
    private static final double MAX_WAIT_MS = 1e9;

    private final ServerStartTimes startTimes = new ServerStartTimes();
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
    /** Whether the reports that are being applied are from discovery, which may list any address. */
    private boolean isFromDiscovery;

    private long version;

    /**
     * Creates a registry with an initial list, which counts as discovery's report until discovery answers. The initial
     * list is not published, as the listener knows it already.
     */
    public EndpointSources(
            EndpointSourcesFile file,
            int cells,
            int replicationFactor,
            NodeClock clock,
            EndpointList initialList,
            DiscoveryClient.Listener listener) {
        this.clock = clock;
        this.listener = listener;
        this.registry =
                new EndpointRegistry(cells, replicationFactor, file.limits(), createAddressFilter(file, initialList));
        this.discovery = registry.getOrCreateSource("discovery", EndpointSource.Kind.DISCOVERY, clock.nowMs());
        applyFromDiscovery(true, initialList);
        registry.markUnavailable(discovery, clock.nowMs());
        registry.takeChanges();
    }

    /** Allows all addresses that discovery lists; other sources may list addresses in the ranges of the file. */
    private Predicate<String> createAddressFilter(EndpointSourcesFile file, EndpointList initialList) {
        Predicate<String> ranges = file.allowedAddresses();
        Set<String> knownAddresses = initialList.endpoints().stream()
                .map(endpoint -> formatAddress(endpoint.address()))
                .collect(Collectors.toSet());
        return address -> ranges.test(address) || knownAddresses.contains(address) || isFromDiscovery;
    }

    private void applyFromDiscovery(boolean isComplete, EndpointList list) {
        isFromDiscovery = true;
        registry.applyReports(discovery, isComplete, toReports(isComplete, list), 0, clock.nowMs());
        isFromDiscovery = false;
    }

    /** Starts the sources that the file configures; the service loader finds their providers. */
    public void start(EndpointSourcesFile file) throws IOException {
        for (EndpointSourceProvider provider : ServiceLoader.load(EndpointSourceProvider.class)) {
            Map<?, ?> settings = file.section(provider.section());
            if (settings != null) {
                providers.add(provider.start(settings, this));
                LOG.log(System.Logger.Level.INFO, "using additional endpoint sources: " + provider.section());
            }
        }
        if (file.section("dns") != null && providers.isEmpty()) {
            throw new IllegalArgumentException("the members' file has 'dns', but no jar on the class path provides it");
        }
    }

    @Override
    public void onEndpointUpdate(EndpointList list) {
        executor.execute(() -> {
            applyFromDiscovery(list.isComplete(), list);
            // Published even if nothing has changed, as the listener may be waiting for the response of discovery.
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
            EndpointSource endpointSource = registry.getOrCreateSource(source, kind, nowMs);
            registry.applyReports(endpointSource, isComplete, reports, lifetimeMs, nowMs);
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

    private List<SourceReport> toReports(boolean isComplete, EndpointList list) {
        EndpointList received = new EndpointList(list.version(), isComplete, list.endpoints());
        List<Double> startedMs = startTimes.convert(received, clock.nowMs(), NodeClock.unixMs());
        List<SourceReport> reports = new ArrayList<>();
        for (int i = 0; i < startedMs.size(); i++) {
            reports.add(toReport(list.endpoints().get(i), startedMs.get(i)));
        }
        return reports;
    }

    private static SourceReport toReport(Endpoint endpoint, double startedMs) {
        return new SourceReport(
                endpoint.id(),
                endpoint.address() == null ? null : formatAddress(endpoint.address()),
                endpoint.zone(),
                endpoint.kind(),
                endpoint.cell(),
                endpoint.state(),
                endpoint.weight(),
                startedMs,
                0);
    }

    private static String formatAddress(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    // Publication

    /** Publishes the changes, and schedules the next call for when a status changes without a report. */
    private void publish(boolean evenIfUnchanged) {
        registry.advance(clock.nowMs());
        List<Endpoint> changed = new ArrayList<>();
        for (SourceReport report : registry.takeChanges()) {
            changed.add(toEndpoint(report));
            logChange(report);
        }
        if (evenIfUnchanged || !changed.isEmpty()) {
            version++;
            listener.onEndpointUpdate(new EndpointList(version, false, changed));
        }
        scheduleNextAdvance();
    }

    private Endpoint toEndpoint(SourceReport report) {
        return new Endpoint(
                report.id(),
                EndpointAddress.parse(report.address()),
                report.zone(),
                report.kind(),
                report.cell(),
                report.state(),
                report.weight(),
                startTimes.toBootMs(report, clock.nowMs(), NodeClock.unixMs()));
    }

    private void logChange(SourceReport report) {
        LOG.log(
                System.Logger.Level.INFO,
                report.id() + " at " + report.address() + " is " + report.state() + ": "
                        + registry.find(report.id()).reason());
    }

    private void scheduleNextAdvance() {
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

    /** Explains the status of an endpoint, which is found by id, uid or address. */
    public String explain(String name) throws InterruptedException, ExecutionException, TimeoutException {
        return executor.submit(() -> explainNow(name)).get(EXPLAIN_TIMEOUT_S, TimeUnit.SECONDS);
    }

    private String explainNow(String name) {
        EndpointRecord record = registry.find(name);
        return record == null ? name + ": no source has named it\n" : EndpointExplanation.of(record, clock.nowMs());
    }

    /** Stops the sources and the thread. */
    @Override
    public void close() {
        for (AutoCloseable provider : providers) {
            try {
                provider.close();
            } catch (Exception e) {
                LOG.log(System.Logger.Level.WARNING, "cannot close an endpoint source: " + e.getMessage());
            }
        }
        executor.shutdownNow();
    }
}
