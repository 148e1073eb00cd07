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
    private static final String LINE = "{\"uid\":\"%s\",\"endpoint\":\"127.0.0.1:9\",\"az\":\"a\",\"model\":\"m\","
            + "\"pod_group\":1,\"state\":\"%s\",\"capacity_hint\":1.0,\"boot_ms\":0}";

    private static String list(long version, boolean all, String... lines) {
        return "{\"rev\":" + version + ",\"all\":" + all + ",\"targets\":[" + String.join(",", lines) + "]}";
    }

    private final BlockingQueue<String> seen = new LinkedBlockingQueue<>();
    private final List<HttpServer> servers = new ArrayList<>();
    private XnioWorker worker;
    private DiscoveryClient client;
    /** Whether time passes only as the test says. */
    private boolean isTimeManual;

    private ManualTimers timers;

    /** Discovery that gives these answers, one to a call, and is silent from then on. */
    private HttpServer discovery(String name, String... texts) throws IOException {
        Queue<String> answers = new ConcurrentLinkedQueue<>(List.of(texts));
        HttpServer server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 0);
        server.createContext("/", exchange -> {
            seen.add(name + "GET " + exchange.getRequestURI());
            String answer = answers.poll();
            if (answer == null) {
                return;
            }
            byte[] body = answer.getBytes(StandardCharsets.UTF_8);
            exchange.sendResponseHeaders(answer.equals("500") ? 500 : 200, body.length);
            exchange.getResponseBody().write(body);
            exchange.close();
        });
        server.start();
        servers.add(server);
        return server;
    }

    /** Connections on which discovery has stopped half-way. */
    private final Queue<Socket> silent = new ConcurrentLinkedQueue<>();

    private void watch(HttpServer server) throws IOException {
        watch(server.getAddress());
    }

    private void watch(InetSocketAddress address) throws IOException {
        watch(address, false);
    }

    private void watch(InetSocketAddress address, boolean onRequest) throws IOException {
        worker = Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1));
        timers = new ManualTimers(worker.getIoThread());
        client = new DiscoveryClient(
                worker.getIoThread(),
                isTimeManual ? timers : IoTimers.of(worker.getIoThread()),
                new DefaultByteBufferPool(true, 1024),
                address,
                onRequest,
                new DiscoveryClient.Listener() {
                    @Override
                    public void onEndpointUpdate(EndpointList list) {
                        StringBuilder told =
                                new StringBuilder(list.version() + (list.isComplete() ? " all" : " changes"));
                        list.endpoints().forEach(line -> told.append(' ')
                                .append(line.id())
                                .append('=')
                                .append(line.state()));
                        seen.add(told.toString());
                    }

                    @Override
                    public void onDiscoveryUnavailable() {
                        seen.add("not to be had");
                    }
                });
        worker.getIoThread().execute(client::start);
    }

    private String trace(int lines) throws InterruptedException {
        StringBuilder trace = new StringBuilder();
        for (int i = 0; i < lines; i++) {
            trace.append(seen.poll(20, TimeUnit.SECONDS)).append('\n');
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
    void changesArriveInOrderAndEveryFailureIsReportedAsUnavailable() throws Exception {
        watch(discovery(
                "",
                list(41, true, LINE.formatted("s-1", "SERVING"), LINE.formatted("s-2", "SERVING")),
                list(42, false),
                "no JSON",
                "{\"rev\":7}",
                list(40, true, LINE.formatted("s-old", "SERVING")),
                list(43, false, LINE.formatted("s-1", "DRAINING"), LINE.formatted("s-2", "DELETED")),
                "500",
                list(44, true, LINE.formatted("s-3", "SERVING"))));
        assertThat(trace(14))
                .isEqualTo(
                        """
                GET /discovery/hosts
                41 all s-1=LIVE s-2=LIVE
                GET /discovery/hosts?since=41&timeout_ms=4000
                GET /discovery/hosts?since=42&timeout_ms=4000
                not to be had
                GET /discovery/hosts?since=42&timeout_ms=50
                not to be had
                GET /discovery/hosts?since=42&timeout_ms=50
                GET /discovery/hosts?since=42&timeout_ms=4000
                43 changes s-1=DRAINING s-2=GONE
                GET /discovery/hosts?since=43&timeout_ms=4000
                not to be had
                GET /discovery/hosts?since=43&timeout_ms=50
                44 all s-3=LIVE
                """);
    }

    @Test
    void aSilentLongPollIsFollowedByShortPollsBeforeItsChangesMustBeKnown() throws Exception {
        isTimeManual = true;
        watch(discovery("", list(41, true, LINE.formatted("s-1", "SERVING"))));
        assertThat(trace(3)).endsWith("GET /discovery/hosts?since=41&timeout_ms=4000\n");
        timers.advance(4601);
        assertThat(seen).isEmpty();
        timers.advance(1);
        assertThat(trace(2)).isEqualTo("not to be had\nGET /discovery/hosts?since=41&timeout_ms=50\n");
        timers.advance(651);
        assertThat(seen).isEmpty();
        timers.advance(1);
        assertThat(trace(1)).isEqualTo("not to be had\n");
        timers.advance(200);
        assertThat(trace(1)).isEqualTo("GET /discovery/hosts?since=41&timeout_ms=50\n");
        assertThat(timers.nanoTime()).as("before the news count as told").isLessThan(6_000_000_000L);
    }

    @Test
    void onRequestAPollAfterAFailedOneIsShort() throws Exception {
        watch(
                discovery(
                                "",
                                list(41, true, LINE.formatted("s-1", "SERVING")),
                                "500",
                                list(42, false),
                                list(43, false, LINE.formatted("s-1", "DRAINING")))
                        .getAddress(),
                true);
        assertThat(trace(4)).endsWith("GET /discovery/hosts?since=41&timeout_ms=4000\nnot to be had\n");
        worker.getIoThread().execute(client::start);
        assertThat(trace(3))
                .isEqualTo(
                        """
                GET /discovery/hosts?since=41&timeout_ms=50
                GET /discovery/hosts?since=42&timeout_ms=4000
                43 changes s-1=DRAINING
                """);
    }

    /** Until discovery has stopped half-way on so many connections. */
    private void awaitSilent(int connections) throws InterruptedException {
        for (int tries = 0; silent.size() < connections && tries < 20_000; tries++) {
            TimeUnit.MILLISECONDS.sleep(1);
        }
        assertThat(silent).hasSize(connections);
    }

    private enum End {
        RESET,
        END,
        SILENCE
    }

    /** Discovery that writes these bytes to a call, so many at a time, and then ends the connection, resets it or says no more. */
    private void raw(String bytes, int step, End end) throws IOException {
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
                        silent.add(socket);
                        continue;
                    }
                    socket.setSoLinger(end == End.RESET, 0);
                    socket.close();
                }
            } catch (IOException e) {
                seen.add(String.valueOf(e));
            }
        });
        thread.setDaemon(true);
        thread.start();
        watch((InetSocketAddress) listening.getLocalSocketAddress());
    }

    @Test
    void aBodyWithoutLengthIsCompleteAtTheEndOfItsStreamAndAResetIsAFailure() throws Exception {
        String list = list(41, true, LINE.formatted("s-1", "SERVING")).replace(",", ",\n   ");
        raw("HTTP/1.1 200 OK\r\n\r\n" + list, 4096, End.RESET);
        assertThat(trace(1)).isEqualTo("not to be had\n");
        close();
        seen.clear();
        raw("HTTP/1.1 200 OK\r\n\r\n" + list, 1, End.END);
        assertThat(trace(1)).isEqualTo("41 all s-1=LIVE\n");
    }

    @Test
    void aBodyThatStallsIsGivenUpAndAskedForAgain() throws Exception {
        isTimeManual = true;
        raw(
                "HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n" + list(41, true, LINE.formatted("s-1", "SERVING")),
                4096,
                End.SILENCE);
        awaitSilent(1);
        timers.advance(602);
        assertThat(trace(1)).isEqualTo("not to be had\n");
        awaitSilent(2);
        timers.advance(602);
        assertThat(trace(1)).isEqualTo("not to be had\n");
        assertThat(silent).as("connections, each for one call").hasSizeGreaterThan(1);
    }

    @Test
    void aClientThatMovesAsksForTheCompleteListAndWaitsForNothingAtTheOldAddress() throws Exception {
        HttpServer second = discovery("2nd ", list(43, true, LINE.formatted("s-1", "DRAINING")));
        HttpServer third = discovery(
                "3rd ",
                list(7, true, LINE.formatted("s-9", "SERVING")),
                list(6, true, LINE.formatted("s-old", "SERVING")));
        watch(discovery("", list(41, true, LINE.formatted("s-1", "SERVING"))));
        assertThat(trace(3)).endsWith("GET /discovery/hosts?since=41&timeout_ms=4000\n");
        worker.getIoThread().execute(() -> {
            client.moveTo(second.getAddress());
            client.moveTo(second.getAddress());
        });
        assertThat(trace(3))
                .isEqualTo(
                        """
                2nd GET /discovery/hosts
                43 all s-1=DRAINING
                2nd GET /discovery/hosts?since=43&timeout_ms=4000
                """);
        worker.getIoThread().execute(() -> client.moveTo(third.getAddress()));
        assertThat(trace(4))
                .isEqualTo(
                        """
                3rd GET /discovery/hosts
                7 all s-9=LIVE
                3rd GET /discovery/hosts?since=7&timeout_ms=4000
                3rd GET /discovery/hosts?since=7&timeout_ms=4000
                """);
    }
}
