package spartrail.client;

import static org.assertj.core.api.Assertions.assertThat;

import io.undertow.server.DefaultByteBufferPool;
import java.io.File;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;
import spartrail.model.NodeClock;

class ClientListenerTest {
    private static int countOpenDescriptors() {
        String[] open = new File("/proc/self/fd").list();
        return open == null ? 0 : open.length;
    }

    private final XnioWorker worker = Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1));
    private final BlockingQueue<ClientRequest> queries = new LinkedBlockingQueue<>();
    private final List<ClientListener> listeners = new ArrayList<>();

    ClientListenerTest() throws IOException {}

    @AfterEach
    void close() throws Exception {
        for (ClientListener listener : listeners) {
            runOnIoThread(listener::close);
        }
        worker.shutdown();
    }

    private ClientListener createListener(int maxConnections) throws IOException {
        ClientListener listener = new ClientListener(
                worker,
                new DefaultByteBufferPool(true, 1024),
                new InetSocketAddress("127.0.0.1", 0),
                new NodeClock(),
                Set.of("orders"),
                4,
                maxConnections,
                new ClientQueryListener() {
                    @Override
                    public void onQuery(ClientQuery query, ClientRequest request) {
                        queries.add(request);
                    }

                    @Override
                    public void onClientGone(ClientRequest request) {}
                });
        listeners.add(listener);
        return listener;
    }

    private ClientListener startListener() throws Exception {
        ClientListener listener = createListener(16);
        runOnIoThread(listener::startAccepting);
        return listener;
    }

    private static Socket connect(ClientListener listener) throws IOException {
        return new Socket(listener.address().getAddress(), listener.address().getPort());
    }

    private void fail(ClientRequest request) throws Exception {
        runOnIoThread(() -> request.respond(ClientResponse.failure()));
    }

    private interface Step {
        void run() throws Exception;
    }

    private void runOnIoThread(Step step) throws Exception {
        CompletableFuture<Void> done = new CompletableFuture<>();
        worker.getIoThread().execute(() -> {
            try {
                step.run();
                done.complete(null);
            } catch (Exception e) {
                done.completeExceptionally(e);
            }
        });
        done.get(20, TimeUnit.SECONDS);
    }

    /** The next request that the listener has received; fails if there is none within 20 s. */
    private ClientRequest nextRequest() throws InterruptedException {
        ClientRequest next = queries.poll(20, TimeUnit.SECONDS);
        assertThat(next).as("a received request").isNotNull();
        return next;
    }

    private static void send(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    private static final String UP = "GET /up HTTP/1.1\r\nHost: x\r\n\r\n";
    private static final String BODY = "{\"segments\":[{\"segment\":0,\"boost\":1}],\"text\":\"t\"}";
    private static final String QUERY =
            "POST /orders/k HTTP/1.1\r\nHost: x\r\nReq-Id: a\r\nReq-Kind: orders\r\nReq-Deadline: 4\r\n"
                    + "Content-Length: " + BODY.length() + "\r\n\r\n" + BODY;

    private static String readAllToEnd(Socket socket) throws IOException {
        socket.setSoTimeout(20_000);
        return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
    }

    /**
     * Reads this connection to its end, and shortens the heads of responses to their status line; throws on a reset.
     */
    private static String readToEnd(Socket socket) throws IOException {
        return readAllToEnd(socket).replaceAll("(?s)\r\n.*\r\n\r\n", " ");
    }

    /**
     * Shuts the listener down while the I/O thread is paused, with five connections: an idle one, one with an unread
     * request, one with half a head, a new one, and one with a request in flight whose client sends its next request.
     */
    @Test
    void requestsSentDuringTheShutdownAreAnsweredAndNoConnectionIsReset() throws Exception {
        ClientListener listener = startListener();
        Socket[] clients = new Socket[4];
        for (int i = 0; i < clients.length; i++) {
            clients[i] = connect(listener);
            send(clients[i], UP);
            assertThat(clients[i].getInputStream().readNBytes(12)).endsWith("503".getBytes(StandardCharsets.US_ASCII));
            while (clients[i].getInputStream().available() > 0) {
                clients[i].getInputStream().read();
            }
        }
        send(clients[1], QUERY.substring(0, 40));
        send(clients[2], QUERY);
        Map<String, ClientRequest> received = new TreeMap<>(Map.of("in flight", nextRequest()));
        runOnIoThread(() -> {});
        Socket[] newClient = new Socket[1];
        runOnIoThread(() -> {
            send(clients[0], QUERY.replace("Req-Id: a", "Req-Id: crossing"));
            newClient[0] = connect(listener);
            send(newClient[0], QUERY.replace("Req-Id: a", "Req-Id: new"));
            listener.beginShutdown();
        });
        assertThat(readToEnd(clients[3])).as("the idle connection").isEmpty();
        send(clients[1], QUERY.substring(40));
        for (int i = 0; i < 3; i++) {
            ClientRequest next = nextRequest();
            received.put(next.id, next);
        }
        assertThat(received.keySet()).containsExactly("a", "crossing", "in flight", "new");
        runOnIoThread(() -> {
            send(clients[2], QUERY.replace("Req-Id: a", "Req-Id: behind"));
            received.values().forEach(request -> request.respond(ClientResponse.failure()));
        });
        for (Socket client : List.of(clients[0], clients[1], clients[2], newClient[0])) {
            assertThat(readToEnd(client)).isEqualTo("HTTP/1.1 500 Internal Server Error failed\n");
            client.close();
        }
        assertThat(queries)
                .as("requests read on a connection that cannot carry their responses")
                .isEmpty();
        clients[3].close();
        for (boolean stopped = false; !stopped; ) {
            CompletableFuture<Boolean> result = new CompletableFuture<>();
            runOnIoThread(() -> result.complete(listener.stopIfDisconnected()));
            stopped = result.get();
        }
    }

    /**
     * Guards against answers after the client's time: the time of a pipelined request counted from the response to the
     * one before it.
     */
    @Test
    void theTimeOfAPipelinedRequestCountsFromItsArrival() throws Exception {
        ClientListener listener = startListener();
        Socket client = connect(listener);
        String expiring = QUERY.replace("Req-Id: a", "Req-Id: expired").replace("Req-Deadline: 4", "Req-Deadline: 0.1");
        send(client, QUERY + expiring + QUERY.replace("Req-Id: a", "Req-Id: last"));
        ClientRequest first = nextRequest();
        TimeUnit.MILLISECONDS.sleep(150);
        fail(first);
        ClientRequest last = nextRequest();
        assertThat(last.id)
                .as("the request after the expired one, which is rejected at once")
                .isEqualTo("last");
        assertThat(last.arrivedMs - first.arrivedMs)
                .as("ms between the arrivals")
                .isLessThan(100);
        runOnIoThread(() -> {
            listener.beginShutdown();
            last.respond(ClientResponse.failure());
        });
        String responses = readAllToEnd(client);
        assertThat(responses).containsSubsequence("HTTP/1.1 500 ", "HTTP/1.1 503 ", "HTTP/1.1 500 ");
        client.close();
    }

    /** A query that takes so many bytes. */
    private static String createQuery(int bytes) {
        String text = "x".repeat(bytes - QUERY.length() - "    ".length());
        String body = BODY.replace("\"t\"}", "\"t" + text + "\"}");
        String query = QUERY.replace(BODY, body).replace("Length: " + BODY.length(), "Length: " + body.length());
        return query.replace("Host: x", "Host: x" + "x".repeat(bytes - query.length()));
    }

    /**
     * Guards against the rejection of a request on an idle connection on which bytes were left in the socket before: it
     * would seem to have arrived then.
     */
    @Test
    void aRequestAfterALongPipelineCountsFromItsOwnArrival() throws Exception {
        ClientListener listener = startListener();
        Socket client = connect(listener);
        send(client, QUERY);
        ClientRequest request = nextRequest();
        String pipelined = createQuery(60_000).repeat(4) + createQuery(22_145);
        // So many bytes fill the buffer; what fits into the buffer for one read then stays in the socket.
        int unreadBytes = 8192;
        send(client, pipelined.substring(0, pipelined.length() - unreadBytes));
        TimeUnit.MILLISECONDS.sleep(100);
        send(client, pipelined.substring(pipelined.length() - unreadBytes));
        for (int i = 0; i < 5; i++) {
            TimeUnit.MILLISECONDS.sleep(50);
            fail(request);
            request = nextRequest();
        }
        fail(request);
        double pipelineArrivedMs = request.arrivedMs;
        TimeUnit.MILLISECONDS.sleep(150);
        send(client, QUERY);
        ClientRequest next = nextRequest();
        assertThat(next.arrivedMs - pipelineArrivedMs)
                .as("ms between the arrivals")
                .isGreaterThan(100);
        fail(next);
        client.close();
    }

    /** Guards against work for a client that may have left behind more requests than can be read. */
    @Test
    void aRequestIsGivenUpWhenItsClientSendsMoreThanIsBuffered() throws Exception {
        ClientListener listener = startListener();
        Socket client = connect(listener);
        send(client, QUERY);
        ClientRequest first = nextRequest();
        int pipelined = 60;
        CompletableFuture<Void> sent = CompletableFuture.runAsync(() -> {
            try {
                for (int i = 0; i < pipelined; i++) {
                    send(client, createQuery(60_000));
                }
            } catch (IOException e) {
                throw new java.io.UncheckedIOException(e);
            }
        });
        client.setSoTimeout(20_000);
        assertThat(client.getInputStream().readNBytes(12)).endsWith("500".getBytes(StandardCharsets.US_ASCII));
        assertThat(first.isClientWaiting()).isFalse();
        assertThat(listener.counters().toString()).contains("GIVEN_UP=1");
        StringBuilder responses = new StringBuilder();
        byte[] buffer = new byte[8192];
        while (responses.toString().split("HTTP/1.1 ", -1).length <= pipelined) {
            for (ClientRequest next = queries.poll(); next != null; next = queries.poll()) {
                fail(next);
            }
            int available = Math.min(buffer.length, client.getInputStream().available());
            int count = client.getInputStream().read(buffer, 0, available);
            responses.append(new String(buffer, 0, count, StandardCharsets.US_ASCII));
        }
        assertThat(responses).as("rejected without an attempt").contains("HTTP/1.1 503 ");
        sent.get(20, TimeUnit.SECONDS);
        client.close();
    }

    /** Guards against the loss of requests that were read behind another one before the shutdown. */
    @Test
    void pipelinedRequestsReadBeforeTheShutdownAreAnswered() throws Exception {
        ClientListener listener = startListener();
        Socket client = connect(listener);
        send(client, QUERY + QUERY + QUERY);
        ClientRequest first = nextRequest();
        runOnIoThread(() -> {
            listener.beginShutdown();
            first.respond(ClientResponse.failure());
        });
        for (int i = 0; i < 2; i++) {
            ClientRequest next = nextRequest();
            fail(next);
        }
        String responses = readAllToEnd(client);
        assertThat(responses.split("HTTP/1.1 500 ", -1)).as("three responses").hasSize(4);
        client.close();
    }

    @Test
    void aConnectionClosesAfterAResponseThatIsBeingWrittenAtTheShutdown() throws Exception {
        ClientListener listener = startListener();
        Socket client = new Socket();
        client.setReceiveBufferSize(2048);
        client.connect(listener.address());
        send(client, QUERY);
        ClientRequest inFlight = nextRequest();
        byte[] value = new byte[16_000_000];
        Arrays.fill(value, (byte) 'v');
        runOnIoThread(() -> {
            inFlight.respond(ClientResponse.success(true, List.of(new ClientResponse.Value(0, value))));
            listener.beginShutdown();
        });
        assertThat(readToEnd(client)).hasSizeGreaterThan(value.length);
        client.close();
    }

    /**
     * After a pause of the process, the rest of a request may be unread in the socket while its timeout has expired.
     */
    @Test
    void bytesReceivedDuringAPauseAreReadBeforeTheTimeoutCloses() throws Exception {
        ClientListener listener = startListener();
        int[] cuts = {0, 60, QUERY.length() - 5};
        Socket[] clients = new Socket[cuts.length];
        for (int i = 0; i < cuts.length; i++) {
            clients[i] = connect(listener);
            send(clients[i], QUERY.substring(0, cuts[i]));
        }
        while (listener.connectionCount() < cuts.length) {
            runOnIoThread(() -> {});
        }
        runOnIoThread(() -> {
            for (int i = 0; i < cuts.length; i++) {
                send(clients[i], QUERY.substring(cuts[i]));
            }
            for (long untilNs = System.nanoTime() + 2_100_000_000L; System.nanoTime() < untilNs; ) {
                Thread.onSpinWait();
            }
        });
        for (int i = 0; i < cuts.length; i++) {
            nextRequest();
        }
        for (Socket client : clients) {
            client.close();
        }
    }

    /** On a fraction of a core the I/O thread is delayed, and cannot evict while other threads accept connections. */
    @Test
    void aBurstOfConnectionsStaysWithinTheDescriptorLimitWhileTheIoThreadIsBusy() throws Exception {
        ClientListener listener = createListener(16);
        CountDownLatch accepting = new CountDownLatch(1);
        CountDownLatch unblock = new CountDownLatch(1);
        worker.getIoThread().execute(() -> {
            listener.startAccepting();
            accepting.countDown();
            try {
                unblock.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        accepting.await();
        int initialDescriptors = countOpenDescriptors();
        List<Socket> clients = new ArrayList<>();
        for (int i = 0; i < 200; i++) {
            clients.add(connect(listener));
        }
        for (int check = 0; check < 50; check++) {
            assertThat(countOpenDescriptors() - initialDescriptors - clients.size())
                    .as("connections accepted")
                    .isLessThanOrEqualTo(24);
            TimeUnit.MILLISECONDS.sleep(10);
        }
        unblock.countDown();
        // The listener evicts the oldest connections without a request first, and so makes room for the waiting ones.
        assertThat(clients.get(0).getInputStream().read()).isEqualTo(-1);
        assertThat(clients.get(150).getInputStream().read()).isEqualTo(-1);
        for (Socket socket : clients) {
            socket.close();
        }
        worker.getIoThread().execute(listener::close);
    }
}
