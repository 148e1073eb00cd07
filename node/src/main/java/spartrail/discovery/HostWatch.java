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
import java.util.concurrent.TimeUnit;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;
import org.xnio.channels.StreamSourceChannel;

/**
 * Follows the list of servers over HTTP: the whole list once, then a watch for what changes. All of it runs
 * on the I/O thread; whatever goes wrong is a list that could not be had, never an end of service.
 */
public final class HostWatch {
    /** Where lists are told. */
    public interface Listener {
        void listed(HostList list);

        void unlisted();
    }

    private static final System.Logger LOG = System.getLogger("spartrail.discovery");
    /** A watch goes on only if its next call comes within this time; after a failure it is the pause. */
    private static final long NEXT_CALL_MS = 200;
    /** What discovery has to tell counts as told this long after the end of a call's wait. */
    private static final long TOLD_MS = 2000;
    private static final long WAIT_MS = 2 * TOLD_MS;
    private static final int LONGEST = 1024 * 1024;

    private final XnioIoThread io;
    private final ByteBufferPool buffers;
    private InetSocketAddress address;
    private final boolean onRequest;
    private final Listener listener;

    private ClientConnection connection;
    private boolean running;
    private boolean closed;
    private boolean had;
    /** The present address has not answered yet. */
    private boolean moved;
    private long version;
    private long call;
    private XnioExecutor.Key timer;
    private long failures;

    /** On request: after a failure it waits to be started anew, else it goes on by itself. */
    public HostWatch(XnioIoThread io, ByteBufferPool buffers, InetSocketAddress address, boolean onRequest,
            Listener listener) {
        this.io = io;
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
     * From now on the list is asked for elsewhere, from the version that is held; it stays in use until it is
     * answered there. Danger: a call that waits at the old address would hold the watch up until its time-out.
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
        // Danger: discovery that is down says nothing at all, and a call without an end would be the last.
        timer = io.executeAfter(() -> failed(number, "no answer in time"), WAIT_MS + TOLD_MS, TimeUnit.MILLISECONDS);
        if (connection != null && connection.isOpen()) {
            request(number);
            return;
        }
        URI uri = URI.create("http://" + address.getAddress().getHostAddress() + ":" + address.getPort());
        UndertowClient.getInstance().connect(new ClientCallback<>() {
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
        }, uri, io, buffers, OptionMap.EMPTY);
    }

    private void request(long number) {
        String path = had ? "/discovery/hosts?since=" + version + "&timeout_ms=" + WAIT_MS : "/discovery/hosts";
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
        HostList list;
        try {
            list = HostList.decode(body);
        } catch (IOException | IllegalArgumentException e) {
            failed(number, "unusable: " + e.getMessage());
            return;
        }
        timer.remove();
        if (failures > 0) {
            LOG.log(System.Logger.Level.INFO, "discovery answers again after " + failures + " failed calls");
            failures = 0;
        }
        // Danger: an answer older than what is held would bring back servers that are gone. A new address that
        // answers with its whole list, and not with changes, does not know the version that is held.
        if (!had || list.version() >= version || moved && list.all()) {
            boolean news = !had || list.all() || !list.lines().isEmpty();
            had = true;
            version = list.version();
            if (news) {
                listener.listed(list);
            }
        }
        moved = false;
        ask();
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
        listener.unlisted();
        if (onRequest) {
            running = false;
        } else {
            timer = io.executeAfter(this::ask, NEXT_CALL_MS, TimeUnit.MILLISECONDS);
        }
    }
}
