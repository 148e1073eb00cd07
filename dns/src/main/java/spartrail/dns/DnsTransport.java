package spartrail.dns;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.Consumer;
import spartrail.model.NodeClock;
import spartrail.model.TimerQueue;

/**
 * Sends the queries of a {@link Resolver} and passes the results back, on a thread of its own: over a new UDP socket
 * for each query, or over one TCP connection per name server, which is kept for further queries. The transport makes no
 * decisions. The resolver bounds the queries in flight and thereby the number of sockets.
 */
// close() waits for the thread and may throw InterruptedException, about which the compiler warns.
@SuppressWarnings("try")
public final class DnsTransport implements Runnable, AutoCloseable {
    private static final System.Logger LOG = System.getLogger("spartrail.dns");
    private static final double MAX_SELECT_MS = 1000;
    private static final long JOIN_MS = 5000;

    private final Resolver resolver;
    private final Consumer<SrvTargets> onTargets;
    private final Selector selector;
    private final TimerQueue timers = new TimerQueue();
    private final TransportLoop loop;
    private final Map<InetSocketAddress, TcpConnection> connections = new HashMap<>();
    private final ConcurrentLinkedQueue<Runnable> tasks = new ConcurrentLinkedQueue<>();
    private final Thread thread;
    private volatile boolean isClosed;

    /** Starts the thread, which owns the resolver from now on and passes changed targets to {@code onTargets}. */
    public DnsTransport(Resolver resolver, NodeClock clock, Consumer<SrvTargets> onTargets) throws IOException {
        this.resolver = resolver;
        this.onTargets = onTargets;
        this.selector = Selector.open();
        this.loop = new TransportLoop(selector, clock, timers, resolver);
        this.thread = new Thread(this, "spartrail-dns");
        thread.setDaemon(true);
        thread.start();
    }

    /** Runs the task on the transport's thread, which owns the resolver. */
    public void execute(Runnable task) {
        tasks.add(task);
        selector.wakeup();
    }

    @Override
    public void run() {
        while (!isClosed) {
            try {
                runOnce();
            } catch (IOException | RuntimeException e) {
                // One malformed response must not stop the thread and thereby the updates of all names.
                LOG.log(
                        System.Logger.Level.ERROR,
                        "exception in the DNS loop; dropping the current event and continuing",
                        e);
            }
        }
        selector.keys().forEach(key -> TransportLoop.close(key.channel()));
        TransportLoop.close(selector);
    }

    private void runOnce() throws IOException {
        for (Runnable task = tasks.poll(); task != null; task = tasks.poll()) {
            task.run();
        }
        timers.runDue(loop.nowMs());
        resolver.advance(loop.nowMs());
        sendQueries();
        resolver.takeChangedTargets(loop.nowMs()).forEach(onTargets);
        select();
        runReadyExchanges();
    }

    /** Sends queries until none is left, as a query that fails at once may cause another one. */
    private void sendQueries() {
        List<DnsQuery> queries = resolver.takeQueries();
        while (!queries.isEmpty()) {
            queries.forEach(this::send);
            queries = resolver.takeQueries();
        }
    }

    private void select() throws IOException {
        double waitMs = Math.min(timers.nextDueMs(), resolver.nextDueMs()) - loop.nowMs();
        if (waitMs > 0 && tasks.isEmpty()) {
            selector.select((long) Math.ceil(Math.min(MAX_SELECT_MS, waitMs)));
        } else {
            selector.selectNow();
        }
    }

    private void runReadyExchanges() {
        Iterator<SelectionKey> keys = selector.selectedKeys().iterator();
        while (keys.hasNext()) {
            SelectionKey key = keys.next();
            keys.remove();
            if (key.isValid()) {
                ((Runnable) key.attachment()).run();
            }
        }
    }

    private void send(DnsQuery query) {
        try {
            if (query.isTcp()) {
                getOrOpenConnection(query).send(query);
            } else {
                UdpExchange.start(loop, query);
            }
        } catch (IOException e) {
            resolver.onFailure(query, loop.nowMs());
        }
    }

    /** Returns the server's connection; opens one if there is none, or if the query's id is in use on it. */
    private TcpConnection getOrOpenConnection(DnsQuery query) throws IOException {
        TcpConnection connection = connections.get(query.server());
        if (connection == null || connection.hasInFlight(query.id())) {
            connection = new TcpConnection(loop, query.server(), closed -> connections.remove(closed.server(), closed));
            connections.put(query.server(), connection);
        }
        return connection;
    }

    /** Stops the thread, which closes all sockets. */
    @Override
    public void close() throws InterruptedException {
        isClosed = true;
        selector.wakeup();
        if (Thread.currentThread() != thread) {
            thread.join(JOIN_MS);
        }
    }
}
