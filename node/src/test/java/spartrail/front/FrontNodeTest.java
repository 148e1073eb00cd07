package spartrail.front;

import static org.assertj.core.api.Assertions.assertThat;

import example.ToyFleet;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Proxy;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import spartrail.config.DeploymentFile;
import spartrail.coordination.Coordinator;
import spartrail.model.Decisions;
import spartrail.model.Multiget;
import spartrail.subset.SubsetSelector;

/** A whole node on the loopback, between raw clients and the toy fleet of the example. */
class FrontNodeTest {
    private static final String UP = "GET /up HTTP/1.1\r\nHost: x\r\n\r\n";

    private final ToyFleet fleet = new ToyFleet(4, 0, 0);
    private final BlockingQueue<String> seen = new LinkedBlockingQueue<>();
    private final List<Client> clients = new ArrayList<>();
    private UnaryOperator<Coordinator> wrapping = UnaryOperator.identity();
    private Map<String, Long> broken = Map.of();
    private volatile FrontNode node;

    FrontNodeTest() throws IOException {}

    /** The example's configuration on the ports of this fleet; each change is a text and what replaces it. */
    private void start(String... changes) throws IOException {
        DeploymentFile deployment = deployment(changes);
        node = new FrontNode(deployment, deployment.listen(), wrapping);
        node.start();
    }

    private DeploymentFile deployment(String... changes) throws IOException {
        String text = Files.readString(Path.of("example/config.json"))
                .replace("127.0.0.1:3000", "127.0.0.1:0")
                .replace("127.0.0.1:8500", fleet.discoveryEndpoint());
        for (int i = 0; i < 4; i++) {
            text = text.replace("127.0.0.1:" + (7001 + i), fleet.servers.get(i).endpoint());
        }
        for (int i = 0; i < changes.length; i += 2) {
            assertThat(text).contains(changes[i]);
            text = text.replace(changes[i], changes[i + 1]);
        }
        return DeploymentFile.parse(text);
    }

    @AfterEach
    void close() throws Exception {
        for (Client client : clients) {
            client.socket.close();
        }
        node.close();
        fleet.close();
        assertThat(node.invariants().violations()).isEqualTo(broken);
    }

    /** A raw client connection. */
    private final class Client {
        final Socket socket;
        final InputStream in;

        Client() throws IOException {
            InetSocketAddress address = node.address();
            socket = new Socket(address.getAddress(), address.getPort());
            socket.setSoTimeout(20_000);
            in = new BufferedInputStream(socket.getInputStream());
            clients.add(this);
        }

        Client send(String text) throws IOException {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
            return this;
        }

        Client ask(String id, int... shards) throws IOException {
            return send(request(id, "4", body(shards)));
        }

        /** Status, what matters of the head, and the body of the next answer; or that there is none. */
        String answer() throws IOException {
            StringBuilder head = new StringBuilder();
            try {
                while (head.indexOf("\r\n\r\n") < 0) {
                    int next = in.read();
                    if (next < 0) {
                        return "closed";
                    }
                    head.append((char) next);
                }
            } catch (java.net.SocketException e) {
                return "closed";
            }
            int length = Integer.parseInt(head.toString().replaceAll("(?s).*Content-Length: (\\d+).*", "$1"));
            String body = new String(in.readNBytes(length), StandardCharsets.UTF_8).strip();
            return head.substring(9, 12) + (head.indexOf("Connection: close") > 0 ? " close " : " ") + body;
        }
    }

    private static String body(int... shards) {
        StringBuilder body = new StringBuilder("{\"segments\":[");
        for (int shard : shards) {
            body.append("{\"segment\":")
                    .append(shard)
                    .append(",\"boost\":")
                    .append(1.0 / shards.length)
                    .append(",\"work\":9000,\"affinity\":\"00ff00ff00ff00ff\"},");
        }
        body.setCharAt(body.length() - 1, ']');
        return body.append(",\"text\":\"t\"}").toString();
    }

    private static String request(String id, String deadline, String body) {
        return "POST /orders/k HTTP/1.1\r\nHost: api.internal\r\nReq-Id: " + id
                + "\r\nReq-Kind: orders\r\nReq-Deadline: " + deadline + "\r\nContent-Length: "
                + body.getBytes(StandardCharsets.UTF_8).length + "\r\n\r\n" + body;
    }

    /** Servers that take parts and tell of them, and answer those whose id begins with one of these. */
    private void tell(String... answered) {
        fleet.servers.forEach(toy -> toy.manner = new ToyFleet.Manner() {
            @Override
            public void part(ToyFleet.Link link, String id, int shard, String text) throws IOException {
                seen.add("part " + id);
                if (List.of(answered).contains(id.substring(0, id.indexOf('.')))) {
                    link.answer(id, "OK", text);
                }
            }

            @Override
            public void givenUp(ToyFleet.Link link, String id) {
                seen.add("given up " + id);
            }
        });
    }

    private String next() throws InterruptedException {
        String next = seen.poll(20, TimeUnit.SECONDS);
        return next == null ? "nothing" : next;
    }

    @Test
    void servesOneAfterTheOtherOnAConnectionValuesAsTheServersGaveThem() throws Exception {
        start();
        Client client = new Client();
        fleet.servers.forEach(toy -> toy.manner = new ToyFleet.Manner() {
            @Override
            public void part(ToyFleet.Link link, String id, int shard, String text) throws IOException {
                link.answer(id, "OK", "\"é\n" + shard + text);
            }
        });
        assertThat(client.ask("a", 2, 0).answer())
                .isEqualTo("200 {\"all_in\":true,\"matches\":"
                        + "[{\"segment\":2,\"payload\":\"\\\"é\\n2t\"},{\"segment\":0,\"payload\":\"\\\"é\\n0t\"}]}");
        String body = body(1);
        String chunked =
                request("b", "0.9", body).replaceAll("(?s)Content-Length.*", "Transfer-Encoding: chunked\r\n\r\n")
                        + "5\r\n" + body.substring(0, 5) + "\r\n" + Integer.toHexString(body.length() - 5) + "\r\n"
                        + body.substring(5)
                        + "\r\n0\r\n\r\n";
        for (char each : chunked.toCharArray()) {
            client.send(String.valueOf(each));
        }
        assertThat(client.answer())
                .isEqualTo("200 {\"all_in\":true,\"matches\":[{\"segment\":1,\"payload\":\"\\\"é\\n1t\"}]}");
        client.send(request("c", "1", "")
                .replaceAll(
                        "(?s)Content-Length.*",
                        "Expect: 100-continue\r\nContent-Length: " + body.length() + "\r\n\r\n"));
        assertThat(new String(client.in.readNBytes(25), StandardCharsets.US_ASCII))
                .isEqualTo("HTTP/1.1 100 Continue\r\n\r\n");
        assertThat(client.send(body).answer()).startsWith("200 {\"all_in\":true");
        assertThat(client.send(UP).answer()).isEqualTo("200 ");
    }

    @Test
    void goesOnByOtherSettingsWithAllThatItHasInHandAndHasLearned() throws Exception {
        start();
        tell("b");
        Client inHand = new Client().ask("a", 0);
        assertThat(next()).isEqualTo("part a.0");
        tell("a", "b", "c");
        assertThat(node.reload(deployment(
                        "\"open-cap\": 187",
                        "\"open-cap\": 3",
                        "\"fall\": 1.0",
                        "\"fall\": 1.0, \"budget-window\": 0.1, \"min-extra\": 1, \"further-ratio\": 0.1")))
                .isEmpty();
        assertThat(new Client().ask("b", 1).answer()).startsWith("503");
        // Its copy leaves by the new budget, and what is in hand is answered.
        assertThat(inHand.answer()).startsWith("200 {\"all_in\":true");
        assertThat(new Client().ask("c", 1).answer()).startsWith("200 {\"all_in\":true");
        assertThat(node.reload(deployment("\"slabs\": 4", "\"slabs\": 5", "\"open-cap\": 187", "\"open-cap\": 1")))
                .isEqualTo("slabs: found 5, served 4");
        assertThat(new Client().ask("c", 1).answer()).startsWith("200 {\"all_in\":true");
        assertThat(node.switchesTaken()).isEqualTo(1);
    }

    @Test
    void aSwitchOfSettingsHoldsForConnectionsInUseAndForTheTimeBeforeTheKill() throws Exception {
        // By this it would be closed after five minutes, long after the test has failed.
        start("\"keepalive\": 30.0", "\"keepalive\": 600.0");
        fleet.servers.forEach(toy -> toy.manner = new ToyFleet.Manner() {
            @Override
            public void closed(ToyFleet.Link link) {
                seen.add("closed unused");
            }
        });
        assertThat(new Client().ask("a", 0).answer()).startsWith("200 ");
        assertThat(node.reload(deployment(
                        "\"keepalive\": 30.0",
                        "\"keepalive\": 0.4",
                        "\"aim\": 2.0, \"deadline\": 4.0",
                        "\"aim\": 0.2, \"deadline\": 0.3")))
                .isEmpty();
        assertThat(next()).isEqualTo("closed unused");
        long fromNs = System.nanoTime();
        node.drain();
        assertThat(System.nanoTime() - fromNs)
                .as("it is killed after 1 s, by the times before after 3.7 s")
                .isLessThan(2_000_000_000L);
    }

    @Test
    void whatIsNoRequestGetsOnePlainRefusalAndIsTheLastOfItsConnection() throws Exception {
        // Before the start, so that a rehearsal that reached servers would be seen.
        tell("a");
        start();
        String good = request("a", "1", body(0));
        StringBuilder told = new StringBuilder();
        for (String bad : List.of(
                request("a b", "1", body(0)),
                good.replace("Req-Kind", "Req-Id: b\r\nReq-Kind"),
                request("a", "soon", body(0)),
                request("a", "-1", body(0)),
                request("a", "1d", body(0)),
                request("a", "NaN", body(0)),
                request("a", "1", "{"),
                request("a", "1", "[]"),
                request("a", "1", body(0, 0)),
                request("a", "1", body(4)),
                request("a", "1", "{\"segments\":[{\"segment\":0}]}"),
                request("a", "1", "{\"text\":7}"),
                request("a", "1", body(0) + body(0)),
                request("a", "1", body(0).replace("\"text\":\"t\"", "\"test\":\"t\"")),
                request("a", "1", body(0).replace("\"t\"}", "\"\\ud800\"}")),
                request("a", "1", "{\"segments\":[{\"segment\":0,\"boost\":0.4}],\"text\":\"t\"}"),
                request("a", "1", "{\"segments\":[{\"segment\":\"0\",\"boost\":1}]}"),
                request("a", "1", body(0).replace(":0,", ":0.5,")),
                request("a", "1", body(0).replace("\"work\":", "\"work\":-")),
                request("a", "1", body(0).replace("\"work\"", "\"boost\"")),
                request("a", "1", body(0).replace("00ff", "no")),
                good.replace("/orders/", "/others/"),
                good.replace("Req-Kind", "Kind"),
                "GET /else HTTP/1.1\r\nHost: x\r\n\r\n")) {
            told.append(new Client().send(bad).answer()).append('\n');
        }
        assertThat(told.toString())
                .isEqualTo(
                        """
                400 close Req-Id is missing or unusable
                400 close Req-Id is missing or unusable
                400 close Req-Deadline is missing or no time
                400 close Req-Deadline is missing or no time
                400 close Req-Deadline is missing or no time
                400 close Req-Deadline is missing or no time
                400 close the body is no JSON of the expected form
                400 close the body is no JSON object
                400 close a segment does not exist or is there twice
                400 close a segment does not exist or is there twice
                400 close a segment's boost or work is out of range
                400 close text is no text
                400 close there is more behind the body's JSON object
                400 close segments or text are missing
                400 close text is no text
                400 close the boosts of the segments do not sum up to 1
                400 close a segment is not of the expected form
                400 close a segment is not of the expected form
                400 close a segment's boost or work is out of range
                400 close the body is no JSON of the expected form
                400 close a segment is not of the expected form
                400 close Req-Kind is unknown or not the path's
                400 close Req-Kind is unknown or not the path's
                405 close POST a multiget, or GET /up
                """);
        assertThat(new Client().ask("a", 0).answer()).startsWith("200 {\"all_in\":true");
        assertThat(seen).containsExactly("part a.0");
        assertThat(new Client().send(request("a", "1", " ".repeat(70_000))).answer())
                .startsWith("413 close ");
    }

    @Test
    void whereTheEndOfABodyIsInDoubtNothingBehindItIsReadAsARequest() throws Exception {
        start();
        tell("hidden", "b");
        String hidden = request("hidden", "1", body(0));
        String good = request("a", "1", body(0));
        String chunked = good.replaceAll("(?s)Content-Length.*", "Transfer-Encoding: chunked\r\n\r\n");
        StringBuilder told = new StringBuilder();
        for (String bad : List.of(
                good.replace("Content-Length", "Transfer-Encoding: chunked\r\nContent-Length"),
                good.replace("Content-Length", "Content-Length: 5\r\nContent-Length"),
                good.replaceAll("Length: \\d+", "Length: -5"),
                good.replaceAll("Length: \\d+", "Length: 9"),
                good.replaceAll("Length: (\\d+)", "Length: $1, $1"),
                chunked.replace("chunked", "gzip, chunked") + "0\r\n\r\n",
                chunked.replace("chunked", "xchunked") + "0\r\n\r\n",
                chunked.replace("chunked", "chunked\r\nTransfer-Encoding: chunked") + "0\r\n\r\n",
                chunked + "0\r\n\r\n",
                chunked + "-1\r\n",
                chunked + "zz\r\n",
                chunked + "fffffffffff\r\n")) {
            Client client = new Client().send(bad + hidden);
            told.append(client.answer().replaceAll("(?s)^([45].. close).*", "$1"))
                    .append(", ");
            assertThat(client.answer()).isEqualTo("closed");
        }
        assertThat(told.toString().replaceAll("400 close|closed", "no")).matches("(no, )+");
        assertThat(new Client().ask("b", 0).answer()).startsWith("200 ");
        assertThat(seen).containsExactly("part b.0");
    }

    @Test
    void thoseThatSayNothingOrHalfAreClosedWhileARequestInHandIsWaitedFor() throws Exception {
        start();
        tell("b");
        Client inHand = new Client().ask("a", 0);
        assertThat(next()).isEqualTo("part a.0");
        String half = request("c", "4", body(0));
        for (Client client : List.of(
                new Client(),
                new Client().send(half.substring(0, 30)),
                new Client().send(half.substring(0, half.length() - 1)))) {
            assertThat(client.answer()).isIn("closed", "400 close ", "408 close ");
        }
        inHand.socket.setSoTimeout(1);
        assertThat(catching(inHand)).isEqualTo("still waiting");
    }

    @Test
    void thoseThatSayNothingTurnOutNoClientThatAsks() throws Exception {
        start("\"sockets\": 1024", "\"sockets\": " + (FileDescriptorLimit.held() + 60));
        tell("b");
        Client kept = new Client();
        List<Client> silent = new ArrayList<>();
        for (int i = 0; i < 60; i++) {
            silent.add(new Client());
            assertThat(kept.send(UP).answer()).isEqualTo("200 ");
        }
        assertThat(silent.get(0).answer()).isEqualTo("closed");
        assertThat(kept.ask("b", 0).answer()).startsWith("200 ");
    }

    @Test
    void aClientThatLeavesEndsTheWorkForIt() throws Exception {
        start();
        tell("b");
        Client client = new Client().ask("a", 0);
        assertThat(next()).isEqualTo("part a.0");
        client.socket.close();
        assertThat(next()).isEqualTo("given up a.0");
        assertThat(new Client().ask("b", 0).answer()).startsWith("200 ");
    }

    @Test
    void aClientThatLeavesBehindWhatItSentAheadIsSeenToLeave() throws Exception {
        start();
        tell("b");
        for (String ahead : List.of("P", request("z", "4", body(1)), "x".repeat(300_000))) {
            Client client = new Client().ask("a", 0);
            assertThat(next()).isEqualTo("part a.0");
            client.send(ahead);
            client.socket.close();
            assertThat(next()).isEqualTo("given up a.0");
        }
        assertThat(new Client().ask("b", 0).answer()).startsWith("200 ");
    }

    @Test
    void behindAClientThatHasLeftABrokenAttemptBeginsNoFurtherOne() throws Exception {
        start();
        fleet.servers.forEach(toy -> toy.manner = new ToyFleet.Manner() {
            @Override
            public void part(ToyFleet.Link link, String id, int shard, String text) throws IOException {
                seen.add("part " + id);
                if (id.startsWith("b")) {
                    link.answer(id, "OK", text);
                }
            }

            @Override
            public void givenUp(ToyFleet.Link link, String id) throws IOException {
                seen.add("given up " + id);
                link.close();
            }
        });
        Client client = new Client().ask("a", 0);
        assertThat(next()).isEqualTo("part a.0");
        long leftNs = System.nanoTime();
        client.socket.close();
        assertThat(next()).isEqualTo("given up a.0");
        assertThat(System.nanoTime() - leftNs)
                .as("long before its time is over")
                .isLessThan(2_000_000_000L);
        // Those behind it find both replicas, and would leave after a further attempt.
        for (String id : List.of("b1", "b2", "b3")) {
            assertThat(new Client().ask(id, 0).answer()).startsWith("200 ");
        }
        assertThat(seen).containsExactly("part b1.0", "part b2.0", "part b3.0");
    }

    /** Danger: what those who left first had out makes room for parts of those who left in the same moment. */
    @Test
    void ofACrowdThatLeavesInOneInstantNothingIsSentThatWaited() throws Exception {
        start("\"open-cap\": 187", "\"open-cap\": 1000");
        tell("b");
        List<Client> crowd = new ArrayList<>();
        for (int i = 0; i < 200; i++) {
            crowd.add(new Client().ask("c" + i, i % 4));
        }
        Client stays = new Client().ask("b", 0);
        CompletableFuture<Void> left = new CompletableFuture<>();
        node.io.execute(() -> {
            try {
                for (Client client : crowd) {
                    client.socket.close();
                }
                left.complete(null);
            } catch (IOException e) {
                left.completeExceptionally(e);
            }
        });
        left.get(20, TimeUnit.SECONDS);
        assertThat(stays.answer()).startsWith("200 ");
        List<String> told = new ArrayList<>();
        seen.drainTo(told);
        assertThat(told.stream().filter(line -> line.startsWith("part c")).count())
                .as("four at each of four servers")
                .isLessThanOrEqualTo(16);
    }

    @Test
    void aClientThatSendsOnAndOnGetsItsAnswerWholeAndAsTheLastOfItsConnection() throws Exception {
        start();
        CompletableFuture<ToyFleet.Link> held = new CompletableFuture<>();
        fleet.servers.forEach(toy -> toy.manner = new ToyFleet.Manner() {
            @Override
            public void part(ToyFleet.Link link, String id, int shard, String text) {
                held.complete(link);
            }
        });
        Client client = new Client().ask("a", 0);
        ToyFleet.Link link = held.get(20, TimeUnit.SECONDS);
        // More than is kept for a next request; a client whose bytes are not taken would hang here.
        client.send("x".repeat(8_000_000));
        link.answer("a.0", "OK", "t");
        client.send("x".repeat(100_000));
        assertThat(client.answer()).startsWith("200 close {\"all_in\":true");
        assertThat(client.in.read()).as("end of the stream, no reset").isEqualTo(-1);
    }

    /**
     * A module that, once it has decided on a multiget with connections open to all, tells that the server chosen is
     * to drain; with the I/O thread paused
     * until discovery has written it, or with its own thread paused until it has been read.
     */
    private void drainsWhatIsChosen(boolean ioPaused) throws Exception {
        CompletableFuture<String> drained = new CompletableFuture<>();
        AtomicBoolean armed = new AtomicBoolean();
        wrapping = module -> (Coordinator) Proxy.newProxyInstance(
                Coordinator.class.getClassLoader(), new Class<?>[] {Coordinator.class}, (proxy, method, args) -> {
                    Object decided = method.invoke(module, args);
                    if (method.getName().equals("place") && armed.getAndSet(false)) {
                        String uid = ((Decisions) decided).attempts.get(0).server.id;
                        ToyFleet.Toy toy = fleet.servers.stream()
                                .filter(each -> each.uid.equals(uid))
                                .findFirst()
                                .orElseThrow();
                        if (ioPaused) {
                            node.io.execute(() -> drain(toy, false));
                        } else {
                            drain(toy, true);
                        }
                        drained.complete(uid);
                    }
                    return decided;
                });
        start("\"stop-sending-within\": 0.5", "\"stop-sending-within\": 0");
        fleet.servers.forEach(toy -> toy.manner = new ToyFleet.Manner() {
            @Override
            public void part(ToyFleet.Link link, String id, int shard, String text) throws IOException {
                seen.add(toy.uid);
                link.answer(id, "OK", text);
            }
        });
        Client client = new Client();
        for (String id : List.of("b", "c", "d", "e")) {
            assertThat(client.ask(id, 0).answer()).startsWith("200 {\"all_in\":true");
        }
        assertThat(Set.copyOf(seen)).as("replicas with a connection").hasSize(2);
        seen.clear();
        armed.set(true);
        assertThat(client.ask("a", 0).answer()).startsWith("200 {\"all_in\":true");
        assertThat(seen).hasSize(1).doesNotContain(drained.get());
    }

    private void drain(ToyFleet.Toy toy, boolean read) {
        try {
            fleet.tell(toy, "DRAINING");
            fleet.awaitTold(read);
            // The pause itself: longer than what is known of the sockets may be old.
            new CountDownLatch(1).await(100, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    @Test
    void aDecisionThatIsOvertakenByTheListInItsOwnTurnIsTakenAnew() throws Exception {
        drainsWhatIsChosen(false);
    }

    @Test
    void aFrameThatAPauseHeldUpWaitsForWhatTheSocketsTell() throws Exception {
        drainsWhatIsChosen(true);
    }

    @Test
    void whoAsksBeforeDiscoveryWasHeardIsNotServedByTheOldList() throws Exception {
        asksBeforeDiscoveryWasHeard(0);
    }

    @Test
    void whoAsksBeforeDiscoveryWasHeardIsNotServedByTheOldListForTheOtherReplica() throws Exception {
        asksBeforeDiscoveryWasHeard(1);
    }

    /** One of the two replicas of shard 0 drains, as discovery tells once the request is under way. */
    private void asksBeforeDiscoveryWasHeard(int draining) throws Exception {
        fleet.silent = true;
        tell("a");
        ToyFleet.Toy old = fleet.servers.get(draining);
        old.manner = new ToyFleet.Manner() {
            @Override
            public void part(ToyFleet.Link link, String id, int shard, String text) throws IOException {
                seen.add("sent to the old one");
                link.answer(id, "OK", text);
            }
        };
        CompletableFuture<String> early = CompletableFuture.supplyAsync(() -> {
            try {
                fleet.awaitCalled();
                Client client = new Client().ask("a", 0);
                // One that went by the old list would have sent it by then; one that waits is not heard of.
                String sent = seen.poll(100, TimeUnit.MILLISECONDS);
                if (sent != null) {
                    seen.add("before discovery was heard: " + sent);
                }
                fleet.tell(old, "DRAINING");
                fleet.silent = false;
                return client.answer();
            } catch (IOException | InterruptedException e) {
                throw new IllegalStateException(e);
            }
        });
        start();
        assertThat(early.get(20, TimeUnit.SECONDS)).startsWith("200 ");
        assertThat(seen).containsExactly("part a.0");
    }

    @Test
    void whatIsInTheQueueWhenTheNodeIsClosedIsAnsweredAllTheSame() throws Exception {
        CountDownLatch placing = new CountDownLatch(1);
        CountDownLatch queued = new CountDownLatch(1);
        wrapping = module -> (Coordinator) Proxy.newProxyInstance(
                Coordinator.class.getClassLoader(), new Class<?>[] {Coordinator.class}, (proxy, method, args) -> {
                    if (method.getName().equals("place")) {
                        placing.countDown();
                        queued.await();
                    }
                    return method.invoke(module, args);
                });
        start();
        tell();
        Client first = new Client().ask("a", 0);
        placing.await();
        Client second = new Client().ask("b", 0);
        // Read behind the second request, as it was sent later.
        assertThat(new Client().send(UP).answer()).isEqualTo("200 ");
        CompletableFuture<Void> closed = CompletableFuture.runAsync(() -> {
            try {
                node.close();
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
        });
        queued.countDown();
        assertThat(first.answer()).isIn("500 close failed", "503 close pushed back");
        assertThat(second.answer()).isIn("500 close failed", "503 close pushed back");
        closed.get(20, TimeUnit.SECONDS);
    }

    @Test
    void aRequestSentAheadIsServedAfterTheOneInHand() throws Exception {
        start();
        tell("a", "b");
        Client client = new Client().send(request("a", "4", body(0)) + request("b", "4", body(1)));
        assertThat(client.answer()).contains("\"segment\":0");
        assertThat(client.answer()).contains("\"segment\":1");
    }

    @Test
    void aPartWhoseServerDiesOrTalksNonsenseGoesToAnother() throws Exception {
        start();
        fleet.kill(fleet.servers.get(0));
        fleet.servers.get(2).manner = new ToyFleet.Manner() {
            @Override
            public void part(ToyFleet.Link link, String id, int shard, String text) throws IOException {
                link.raw(new byte[] {0, 0, 0, 1, 'Q'});
            }
        };
        Client client = new Client();
        assertThat(client.ask("a", 0, 1, 2, 3).answer()).startsWith("200 {\"all_in\":true");
        assertThat(client.ask("b", 0, 1, 2, 3).answer()).startsWith("200 {\"all_in\":true");
    }

    @Test
    void whatNobodyAnswersIsGivenUpInTheClientsTimeWithATimeToComeBack() throws Exception {
        start("\"aim\": 2.0, \"deadline\": 4.0", "\"aim\": 0.3, \"deadline\": 0.6");
        tell();
        assertThat(new Client().send(request("a", "0.5", body(0, 1))).answer()).isEqualTo("503 pushed back");
    }

    @Test
    void aFaultInTheDecisionsCostsNoOtherMultigetAndNoClientItsAnswer() throws Exception {
        wrapping = module -> (Coordinator) Proxy.newProxyInstance(
                Coordinator.class.getClassLoader(), new Class<?>[] {Coordinator.class}, (proxy, method, args) -> {
                    if (method.getName().equals("place") && ((Multiget) args[0]).clientTimeLeftMs < 1000) {
                        throw new IllegalStateException("a fault made by the test");
                    }
                    try {
                        return method.invoke(module, args);
                    } catch (InvocationTargetException e) {
                        throw e.getCause();
                    }
                });
        start();
        tell("b");
        Client hurt = new Client().send(request("a", "0.3", body(0)));
        assertThat(new Client().ask("b", 0).answer()).startsWith("200 ");
        assertThat(hurt.answer()).isEqualTo("500 failed");
        broken = Map.of("a multiget is answered in the client's time", 1L);
    }

    @Test
    void moreThanMayBeInHandIsPushedBackAtOnce() throws Exception {
        start("\"open-cap\": 187", "\"open-cap\": 3");
        tell("c");
        Client first = new Client().ask("a", 0, 1);
        assertThat(next()).startsWith("part a.");
        assertThat(new Client().ask("b", 2).answer()).isEqualTo("503 pushed back");
        first.socket.close();
        while (!next().startsWith("given up")) {
            // What was sent of the first is taken back, and there is room again.
        }
        assertThat(new Client().ask("c", 2).answer()).startsWith("200 ");
    }

    /** What a client hears that asks a node which drains, and has more time than the node. */
    private String drained(boolean answered) throws Exception {
        start();
        CompletableFuture<ToyFleet.Link> held = new CompletableFuture<>();
        fleet.servers.forEach(toy -> toy.manner = new ToyFleet.Manner() {
            @Override
            public void part(ToyFleet.Link link, String id, int shard, String text) throws IOException {
                if (id.startsWith("a")) {
                    held.complete(link);
                } else {
                    link.answer(id, "OK", text);
                }
            }
        });
        Client unused = new Client().send(UP);
        assertThat(unused.answer()).isEqualTo("200 ");
        CompletableFuture<Void> drained = CompletableFuture.runAsync(() -> {
            try {
                node.drain();
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
        });
        while (!unused.send(UP).answer().startsWith("503 ")) {
            // Told to end, but the door has not heard of it yet.
        }
        Client inHand = new Client().ask("a", 0);
        ToyFleet.Link link = held.get(20, TimeUnit.SECONDS);
        Client kept = new Client().ask("b", 1);
        assertThat(kept.answer()).startsWith("200 {\"all_in\":true");
        assertThat(kept.ask("c", 1).answer()).startsWith("200 {\"all_in\":true");
        assertThat(unused.answer()).isEqualTo("closed");
        assertThat(drained).isNotDone();
        if (answered) {
            link.answer("a.0", "OK", "late");
        }
        String last = inHand.answer();
        drained.get(20, TimeUnit.SECONDS);
        return last;
    }

    @Test
    void aNodeThatHasStartedSaysSoToTheFirstThatAsks() throws Exception {
        CountDownLatch started = new CountDownLatch(1);
        CompletableFuture<Boolean> early = new CompletableFuture<>();
        // The I/O thread is kept busy, as on a machine that has too few cores, until the start is over or long overdue.
        wrapping = module -> {
            node.io.execute(() -> {
                try {
                    early.complete(started.await(3, TimeUnit.SECONDS));
                } catch (InterruptedException e) {
                    early.completeExceptionally(e);
                }
            });
            return module;
        };
        start();
        started.countDown();
        assertThat(early.get(20, TimeUnit.SECONDS))
                .as("the start was over while the door could not have said so")
                .isFalse();
        assertThat(new Client().send(UP).answer()).isEqualTo("200 ");
    }

    @Test
    void aNodeThatIsToldToEndWhileItStartsNeverSaysThatItIsReadyAndEndsAtOnce() throws Exception {
        DeploymentFile deployment = deployment();
        node = new FrontNode(deployment, deployment.listen(), wrapping);
        node.ending();
        node.start();
        assertThat(new Client().send(UP).answer()).startsWith("503 ");
        long fromNs = System.nanoTime();
        node.drain();
        assertThat(System.nanoTime() - fromNs)
                .as("one that has served takes 2.7 s")
                .isLessThan(2_000_000_000L);
    }

    @Test
    void drainingServesWhoeverStillComesAndAnswersAllBeforeTheNodeIsKilled() throws Exception {
        assertThat(drained(true)).startsWith("200 close {\"all_in\":true");
    }

    @Test
    void whatNobodyAnswersIsGivenUpBeforeADrainingNodeIsKilled() throws Exception {
        assertThat(drained(false)).isEqualTo("503 close pushed back");
    }

    @Test
    void whenDescriptorsAreShortTheLongestUnusedClientGoesFirst() throws Exception {
        start("\"sockets\": 1024", "\"sockets\": " + (FileDescriptorLimit.held() + 60));
        List<Client> idle = new ArrayList<>();
        tell("b");
        Client inHand = new Client().ask("a", 0);
        assertThat(next()).isEqualTo("part a.0");
        for (int i = 0; i < 60; i++) {
            idle.add(new Client());
            assertThat(idle.get(i).send(UP).answer()).isEqualTo("200 ");
        }
        assertThat(idle.get(0).answer()).isEqualTo("closed");
        assertThat(idle.get(59).ask("b", 0).answer()).startsWith("200 ");
        assertThat(inHand.socket.getInputStream().available()).isZero();
        inHand.socket.setSoTimeout(1);
        assertThat(catching(inHand)).isEqualTo("still waiting");
    }

    @Test
    void halfSentRequestsHoldNothingAndGoFirst() throws Exception {
        start(
                "\"sockets\": 1024",
                "\"sockets\": " + (FileDescriptorLimit.held() + 60),
                "\"open-cap\": 187",
                "\"open-cap\": 3");
        tell("b");
        String half = request("a", "4", body(0));
        List<Client> clients = new ArrayList<>();
        for (int i = 0; i < 60; i++) {
            clients.add(new Client().send(half.substring(0, half.length() - 1)));
        }
        assertThat(new Client().ask("b", 0, 1).answer()).startsWith("200 ");
        assertThat(clients.get(0).answer()).isEqualTo("closed");
        assertThat(new Client().send(half.replace('}', 'x')).answer()).startsWith("400 ");
    }

    private static String catching(Client client) throws IOException {
        try {
            return client.answer();
        } catch (java.net.SocketTimeoutException e) {
            return "still waiting";
        }
    }

    @Test
    void theListIsFollowedAndItsSilenceEndsNothing() throws Exception {
        fleet.silent = true;
        start();
        tell("a", "b", "c", "d");
        assertThat(new Client().ask("a", 0).answer()).startsWith("200 ");
        assertThat(next()).isEqualTo("part a.0");
        fleet.tell(fleet.servers.get(0), "DRAINING");
        fleet.silent = false;
        ToyFleet.Manner manner = fleet.servers.get(0).manner;
        fleet.servers.get(0).manner = new ToyFleet.Manner() {
            @Override
            public void part(ToyFleet.Link link, String id, int shard, String text) throws IOException {
                seen.add("still sent to");
                manner.part(link, id, shard, text);
            }
        };
        // Once the change is told, all of a burst goes round the draining server.
        for (int tries = 0; node.listsTaken() < 2 && tries < 2000; tries++) {
            TimeUnit.MILLISECONDS.sleep(10);
        }
        Client client = new Client();
        for (String id : List.of("b", "c", "d")) {
            assertThat(client.ask(id, 0, 3).answer()).startsWith("200 ");
        }
        assertThat(seen).hasSize(6).doesNotContain("still sent to");
    }

    /** A server that leaves the subset finishes what it has, and gets nothing new. */
    @Test
    void aNodeWithASubsetUsesItsOwnServersAndGoesBackToTheFirstInItsOrder() throws Exception {
        String[] subset = {
            "\"tick\": 0.005",
            "\"tick\": 0.005, \"subset\": {\"replicasPerShard\": 1, \"leastZones\": 1}",
            "\"sets\": 4, \"width\": 2",
            "\"sets\": 2, \"width\": 1"
        };
        SubsetSelector order = deployment(subset).subsetSelector();
        order.apply(
                List.of(
                        new SubsetSelector.LiveServer("s-0", "a", 0, 1),
                        new SubsetSelector.LiveServer("s-2", "a", 2, 1)),
                List.of());
        ToyFleet.Toy first = fleet.servers.get(
                Integer.parseInt(order.selectedReplicas(0).get(0).substring(2)));
        ToyFleet.Toy second = fleet.servers.get(2 - first.cell);
        CompletableFuture<ToyFleet.Link> held = new CompletableFuture<>();
        fleet.servers.forEach(toy -> toy.manner = new ToyFleet.Manner() {
            @Override
            public void part(ToyFleet.Link link, String id, int shard, String text) throws IOException {
                seen.add(id + " at " + toy.uid);
                if (id.startsWith("held")) {
                    held.complete(link);
                } else {
                    link.answer(id, "OK", text);
                }
            }
        });
        fleet.tell(first, "DELETED");
        start(subset);
        Client waiting = new Client().ask("held", 0);
        assertThat(next()).isEqualTo("held.0 at " + second.uid);
        fleet.tell(first, "SERVING");
        fleet.awaitTold(true);
        for (String id : List.of("a", "b", "c")) {
            assertThat(new Client().ask(id, 0).answer()).startsWith("200 ");
            assertThat(next()).isEqualTo(id + ".0 at " + first.uid);
        }
        held.get(20, TimeUnit.SECONDS).answer("held.0", "OK", "t");
        assertThat(waiting.answer()).startsWith("200 {\"all_in\":true");
        fleet.tell(first, "DRAINING");
        fleet.awaitTold(true);
        assertThat(new Client().ask("d", 0).answer()).startsWith("200 ");
        assertThat(next()).isEqualTo("d.0 at " + second.uid);
    }
}
