package spartrail.front;

import static org.assertj.core.api.Assertions.assertThat;

import example.ToyFleet;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/**
 * A node as seen by its clients: which requests it accepts, which connections it closes first, how it handles
 * disconnects.
 */
class FrontNodeClientTest extends FrontNodeFixture {
    FrontNodeClientTest() throws IOException {}

    @Test
    void sequentialRequestsReceiveTheServersValuesUnchanged() throws Exception {
        start();
        Client client = new Client();
        fleet.servers.forEach(server -> server.behavior = new ToyFleet.ServerBehavior() {
            @Override
            public void onPart(ToyFleet.Connection connection, String id, int shard, String text) throws IOException {
                connection.sendResponse(id, "OK", "\"é\n" + shard + text);
            }
        });
        assertThat(client.query("a", 2, 0).readResponse())
                .isEqualTo("200 {\"all_in\":true,\"matches\":"
                        + "[{\"segment\":2,\"payload\":\"\\\"é\\n2t\"},{\"segment\":0,\"payload\":\"\\\"é\\n0t\"}]}");
        String body = buildBody(1);
        String chunked =
                buildRequest("b", "0.9", body).replaceAll("(?s)Content-Length.*", "Transfer-Encoding: chunked\r\n\r\n")
                        + "5\r\n" + body.substring(0, 5) + "\r\n" + Integer.toHexString(body.length() - 5) + "\r\n"
                        + body.substring(5)
                        + "\r\n0\r\n\r\n";
        for (char character : chunked.toCharArray()) {
            client.send(String.valueOf(character));
        }
        assertThat(client.readResponse())
                .isEqualTo("200 {\"all_in\":true,\"matches\":[{\"segment\":1,\"payload\":\"\\\"é\\n1t\"}]}");
        client.send(buildRequest("c", "1", "")
                .replaceAll(
                        "(?s)Content-Length.*",
                        "Expect: 100-continue\r\nContent-Length: " + body.length() + "\r\n\r\n"));
        assertThat(new String(client.in.readNBytes(25), StandardCharsets.US_ASCII))
                .isEqualTo("HTTP/1.1 100 Continue\r\n\r\n");
        assertThat(client.send(body).readResponse()).startsWith("200 {\"all_in\":true");
        assertThat(client.send(UP).readResponse()).isEqualTo("200 ");
    }

    private static List<String> createMalformedRequests(String good) {
        return List.of(
                buildRequest("a b", "1", buildBody(0)),
                good.replace("Req-Kind", "Req-Id: b\r\nReq-Kind"),
                buildRequest("a", "soon", buildBody(0)),
                buildRequest("a", "-1", buildBody(0)),
                buildRequest("a", "1d", buildBody(0)),
                buildRequest("a", "NaN", buildBody(0)),
                buildRequest("a", "1", "{"),
                buildRequest("a", "1", "[]"),
                buildRequest("a", "1", buildBody(0, 0)),
                buildRequest("a", "1", buildBody(4)),
                buildRequest("a", "1", "{\"segments\":[{\"segment\":0}]}"),
                buildRequest("a", "1", "{\"text\":7}"),
                buildRequest("a", "1", buildBody(0) + buildBody(0)),
                buildRequest("a", "1", buildBody(0).replace("\"text\":\"t\"", "\"test\":\"t\"")),
                buildRequest("a", "1", buildBody(0).replace("\"t\"}", "\"\\ud800\"}")),
                buildRequest("a", "1", "{\"segments\":[{\"segment\":0,\"boost\":0.4}],\"text\":\"t\"}"),
                buildRequest("a", "1", "{\"segments\":[{\"segment\":\"0\",\"boost\":1}]}"),
                buildRequest("a", "1", buildBody(0).replace(":0,", ":0.5,")),
                buildRequest("a", "1", buildBody(0).replace("\"work\":", "\"work\":-")),
                buildRequest("a", "1", buildBody(0).replace("\"work\"", "\"boost\"")),
                buildRequest("a", "1", buildBody(0).replace("00ff", "no")),
                good.replace("/orders/", "/others/"),
                good.replace("Req-Kind", "Kind"),
                "GET /else HTTP/1.1\r\nHost: x\r\n\r\n");
    }

    @Test
    void malformedRequestsAreRejectedInOneSentenceAndEndTheirConnection() throws Exception {
        // Before the start, so that a warm-up request that reached a server would be recorded as an event.
        answerOnly("a");
        start();
        String good = buildRequest("a", "1", buildBody(0));
        StringBuilder messages = new StringBuilder();
        for (String bad : createMalformedRequests(good)) {
            messages.append(new Client().send(bad).readResponse()).append('\n');
        }
        assertThat(messages.toString())
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
        assertThat(new Client().query("a", 0).readResponse()).startsWith("200 {\"all_in\":true");
        assertThat(events).containsExactly("part a.0");
        assertThat(new Client().send(buildRequest("a", "1", " ".repeat(70_000))).readResponse())
                .startsWith("413 close ");
    }

    @Test
    void nothingAfterABodyWithAnUnknownEndIsReadAsARequest() throws Exception {
        start();
        answerOnly("hidden", "b");
        String hidden = buildRequest("hidden", "1", buildBody(0));
        String good = buildRequest("a", "1", buildBody(0));
        String chunked = good.replaceAll("(?s)Content-Length.*", "Transfer-Encoding: chunked\r\n\r\n");
        StringBuilder messages = new StringBuilder();
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
            messages.append(client.readResponse().replaceAll("(?s)^([45].. close).*", "$1"))
                    .append(", ");
            assertThat(client.readResponse()).isEqualTo("closed");
        }
        assertThat(messages.toString().replaceAll("400 close|closed", "no")).matches("(no, )+");
        assertThat(new Client().query("b", 0).readResponse()).startsWith("200 ");
        assertThat(events).containsExactly("part b.0");
    }

    @Test
    void connectionsWithoutACompleteRequestAreClosedAndOneWithARequestInFlightIsKept() throws Exception {
        start();
        answerOnly("b");
        Client inFlight = new Client().query("a", 0);
        assertThat(nextEvent()).isEqualTo("part a.0");
        String incomplete = buildRequest("c", "4", buildBody(0));
        for (Client client : List.of(
                new Client(),
                new Client().send(incomplete.substring(0, 30)),
                new Client().send(incomplete.substring(0, incomplete.length() - 1)))) {
            assertThat(client.readResponse()).isIn("closed", "400 close ", "408 close ");
        }
        inFlight.socket.setSoTimeout(1);
        assertThat(readResponseOrTimeout(inFlight)).isEqualTo("still waiting");
    }

    @Test
    void silentConnectionsDoNotEvictAClientThatSendsRequests() throws Exception {
        start("\"sockets\": 1024", "\"sockets\": " + (FileDescriptorLimit.countOpen() + 60));
        answerOnly("b");
        Client kept = new Client();
        List<Client> silent = new ArrayList<>();
        for (int i = 0; i < 60; i++) {
            silent.add(new Client());
            assertThat(kept.send(UP).readResponse()).isEqualTo("200 ");
        }
        assertThat(silent.get(0).readResponse()).isEqualTo("closed");
        assertThat(kept.query("b", 0).readResponse()).startsWith("200 ");
    }

    @Test
    void theLongestIdleClientIsEvictedFirst() throws Exception {
        start("\"sockets\": 1024", "\"sockets\": " + (FileDescriptorLimit.countOpen() + 60));
        List<Client> idle = new ArrayList<>();
        answerOnly("b");
        Client inFlight = new Client().query("a", 0);
        assertThat(nextEvent()).isEqualTo("part a.0");
        for (int i = 0; i < 60; i++) {
            idle.add(new Client());
            assertThat(idle.get(i).send(UP).readResponse()).isEqualTo("200 ");
        }
        assertThat(idle.get(0).readResponse()).isEqualTo("closed");
        assertThat(idle.get(59).query("b", 0).readResponse()).startsWith("200 ");
        assertThat(inFlight.socket.getInputStream().available()).isZero();
        inFlight.socket.setSoTimeout(1);
        assertThat(readResponseOrTimeout(inFlight)).isEqualTo("still waiting");
    }

    @Test
    void incompleteRequestsTakeNoCapacityAndAreEvictedFirst() throws Exception {
        start(
                "\"sockets\": 1024",
                "\"sockets\": " + (FileDescriptorLimit.countOpen() + 60),
                "\"open-cap\": 187",
                "\"open-cap\": 3");
        answerOnly("b");
        String incomplete = buildRequest("a", "4", buildBody(0));
        List<Client> clients = new ArrayList<>();
        for (int i = 0; i < 60; i++) {
            clients.add(new Client().send(incomplete.substring(0, incomplete.length() - 1)));
        }
        assertThat(new Client().query("b", 0, 1).readResponse()).startsWith("200 ");
        assertThat(clients.get(0).readResponse()).isEqualTo("closed");
        assertThat(new Client().send(incomplete.replace('}', 'x')).readResponse())
                .startsWith("400 ");
    }

    private static String readResponseOrTimeout(Client client) throws IOException {
        try {
            return client.readResponse();
        } catch (java.net.SocketTimeoutException e) {
            return "still waiting";
        }
    }

    @Test
    void attemptsOfADisconnectedClientAreCancelled() throws Exception {
        start();
        answerOnly("b");
        Client client = new Client().query("a", 0);
        assertThat(nextEvent()).isEqualTo("part a.0");
        client.socket.close();
        assertThat(nextEvent()).isEqualTo("cancelled a.0");
        assertThat(new Client().query("b", 0).readResponse()).startsWith("200 ");
    }

    /**
     * Guards against serving a client the value that was made for another one: the late response to a cancelled attempt
     * was taken for the response to a new part with the same id.
     */
    @Test
    void anIdIsRejectedWhileAServerMayStillAnswerACancelledAttemptOfIt() throws Exception {
        CompletableFuture<ToyFleet.Connection> firstPart = new CompletableFuture<>();
        fleet.servers.forEach(server -> server.behavior = new ToyFleet.ServerBehavior() {
            @Override
            public void onPart(ToyFleet.Connection connection, String id, int shard, String text) throws IOException {
                events.add("part " + text);
                if (firstPart.isDone()) {
                    connection.sendResponse(id, "OK", text);
                }
                firstPart.complete(connection);
            }

            @Override
            public void onCancelled(ToyFleet.Connection connection, String id) {
                events.add("cancelled " + id);
            }
        });
        start();
        Client first = new Client().query("a", 0);
        ToyFleet.Connection connection = firstPart.get(20, TimeUnit.SECONDS);
        assertThat(nextEvent()).isEqualTo("part t");
        first.socket.close();
        assertThat(nextEvent()).isEqualTo("cancelled a.0");
        String reused = buildRequest("a", "4", buildBody(0).replace("\"t\"}", "\"other\"}"));
        Client second = new Client();
        assertThat(second.send(reused).readResponse()).isEqualTo("503 pushed back");
        connection.sendResponse("a.0", "OK", "made for the first client");
        String response = "503 pushed back";
        for (long untilNs = System.nanoTime() + 20_000_000_000L;
                response.equals("503 pushed back") && System.nanoTime() < untilNs; ) {
            response = second.send(reused).readResponse();
        }
        assertThat(response).contains("\"payload\":\"other\"");
    }

    @Test
    void aDisconnectAfterPipelinedBytesIsDetected() throws Exception {
        start();
        answerOnly("b");
        List<String> pipelined = List.of("P", buildRequest("z", "4", buildBody(1)), "x".repeat(300_000));
        for (int i = 0; i < pipelined.size(); i++) {
            Client client = new Client().query("a" + i, 0);
            assertThat(nextEvent()).isEqualTo("part a" + i + ".0");
            client.send(pipelined.get(i));
            client.socket.close();
            assertThat(nextEvent()).isEqualTo("cancelled a" + i + ".0");
        }
        assertThat(new Client().query("b", 0).readResponse()).startsWith("200 ");
    }

    @Test
    void aResetAttemptOfADisconnectedClientIsNotRetried() throws Exception {
        // Without hedged requests, only a retry can send a part a second time.
        assertThat(collectEventsAfterADisconnect("\"parallel-tries\": true", "\"parallel-tries\": false"))
                .containsExactly("part b1.0", "part b2.0", "part b3.0");
    }

    /**
     * The parts of the clients that still wait may be sent more than once, as retries or hedged requests. The part of
     * the disconnected client may not.
     */
    @Test
    void aPartOfADisconnectedClientIsNeitherRetriedNorHedged() throws Exception {
        List<String> remaining = collectEventsAfterADisconnect();
        assertThat(remaining).doesNotContain("part a.0", "cancelled a.0");
        assertThat(remaining).allMatch(line -> line.matches("(part|cancelled) b[123]\\.0"));
        assertThat(remaining.stream().filter(line -> line.startsWith("part ")).distinct())
                .as("parts in the order of their first sends")
                .containsExactly("part b1.0", "part b2.0", "part b3.0");
    }

    /**
     * Disconnects a client whose part is in flight, lets the server reset the connection of the cancelled part, and
     * sends three more requests, which are answered.
     *
     * @param changes the changes of the node's settings, see {@link #createDeployment}
     * @return the events after the cancellation
     */
    private List<String> collectEventsAfterADisconnect(String... changes) throws Exception {
        start(changes);
        fleet.servers.forEach(server -> server.behavior = new ToyFleet.ServerBehavior() {
            @Override
            public void onPart(ToyFleet.Connection connection, String id, int shard, String text) throws IOException {
                events.add("part " + id);
                if (id.startsWith("b")) {
                    connection.sendResponse(id, "OK", text);
                }
            }

            @Override
            public void onCancelled(ToyFleet.Connection connection, String id) throws IOException {
                events.add("cancelled " + id);
                connection.close();
            }
        });
        Client client = new Client().query("a", 0);
        assertThat(nextEvent()).isEqualTo("part a.0");
        long closedNs = System.nanoTime();
        client.socket.close();
        assertThat(nextEvent()).isEqualTo("cancelled a.0");
        assertThat(System.nanoTime() - closedNs)
                .as("time until the cancellation, well below the client's timeout of 4 s")
                .isLessThan(2_000_000_000L);
        // These requests use both replicas, and would be sent after a retry of the first request if there were one.
        for (String id : List.of("b1", "b2", "b3")) {
            assertThat(new Client().query(id, 0).readResponse()).startsWith("200 ");
        }
        List<String> remaining = new ArrayList<>();
        events.drainTo(remaining);
        return remaining;
    }

    /** The attempts that the first disconnects end make room for queued parts of clients that disconnect just after. */
    @Test
    void queuedPartsOfClientsThatDisconnectTogetherAreNotSent() throws Exception {
        start("\"open-cap\": 187", "\"open-cap\": 1000");
        answerOnly("b");
        List<Client> leaving = new ArrayList<>();
        for (int i = 0; i < 200; i++) {
            leaving.add(new Client().query("c" + i, i % 4));
        }
        Client staying = new Client().query("b", 0);
        CompletableFuture<Void> disconnected = new CompletableFuture<>();
        node.io.execute(() -> {
            try {
                for (Client client : leaving) {
                    client.socket.close();
                }
                disconnected.complete(null);
            } catch (IOException e) {
                disconnected.completeExceptionally(e);
            }
        });
        disconnected.get(20, TimeUnit.SECONDS);
        assertThat(staying.readResponse()).startsWith("200 ");
        List<String> remaining = new ArrayList<>();
        events.drainTo(remaining);
        assertThat(remaining.stream().filter(line -> line.startsWith("part c")).count())
                .as("parts sent: at most four to each of four servers")
                .isLessThanOrEqualTo(16);
    }

    /** Guards against work for clients whose request is read together with the end of their connection. */
    @Test
    void requestsOfClientsThatHaveDisconnectedBeforeTheyAreReadAreNotSent() throws Exception {
        start();
        answerOnly("b");
        CompletableFuture<Void> disconnected = new CompletableFuture<>();
        node.io.execute(() -> {
            try {
                for (int i = 0; i < 100; i++) {
                    new Client().query("c" + i, i % 4).socket.close();
                }
                disconnected.complete(null);
            } catch (IOException e) {
                disconnected.completeExceptionally(e);
            }
        });
        disconnected.get(20, TimeUnit.SECONDS);
        assertThat(new Client().query("b", 0).readResponse()).startsWith("200 ");
        List<String> remaining = new ArrayList<>();
        events.drainTo(remaining);
        assertThat(remaining).noneMatch(line -> line.startsWith("part c"));
    }

    @Test
    void aClientThatPipelinesTooMuchGetsACompleteLastResponse() throws Exception {
        start();
        CompletableFuture<ToyFleet.Connection> held = new CompletableFuture<>();
        fleet.servers.forEach(server -> server.behavior = new ToyFleet.ServerBehavior() {
            @Override
            public void onPart(ToyFleet.Connection connection, String id, int shard, String text) {
                held.complete(connection);
            }
        });
        Client client = new Client().query("a", 0);
        ToyFleet.Connection connection = held.get(20, TimeUnit.SECONDS);
        // More bytes than the node buffers for the next request; this would block if the node stopped reading.
        client.send("x".repeat(8_000_000));
        connection.sendResponse("a.0", "OK", "t");
        client.send("x".repeat(100_000));
        assertThat(client.readResponse()).startsWith("200 close {\"all_in\":true");
        assertThat(client.in.read()).as("end of the stream instead of a reset").isEqualTo(-1);
    }

    @Test
    void aPipelinedRequestIsServedAfterTheOneInFlight() throws Exception {
        start();
        answerOnly("a", "b");
        Client client = new Client().send(buildRequest("a", "4", buildBody(0)) + buildRequest("b", "4", buildBody(1)));
        assertThat(client.readResponse()).contains("\"segment\":0");
        assertThat(client.readResponse()).contains("\"segment\":1");
    }

    /** Guards against the loss of complete requests that were read beyond what is buffered for a connection. */
    @Test
    void pipelinedRequestsBeyondTheBufferLimitAreAllAnswered() throws Exception {
        start();
        int requests = 20;
        String body = buildBody(0).replace("\"t\"}", "\"" + "x".repeat(60_000) + "\"}");
        Client client = new Client();
        CompletableFuture<Void> sent = CompletableFuture.runAsync(() -> {
            try {
                for (int i = 0; i < requests; i++) {
                    client.send(buildRequest("q" + i, "4", body));
                }
            } catch (IOException e) {
                throw new java.io.UncheckedIOException(e);
            }
        });
        for (int i = 0; i < requests; i++) {
            assertThat(client.readResponse()).as("response " + i).startsWith("200 {\"all_in\":true");
        }
        sent.get(20, TimeUnit.SECONDS);
    }
}
