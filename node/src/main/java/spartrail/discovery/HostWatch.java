package spartrail.discovery;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.client.UndertowClient;
import io.undertow.connector.ByteBufferPool;
import io.undertow.util.Headers;
import io.undertow.util.Methods;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.ByteBuffer;
import java.util.concurrent.CountDownLatch;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;
import org.xnio.channels.StreamSourceChannel;
import spartrail.membership.EndpointList;

/**
 * Follows the list of servers over HTTP: the whole list once, then a watch for what changes. All of it runs
 * on the I/O thread; whatever goes wrong is a list that could not be had, never an end of service.
 */
public final class HostWatch {
    /** Where lists are told. */
    public interface Listener {
        void listed(EndpointList list);

        void unlisted();
    }

    private static final System.Logger LOG = System.getLogger("spartrail.discovery");
    /** The pause after a second failure, and after an answer that told nothing and came before its time. */
    static final long PAUSE_MS = 200;
    /** What discovery has to tell counts as told 2 s after the end of a call's wait, and 6 s after a watch fell silent. */
    private static final long WAIT_MS = 4000;

    private static final long SHORT_WAIT_MS = 50;
    /**
     * An agent that lives answers so soon after the wait. Danger: a call given up only when its news counts as told leaves
     * no time to open another one.
     */
    private static final long ANSWER_MS = 600;
    /** The I/O thread looks at the socket once more before it gives a call up. */
    private static final long LAST_LOOK_MS = 2;
    /** A call that follows a failed one is given up after so long, connecting included; so is one that follows it. */
    static final long RETRY_CALL_MS = SHORT_WAIT_MS + ANSWER_MS + LAST_LOOK_MS;
    /** A call that may wait is given up after so long. */
    static final long WAITING_CALL_MS = WAIT_MS + ANSWER_MS + LAST_LOOK_MS;

    private static final int LONGEST = 1024 * 1024;

    private final XnioIoThread io;
    private final Timers timers;
    private final ByteBufferPool buffers;
    private InetSocketAddress address;
    private final boolean onRequest;
    private final Listener listener;

    private ClientConnection connection;
    private final CountDownLatch heard = new CountDownLatch(1);
    private boolean running;
    private boolean closed;
    private boolean had;
    /** The present address has not answered yet. */
    private boolean moved;

    private long version;
    private long call;
    private XnioExecutor.Key timer;
    private long failures;
    private long waitMs;
    private long askedNs;

    /** On request: after a failure it waits to be started anew, else it goes on by itself. */
    public HostWatch(
            XnioIoThread io, ByteBufferPool buffers, InetSocketAddress address, boolean onRequest, Listener listener) {
        this(io, Timers.of(io), buffers, address, onRequest, listener);
    }

    HostWatch(
            XnioIoThread io,
            Timers timers,
            ByteBufferPool buffers,
            InetSocketAddress address,
            boolean onRequest,
            Listener listener) {
        this.io = io;
        this.timers = timers;
        this.buffers = buffers;
        this.address = address;
        this.onRequest = onRequest;
        this.listener = listener;
    }

    public void start() {
        if (!running && !closed) {
            running = true;
            ask();
        }
    }

    /**
     * From now on the list is asked for elsewhere, whole; the one that is held stays in use until it is answered there.
     * Danger: a call that waits at the old address would hold the watch up until its time-out.
     */
    public void move(InetSocketAddress to) {
        if (closed || to.equals(address)) {
            return;
        }
        LOG.log(System.Logger.Level.INFO, "discovery is at " + to + " from now on, no longer at " + address);
        address = to;
        moved = true;
        failures = 0;
        if (timer != null) {
            timer.remove();
        }
        IoUtils.safeClose(connection);
        connection = null;
        running = true;
        ask();
    }

    /** Counted down once the first call has been answered, or could not be had. */
    public CountDownLatch heard() {
        return heard;
    }

    public void close() {
        closed = true;
        call++;
        if (timer != null) {
            timer.remove();
        }
        IoUtils.safeClose(connection);
    }

    private void ask() {
        if (closed) {
            return;
        }
        long number = ++call;
        askedNs = timers.nanoTime();
        // Danger: a silent agent and one that has nothing to tell look the same for as long as a call waits; where it
        // has
        // been silent, one that hardly waits finds out. Danger: a change counts as told 6 s after discovery had it and
        // could be
        // reached, however long the calls before were given; an outage may end just after a call has begun.
        waitMs = !had || moved ? 0 : failures == 0 ? WAIT_MS : SHORT_WAIT_MS;
        // Danger: discovery that is down says nothing at all, and a call without an end would be the last. Danger: of a
        // process that stood still the answer may wait in the socket; so it is looked at first.
        Runnable giveUp = () -> failed(number, "no answer in time");
        timer = timers.after(waitMs + ANSWER_MS, () -> timer = timers.after(LAST_LOOK_MS, giveUp));
        if (connection != null && connection.isOpen()) {
            request(number);
            return;
        }
        URI uri = URI.create("http://" + address.getAddress().getHostAddress() + ":" + address.getPort());
        UndertowClient.getInstance()
                .connect(
                        new ClientCallback<>() {
                            @Override
                            public void completed(ClientConnection opened) {
                                if (number == call) {
                                    connection = opened;
                                    request(number);
                                } else {
                                    IoUtils.safeClose(opened);
                                }
                            }

                            @Override
                            public void failed(IOException e) {
                                HostWatch.this.failed(number, "cannot connect");
                            }
                        },
                        uri,
                        io,
                        buffers,
                        OptionMap.EMPTY);
    }

    private void request(long number) {
        // Danger: a new agent may count its versions anew, and would have nothing newer than the old one's for a long
        // time.
        String path =
                had && !moved ? "/discovery/hosts?since=" + version + "&timeout_ms=" + waitMs : "/discovery/hosts";
        ClientRequest request = new ClientRequest().setMethod(Methods.GET).setPath(path);
        request.getRequestHeaders().put(Headers.HOST, address.getAddress().getHostAddress() + ":" + address.getPort());
        connection.sendRequest(request, new ClientCallback<>() {
            @Override
            public void completed(ClientExchange exchange) {
                exchange.setResponseListener(new ClientCallback<>() {
                    @Override
                    public void completed(ClientExchange answered) {
                        read(number, answered);
                    }

                    @Override
                    public void failed(IOException e) {
                        HostWatch.this.failed(number, "broken");
                    }
                });
            }

            @Override
            public void failed(IOException e) {
                HostWatch.this.failed(number, "broken");
            }
        });
    }

    private void read(long number, ClientExchange exchange) {
        int status = exchange.getResponse().getResponseCode();
        if (status != 200) {
            failed(number, "status " + status);
            return;
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        StreamSourceChannel channel = exchange.getResponseChannel();
        channel.getReadSetter().set(source -> drain(number, source, body));
        drain(number, channel, body);
    }

    private void drain(long number, StreamSourceChannel channel, ByteArrayOutputStream body) {
        ByteBuffer buffer = ByteBuffer.allocate(8192);
        try {
            while (number == call) {
                int got = channel.read(buffer.clear());
                if (got == 0) {
                    channel.resumeReads();
                    return;
                }
                if (got < 0) {
                    told(number, body.toByteArray());
                    return;
                }
                body.write(buffer.array(), 0, got);
                if (body.size() > LONGEST) {
                    failed(number, "an answer without end");
                }
            }
        } catch (IOException e) {
            failed(number, "broken");
        }
    }

    private void told(long number, byte[] body) {
        EndpointList list;
        try {
            list = EndpointList.decode(body);
        } catch (IOException | IllegalArgumentException e) {
            failed(number, "unusable: " + e.getMessage());
            return;
        }
        timer.remove();
        boolean early = waitMs == WAIT_MS && timers.nanoTime() - askedNs < 1e6 * PAUSE_MS;
        if (failures > 0) {
            LOG.log(System.Logger.Level.INFO, "discovery answers again after " + failures + " failed calls");
            failures = 0;
        }
        // Danger: an answer older than what is held would bring back servers that are gone. A new address that
        // answers with its whole list, and not with changes, does not know the version that is held.
        if (!had || list.version() >= version || moved && list.all()) {
            boolean news = !had || list.all() || !list.lines().isEmpty();
            early &= !news || list.version() == version;
            had = true;
            version = list.version();
            if (news) {
                listener.listed(list);
            }
        }
        moved = false;
        heard.countDown();
        if (early) {
            // Danger: one that does not wait, or knows only an older list, would be asked without a pause. (A watch
            // goes on
            // only if its next call comes within this time.)
            timer = timers.after(PAUSE_MS / 2, this::ask);
        } else {
            ask();
        }
    }

    private void failed(long number, String why) {
        if (number != call || closed) {
            return;
        }
        call++;
        timer.remove();
        IoUtils.safeClose(connection);
        connection = null;
        if (failures++ == 0) {
            LOG.log(System.Logger.Level.WARNING, "discovery " + address + " cannot be had: " + why);
        }
        heard.countDown();
        listener.unlisted();
        if (onRequest) {
            running = false;
        } else {
            // Danger: what the agent has counts as told while no watch is open.
            timer = timers.after(failures == 1 ? 0 : PAUSE_MS, this::ask);
        }
    }
}
