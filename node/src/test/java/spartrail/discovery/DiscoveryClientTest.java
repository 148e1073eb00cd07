package spartrail.discovery;

import static org.assertj.core.api.Assertions.assertThat;

import com.sun.net.httpserver.HttpServer;
import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;
import spartrail.endpoint.EndpointList;

class DiscoveryClientTest {
    private static final String ENTRY = "{\"uid\":\"%s\",\"endpoint\":\"127.0.0.1:9\",\"az\":\"a\",\"model\":\"m\","
            + "\"pod_group\":1,\"state\":\"%s\",\"capacity_hint\":1.0,\"boot_ms\":0}";

    private static String listJson(long version, boolean isComplete, String... entries) {
        return "{\"rev\":" + version + ",\"all\":" + isComplete + ",\"targets\":[" + String.join(",", entries) + "]}";
    }

    private final BlockingQueue<String> events = new LinkedBlockingQueue<>();
    private final List<HttpServer> servers = new ArrayList<>();
    private XnioWorker worker;
    private DiscoveryClient client;
    /** Whether the test controls the time. */
    private boolean isTimeManual;

    private ManualTimers timers;

    /** Starts discovery that sends one of these responses per request, and none to further requests. */
    private HttpServer startDiscovery(String name, String... texts) throws IOException {
        Queue<String> responses = new ConcurrentLinkedQueue<>(List.of(texts));
        HttpServer server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 0);
        server.createContext("/", exchange -> {
            events.add(name + "GET " + exchange.getRequestURI());
            String response = responses.poll();
            if (response == null) {
                return;
            }
            byte[] body = response.getBytes(StandardCharsets.UTF_8);
            exchange.sendResponseHeaders(response.equals("500") ? 500 : 200, body.length);
            exchange.getResponseBody().write(body);
            exchange.close();
        });
        server.start();
        servers.add(server);
        return server;
    }

    /** Connections on which discovery has stopped in the middle of a response. */
    private final Queue<Socket> silentConnections = new ConcurrentLinkedQueue<>();

    private void startClient(HttpServer server) throws IOException {
        startClient(server.getAddress());
    }

    private void startClient(InetSocketAddress address) throws IOException {
        startClient(address, false);
    }

    private void startClient(InetSocketAddress address, boolean isOnDemand) throws IOException {
        worker = Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1));
        timers = new ManualTimers(worker.getIoThread());
        client = new DiscoveryClient(
                worker.getIoThread(),
                isTimeManual ? timers : IoTimers.of(worker.getIoThread()),
                new DefaultByteBufferPool(true, 1024),
                address,
                isOnDemand,
                new DiscoveryClient.Listener() {
                    @Override
                    public void onEndpointUpdate(EndpointList list) {
                        StringBuilder text =
                                new StringBuilder(list.version() + (list.isComplete() ? " all" : " changes"));
                        list.endpoints().forEach(endpoint -> text.append(' ')
                                .append(endpoint.id())
                                .append('=')
                                .append(endpoint.state()));
                        events.add(text.toString());
                    }

                    @Override
                    public void onDiscoveryUnavailable() {
                        events.add("unavailable");
                    }
                });
        worker.getIoThread().execute(client::start);
    }

    private String awaitEvents(int lines) throws InterruptedException {
        StringBuilder trace = new StringBuilder();
        for (int i = 0; i < lines; i++) {
            trace.append(events.poll(20, TimeUnit.SECONDS)).append('\n');
        }
        return trace.toString();
    }

    @AfterEach
    void close() throws InterruptedException {
        CountDownLatch closed = new CountDownLatch(1);
        worker.getIoThread().execute(() -> {
            client.close();
            closed.countDown();
        });
        closed.await();
        worker.shutdown();
        servers.forEach(server -> server.stop(0));
    }

    @Test
    void changesArriveInOrderAndEachFailureIsReportedAsUnavailable() throws Exception {
        startClient(startDiscovery(
                "",
                listJson(41, true, ENTRY.formatted("s-1", "SERVING"), ENTRY.formatted("s-2", "SERVING")),
                listJson(42, false),
                "no JSON",
                "{\"rev\":7}",
                listJson(40, true, ENTRY.formatted("s-old", "SERVING")),
                listJson(43, false, ENTRY.formatted("s-1", "DRAINING"), ENTRY.formatted("s-2", "DELETED")),
                "500",
                listJson(44, true, ENTRY.formatted("s-3", "SERVING"))));
        assertThat(awaitEvents(14))
                .isEqualTo(
                        """
                GET /discovery/hosts
                41 all s-1=LIVE s-2=LIVE
                GET /discovery/hosts?since=41&timeout_ms=4000
                GET /discovery/hosts?since=42&timeout_ms=4000
                unavailable
                GET /discovery/hosts?since=42&timeout_ms=50
                unavailable
                GET /discovery/hosts?since=42&timeout_ms=50
                GET /discovery/hosts?since=42&timeout_ms=4000
                43 changes s-1=DRAINING s-2=GONE
                GET /discovery/hosts?since=43&timeout_ms=4000
                unavailable
                GET /discovery/hosts?since=43&timeout_ms=50
                44 all s-3=LIVE
                """);
    }

    @Test
    void aLongPollWithoutResponseIsFollowedByShortPollsInTime() throws Exception {
        isTimeManual = true;
        startClient(startDiscovery("", listJson(41, true, ENTRY.formatted("s-1", "SERVING"))));
        assertThat(awaitEvents(3)).endsWith("GET /discovery/hosts?since=41&timeout_ms=4000\n");
        timers.advance(4601);
        assertThat(events).isEmpty();
        timers.advance(1);
        assertThat(awaitEvents(2)).isEqualTo("unavailable\nGET /discovery/hosts?since=41&timeout_ms=50\n");
        timers.advance(651);
        assertThat(events).isEmpty();
        timers.advance(1);
        assertThat(awaitEvents(1)).isEqualTo("unavailable\n");
        timers.advance(200);
        assertThat(awaitEvents(1)).isEqualTo("GET /discovery/hosts?since=41&timeout_ms=50\n");
        assertThat(timers.nanoTime())
                .as("time before the changes must be known")
                .isLessThan(6_000_000_000L);
    }

    @Test
    void onDemandAPollAfterAFailedOneIsShort() throws Exception {
        startClient(
                startDiscovery(
                                "",
                                listJson(41, true, ENTRY.formatted("s-1", "SERVING")),
                                "500",
                                listJson(42, false),
                                listJson(43, false, ENTRY.formatted("s-1", "DRAINING")))
                        .getAddress(),
                true);
        assertThat(awaitEvents(4)).endsWith("GET /discovery/hosts?since=41&timeout_ms=4000\nunavailable\n");
        worker.getIoThread().execute(client::start);
        assertThat(awaitEvents(3))
                .isEqualTo(
                        """
                GET /discovery/hosts?since=41&timeout_ms=50
                GET /discovery/hosts?since=42&timeout_ms=4000
                43 changes s-1=DRAINING
                """);
    }

    /** Waits until discovery has stopped in the middle of a response on this number of connections. */
    private void awaitSilentConnections(int connections) throws InterruptedException {
        for (int tries = 0; silentConnections.size() < connections && tries < 20_000; tries++) {
            TimeUnit.MILLISECONDS.sleep(1);
        }
        assertThat(silentConnections).hasSize(connections);
    }

    private enum End {
        RESET,
        END,
        SILENCE
    }

    /**
     * Starts discovery that writes these bytes to each request, {@code step} at a time, and then ends or resets the
     * connection or stays silent.
     */
    private void startRawDiscovery(String bytes, int step, End end) throws IOException {
        ServerSocket listening = new ServerSocket(0, 8, InetAddress.getByName("127.0.0.1"));
        Thread thread = new Thread(() -> {
            try (listening) {
                while (true) {
                    Socket socket = listening.accept();
                    socket.setTcpNoDelay(true);
                    socket.getInputStream().read(new byte[1024]);
                    for (int at = 0; at < bytes.length(); at += step) {
                        socket.getOutputStream()
                                .write(bytes.substring(at, Math.min(bytes.length(), at + step))
                                        .getBytes(StandardCharsets.US_ASCII));
                    }
                    if (end == End.SILENCE) {
                        silentConnections.add(socket);
                        continue;
                    }
                    socket.setSoLinger(end == End.RESET, 0);
                    socket.close();
                }
            } catch (IOException e) {
                events.add(String.valueOf(e));
            }
        });
        thread.setDaemon(true);
        thread.start();
        startClient((InetSocketAddress) listening.getLocalSocketAddress());
    }

    @Test
    void aBodyWithoutLengthEndsWithItsStreamAndAResetIsAFailure() throws Exception {
        String list = listJson(41, true, ENTRY.formatted("s-1", "SERVING")).replace(",", ",\n   ");
        startRawDiscovery("HTTP/1.1 200 OK\r\n\r\n" + list, 4096, End.RESET);
        assertThat(awaitEvents(1)).isEqualTo("unavailable\n");
        close();
        events.clear();
        startRawDiscovery("HTTP/1.1 200 OK\r\n\r\n" + list, 1, End.END);
        assertThat(awaitEvents(1)).isEqualTo("41 all s-1=LIVE\n");
    }

    @Test
    void aBodyThatStallsTimesOutAndIsRequestedAgain() throws Exception {
        isTimeManual = true;
        startRawDiscovery(
                "HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n"
                        + listJson(41, true, ENTRY.formatted("s-1", "SERVING")),
                4096,
                End.SILENCE);
        awaitSilentConnections(1);
        timers.advance(602);
        assertThat(awaitEvents(1)).isEqualTo("unavailable\n");
        awaitSilentConnections(2);
        timers.advance(602);
        assertThat(awaitEvents(1)).isEqualTo("unavailable\n");
        assertThat(silentConnections).as("connections, one per request").hasSizeGreaterThan(1);
    }

    @Test
    void aClientThatMovesRequestsTheCompleteListAtOnce() throws Exception {
        HttpServer second = startDiscovery("2nd ", listJson(43, true, ENTRY.formatted("s-1", "DRAINING")));
        HttpServer third = startDiscovery(
                "3rd ",
                listJson(7, true, ENTRY.formatted("s-9", "SERVING")),
                listJson(6, true, ENTRY.formatted("s-old", "SERVING")));
        startClient(startDiscovery("", listJson(41, true, ENTRY.formatted("s-1", "SERVING"))));
        assertThat(awaitEvents(3)).endsWith("GET /discovery/hosts?since=41&timeout_ms=4000\n");
        worker.getIoThread().execute(() -> {
            client.moveTo(second.getAddress());
            client.moveTo(second.getAddress());
        });
        assertThat(awaitEvents(3))
                .isEqualTo(
                        """
                2nd GET /discovery/hosts
                43 all s-1=DRAINING
                2nd GET /discovery/hosts?since=43&timeout_ms=4000
                """);
        worker.getIoThread().execute(() -> client.moveTo(third.getAddress()));
        assertThat(awaitEvents(4))
                .isEqualTo(
                        """
                3rd GET /discovery/hosts
                7 all s-9=LIVE
                3rd GET /discovery/hosts?since=7&timeout_ms=4000
                3rd GET /discovery/hosts?since=7&timeout_ms=4000
                """);
    }
}
