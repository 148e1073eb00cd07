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

/** What clients see of a node: what is read as a request, who is closed first, and what becomes of a client that leaves. */
class FrontNodeClientTest extends FrontNodeFixture {
    FrontNodeClientTest() throws IOException {}

    @Test
    void servesSequentialRequestsWithValuesAsTheServersGaveThem() throws Exception {
        start();
        Client client = new Client();
        fleet.servers.forEach(toy -> toy.behavior = new ToyFleet.ServerBehavior() {
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

    private static List<String> malformedRequests(String good) {
        return List.of(
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
                "GET /else HTTP/1.1\r\nHost: x\r\n\r\n");
    }

    @Test
    void malformedRequestsAreRejectedInOneSentenceAndEndTheirConnection() throws Exception {
        // Before the start, so that a rehearsal that reached servers would be seen.
        answerOnly("a");
        start();
        String good = request("a", "1", body(0));
        StringBuilder messages = new StringBuilder();
        for (String bad : malformedRequests(good)) {
            messages.append(new Client().send(bad).answer()).append('\n');
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
        assertThat(new Client().ask("a", 0).answer()).startsWith("200 {\"all_in\":true");
        assertThat(seen).containsExactly("part a.0");
        assertThat(new Client().send(request("a", "1", " ".repeat(70_000))).answer())
                .startsWith("413 close ");
    }

    @Test
    void nothingIsReadAsARequestBehindABodyWithoutAKnownEnd() throws Exception {
        start();
        answerOnly("hidden", "b");
        String hidden = request("hidden", "1", body(0));
        String good = request("a", "1", body(0));
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
            messages.append(client.answer().replaceAll("(?s)^([45].. close).*", "$1"))
                    .append(", ");
            assertThat(client.answer()).isEqualTo("closed");
        }
        assertThat(messages.toString().replaceAll("400 close|closed", "no")).matches("(no, )+");
        assertThat(new Client().ask("b", 0).answer()).startsWith("200 ");
        assertThat(seen).containsExactly("part b.0");
    }

    @Test
    void silentAndHalfSentConnectionsAreClosedWhileARequestInFlightIsKept() throws Exception {
        start();
        answerOnly("b");
        Client inFlight = new Client().ask("a", 0);
        assertThat(next()).isEqualTo("part a.0");
        String half = request("c", "4", body(0));
        for (Client client : List.of(
                new Client(),
                new Client().send(half.substring(0, 30)),
                new Client().send(half.substring(0, half.length() - 1)))) {
            assertThat(client.answer()).isIn("closed", "400 close ", "408 close ");
        }
        inFlight.socket.setSoTimeout(1);
        assertThat(catching(inFlight)).isEqualTo("still waiting");
    }

    @Test
    void silentConnectionsDoNotEvictAClientThatSendsRequests() throws Exception {
        start("\"sockets\": 1024", "\"sockets\": " + (FileDescriptorLimit.openCount() + 60));
        answerOnly("b");
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
    void theLongestIdleClientIsEvictedFirst() throws Exception {
        start("\"sockets\": 1024", "\"sockets\": " + (FileDescriptorLimit.openCount() + 60));
        List<Client> idle = new ArrayList<>();
        answerOnly("b");
        Client inFlight = new Client().ask("a", 0);
        assertThat(next()).isEqualTo("part a.0");
        for (int i = 0; i < 60; i++) {
            idle.add(new Client());
            assertThat(idle.get(i).send(UP).answer()).isEqualTo("200 ");
        }
        assertThat(idle.get(0).answer()).isEqualTo("closed");
        assertThat(idle.get(59).ask("b", 0).answer()).startsWith("200 ");
        assertThat(inFlight.socket.getInputStream().available()).isZero();
        inFlight.socket.setSoTimeout(1);
        assertThat(catching(inFlight)).isEqualTo("still waiting");
    }

    @Test
    void halfSentRequestsTakeNoCapacityAndAreEvictedFirst() throws Exception {
        start(
                "\"sockets\": 1024",
                "\"sockets\": " + (FileDescriptorLimit.openCount() + 60),
                "\"open-cap\": 187",
                "\"open-cap\": 3");
        answerOnly("b");
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
    void aClientThatLeavesHasItsAttemptsCancelled() throws Exception {
        start();
        answerOnly("b");
        Client client = new Client().ask("a", 0);
        assertThat(next()).isEqualTo("part a.0");
        client.socket.close();
        assertThat(next()).isEqualTo("given up a.0");
        assertThat(new Client().ask("b", 0).answer()).startsWith("200 ");
    }

    @Test
    void aClientThatLeavesBehindPipelinedBytesIsSeenToLeave() throws Exception {
        start();
        answerOnly("b");
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
    void anAttemptThatBreaksAfterItsClientLeftIsNotRetried() throws Exception {
        start();
        fleet.servers.forEach(toy -> toy.behavior = new ToyFleet.ServerBehavior() {
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

    /** What those who left first had in flight makes room for parts of those who left in the same moment. */
    @Test
    void queuedPartsOfClientsThatLeaveTogetherAreNotSent() throws Exception {
        start("\"open-cap\": 187", "\"open-cap\": 1000");
        answerOnly("b");
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
        List<String> messages = new ArrayList<>();
        seen.drainTo(messages);
        assertThat(messages.stream().filter(line -> line.startsWith("part c")).count())
                .as("four at each of four servers")
                .isLessThanOrEqualTo(16);
    }

    @Test
    void aClientThatPipelinesTooMuchGetsACompleteLastResponse() throws Exception {
        start();
        CompletableFuture<ToyFleet.Link> held = new CompletableFuture<>();
        fleet.servers.forEach(toy -> toy.behavior = new ToyFleet.ServerBehavior() {
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

    @Test
    void aPipelinedRequestIsServedAfterTheOneInFlight() throws Exception {
        start();
        answerOnly("a", "b");
        Client client = new Client().send(request("a", "4", body(0)) + request("b", "4", body(1)));
        assertThat(client.answer()).contains("\"segment\":0");
        assertThat(client.answer()).contains("\"segment\":1");
    }
}
