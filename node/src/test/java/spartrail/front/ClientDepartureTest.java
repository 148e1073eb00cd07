package spartrail.front;

import static org.assertj.core.api.Assertions.assertThat;

import example.DelayedAnswers;
import example.ToyFleet;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Clients that leave before they have their responses, with requests in flight and requests unread. */
class ClientDepartureTest extends FrontNodeFixture {
    /** An attempt that begins later after its client has left is lost work, by the rules on sockets. */
    private static final long MAX_SEND_AFTER_DEPARTURE_MS = 100;

    private static final int SERVICE_TIME_MS = 10;

    private DelayedAnswers answers;

    ClientDepartureTest() throws IOException {}

    @AfterEach
    void stopServers() {
        if (answers != null) {
            answers.close();
        }
    }

    private void awaitQuietServers() throws Exception {
        assertThat(new Client().query("quiet", 0, 1, 2).readResponse()).startsWith("200 ");
        TimeUnit.MILLISECONDS.sleep(5 * SERVICE_TIME_MS);
    }

    /** Guards against a second run of a query that is not idempotent, when its id comes again on a new connection. */
    @Test
    void anIdThatComesAgainAfterItsClientHasLeftIsNotRunTwice() throws Exception {
        assertIdRunsOnce("\"single_shot\"");
    }

    /** Guards against a second run that servers do not recognize, as the deduplication window of the first is over. */
    @Test
    void aDeduplicatedIdThatComesAgainAfterItsWindowIsNotRunTwice() throws Exception {
        assertIdRunsOnce("\"guarded\", \"key-ttl\": 0.1");
    }

    private void assertIdRunsOnce(String effect) throws Exception {
        CompletableFuture<ToyFleet.Connection> firstPart = new CompletableFuture<>();
        fleet.servers.forEach(server -> server.behavior = new ToyFleet.ServerBehavior() {
            @Override
            public void onPart(ToyFleet.Connection connection, String id, int shard, String text) throws IOException {
                events.add("part " + id);
                if (firstPart.isDone()) {
                    connection.sendResponse(id, "OK", text);
                }
                firstPart.complete(connection);
            }

            @Override
            public void onCancelled(ToyFleet.Connection connection, String id) throws IOException {
                connection.sendResponse(id, "OK", "late");
                events.add("cancelled " + id);
            }
        });
        start("\"effect\": \"free\"", "\"effect\": " + effect);
        Client first = new Client().query("a", 0);
        assertThat(nextEvent()).isEqualTo("part a.0");
        first.socket.close();
        assertThat(nextEvent()).isEqualTo("cancelled a.0");
        for (int i = 0; i < 20; i++) {
            assertThat(new Client().query("a", 0).readResponse()).isEqualTo("503 pushed back");
            TimeUnit.MILLISECONDS.sleep(SERVICE_TIME_MS);
        }
        assertThat(new Client().query("b", 0).readResponse()).startsWith("200 ");
        assertThat(events).containsExactly("part b.0");
    }

    /** Guards against second runs of queries of which many were sent at once by a client that has left. */
    @Test
    void idsOfManyQueriesSentAtOnceAreNotRunTwiceAfterTheirClientHasLeft() throws Exception {
        answers = new DelayedAnswers(fleet, () -> SERVICE_TIME_MS);
        start("\"effect\": \"free\"", "\"effect\": \"single_shot\"");
        for (int round = 0; round < 20; round++) {
            StringBuilder text = new StringBuilder();
            for (int i = 0; i < 60; i++) {
                text.append(buildRequest("r" + round + "-" + i, "2", buildBody(0, 1, 2)));
            }
            Client leaving = new Client().send(text.toString());
            TimeUnit.MILLISECONDS.sleep(15);
            leaving.socket.close();
            for (int i = 0; i < 3; i++) {
                TimeUnit.MILLISECONDS.sleep(2L * round);
                assertThat(new Client().query("r" + round + "-" + i, 0, 1, 2).readResponse())
                        .matches("(?s)(200|503) .*");
            }
        }
        awaitQuietServers();
        assertThat(answers.arrivalsNs)
                .allSatisfy((id, times) ->
                        assertThat(times).as("runs of part " + id).hasSize(1));
    }

    /** Guards against work for a client that has left with thousands of its requests unread. */
    @Test
    void requestsOfAClientThatHasLeftWithManyUnreadAreNotSent() throws Exception {
        assertNothingIsSentAfterDeparture(false);
    }

    /** Guards against the same after a reset. */
    @Test
    void requestsOfAClientThatHasResetItsConnectionWithManyUnreadAreNotSent() throws Exception {
        assertNothingIsSentAfterDeparture(true);
    }

    private void assertNothingIsSentAfterDeparture(boolean reset) throws Exception {
        answers = new DelayedAnswers(fleet, () -> SERVICE_TIME_MS);
        start();
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < 4000; i++) {
            text.append(buildRequest("q" + i, "2", buildBody(0, 1, 2)));
        }
        List<Client> leaving = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            leaving.add(new Client().send(text.toString().replace("Req-Id: ", "Req-Id: c" + i + "-")));
        }
        for (Client client : leaving) {
            client.socket.setSoLinger(reset, 0);
            client.socket.close();
        }
        long leftNs = System.nanoTime();
        TimeUnit.MILLISECONDS.sleep(1000);
        awaitQuietServers();
        assertThat(answers.arrivalsNs)
                .allSatisfy((id, times) -> assertThat(id.startsWith("quiet") ? leftNs : times.peek())
                        .as("first send of part " + id)
                        .isLessThan(leftNs + TimeUnit.MILLISECONDS.toNanos(MAX_SEND_AFTER_DEPARTURE_MS)));
    }
}
