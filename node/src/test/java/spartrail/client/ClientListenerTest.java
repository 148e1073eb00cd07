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
    private static int openDescriptors() {
        String[] open = new File("/proc/self/fd").list();
        return open == null ? 0 : open.length;
    }

    private final XnioWorker worker = Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1));
    private final BlockingQueue<ClientRequest> queries = new LinkedBlockingQueue<>();

    ClientListenerTest() throws IOException {}

    @AfterEach
    void close() {
        worker.shutdown();
    }

    private ClientListener listen(int mostConnections) throws IOException {
        return new ClientListener(
                worker,
                new DefaultByteBufferPool(true, 1024),
                new InetSocketAddress("127.0.0.1", 0),
                new NodeClock(),
                Set.of("orders"),
                4,
                mostConnections,
                new ClientQueryListener() {
                    @Override
                    public void onQuery(ClientQuery ask, ClientRequest request) {
                        queries.add(request);
                    }

                    @Override
                    public void onClientGone(ClientRequest request) {}
                });
    }

    private interface Step {
        void run() throws Exception;
    }

    private void io(Step step) throws Exception {
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

    /** The next request that the door has taken; none is a failure, not a wait without end. */
    private ClientRequest nextRequest() throws InterruptedException {
        ClientRequest next = queries.poll(20, TimeUnit.SECONDS);
        assertThat(next).as("a request taken").isNotNull();
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

    /** All that comes on this connection up to its end; a reset is an exception. */
    private static String readToEnd(Socket socket) throws IOException {
        socket.setSoTimeout(20_000);
        return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII)
                .replaceAll("(?s)\r\n.*\r\n\r\n", " ");
    }

    /**
     * What clients see of a door that shuts with the I/O thread paused: on a resting connection, on one that has just been written
     * to, on one with half of a head read, on a new one, and on one in hand whose client has sent its next request.
     */
    @Test
    void requestsThatCrossTheShutdownAreAnsweredOrEndWithoutAReset() throws Exception {
        ClientListener listener = listen(16);
        io(listener::startAccepting);
        Socket[] clients = new Socket[4];
        for (int i = 0; i < clients.length; i++) {
            clients[i] = new Socket(
                    listener.address().getAddress(), listener.address().getPort());
            send(clients[i], UP);
            assertThat(clients[i].getInputStream().readNBytes(12)).endsWith("503".getBytes(StandardCharsets.US_ASCII));
            while (clients[i].getInputStream().available() > 0) {
                clients[i].getInputStream().read();
            }
        }
        send(clients[1], QUERY.substring(0, 40));
        send(clients[2], QUERY);
        Map<String, ClientRequest> taken = new TreeMap<>(Map.of("in hand", nextRequest()));
        io(() -> {});
        Socket[] late = new Socket[1];
        io(() -> {
            send(clients[0], QUERY.replace("Req-Id: a", "Req-Id: crossing"));
            late[0] = new Socket(
                    listener.address().getAddress(), listener.address().getPort());
            send(late[0], QUERY.replace("Req-Id: a", "Req-Id: new"));
            listener.beginShutdown();
        });
        assertThat(readToEnd(clients[3])).as("resting").isEmpty();
        send(clients[1], QUERY.substring(40));
        for (int i = 0; i < 3; i++) {
            ClientRequest next = nextRequest();
            taken.put(next.id, next);
        }
        assertThat(taken.keySet()).containsExactly("a", "crossing", "in hand", "new");
        io(() -> {
            send(clients[2], QUERY.replace("Req-Id: a", "Req-Id: behind"));
            taken.values().forEach(request -> request.respond(ClientResponse.failure()));
        });
        for (Socket client : List.of(clients[0], clients[1], clients[2], late[0])) {
            assertThat(readToEnd(client)).isEqualTo("HTTP/1.1 500 Internal Server Error failed\n");
            client.close();
        }
        assertThat(queries)
                .as("read on a connection that could not carry an answer")
                .isEmpty();
        clients[3].close();
        for (boolean ended = false; !ended; ) {
            CompletableFuture<Boolean> seen = new CompletableFuture<>();
            io(() -> seen.complete(listener.stopIfDisconnected()));
            ended = seen.get();
        }
    }

    @Test
    void aResponseInProgressAtTheShutdownIsTheLastOfItsConnection() throws Exception {
        ClientListener listener = listen(16);
        io(listener::startAccepting);
        Socket client = new Socket();
        client.setReceiveBufferSize(2048);
        client.connect(listener.address());
        send(client, QUERY);
        ClientRequest inFlight = nextRequest();
        byte[] value = new byte[16_000_000];
        Arrays.fill(value, (byte) 'v');
        io(() -> {
            inFlight.respond(ClientResponse.success(true, List.of(new ClientResponse.Value(0, value))));
            listener.beginShutdown();
        });
        assertThat(readToEnd(client)).hasSizeGreaterThan(value.length);
        client.close();
    }

    /** A paused process finds the rest of a request in the socket, and its own time for it over. */
    @Test
    void bytesThatCameDuringAPauseAreReadBeforeTheirTimeout() throws Exception {
        ClientListener listener = listen(16);
        io(listener::startAccepting);
        int[] cuts = {0, 60, QUERY.length() - 5};
        Socket[] clients = new Socket[cuts.length];
        for (int i = 0; i < cuts.length; i++) {
            clients[i] = new Socket(
                    listener.address().getAddress(), listener.address().getPort());
            send(clients[i], QUERY.substring(0, cuts[i]));
        }
        while (listener.connectionCount() < cuts.length) {
            io(() -> {});
        }
        io(() -> {
            for (int i = 0; i < cuts.length; i++) {
                send(clients[i], QUERY.substring(cuts[i]));
            }
            for (long untilNs = System.nanoTime() + 2_100_000_000L; System.nanoTime() < untilNs; ) {
                Thread.onSpinWait();
            }
        });
        for (int i = 0; i < cuts.length; i++) {
            nextRequest();
            clients[i].close();
        }
    }

    /** With part of a core the I/O thread is late, and nobody evicts whom the other threads accept. */
    @Test
    void aBurstOfConnectionsStaysWithinItsDescriptorsWhileTheNodeIsBusy() throws Exception {
        ClientListener listener = listen(16);
        CountDownLatch open = new CountDownLatch(1);
        CountDownLatch free = new CountDownLatch(1);
        worker.getIoThread().execute(() -> {
            listener.startAccepting();
            open.countDown();
            try {
                free.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        open.await();
        int before = openDescriptors();
        List<Socket> crowd = new ArrayList<>();
        for (int i = 0; i < 200; i++) {
            crowd.add(new Socket(
                    listener.address().getAddress(), listener.address().getPort()));
        }
        for (int looks = 0; looks < 50; looks++) {
            assertThat(openDescriptors() - before - crowd.size())
                    .as("connections accepted")
                    .isLessThanOrEqualTo(24);
            TimeUnit.MILLISECONDS.sleep(10);
        }
        free.countDown();
        // Those that wait are accepted as room is made, the oldest that say nothing first.
        assertThat(crowd.get(0).getInputStream().read()).isEqualTo(-1);
        assertThat(crowd.get(150).getInputStream().read()).isEqualTo(-1);
        for (Socket socket : crowd) {
            socket.close();
        }
        worker.getIoThread().execute(listener::close);
    }
}
