package spartrail.front;

import static org.assertj.core.api.Assertions.assertThat;

import example.ToyFleet;
import java.io.IOException;
import java.lang.reflect.Proxy;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.Test;
import spartrail.coordination.Coordinator;
import spartrail.model.Decisions;
import spartrail.subset.SubsetSelector;

/** A node whose servers drain, fail or change, or whose discovery does not answer. */
class FrontNodeEndpointTest extends FrontNodeFixture {
    FrontNodeEndpointTest() throws IOException {}

    /**
     * Publishes that a server drains just after the coordinator has chosen it for an attempt, while connections to all
     * replicas are open. Pauses either the I/O thread until discovery has written the update, or the coordinator's
     * thread until the update has been read. The attempt must not be sent to that server.
     */
    private void drainChosenServerDuringPause(boolean ioPaused) throws Exception {
        CompletableFuture<String> drained = new CompletableFuture<>();
        AtomicBoolean armed = new AtomicBoolean();
        coordinatorDecorator = module -> (Coordinator) Proxy.newProxyInstance(
                Coordinator.class.getClassLoader(), new Class<?>[] {Coordinator.class}, (proxy, method, args) -> {
                    Object decisions = method.invoke(module, args);
                    if (method.getName().equals("submit") && armed.getAndSet(false)) {
                        String uid = ((Decisions) decisions).attempts.get(0).server.id;
                        ToyFleet.Server server = fleet.servers.stream()
                                .filter(candidate -> candidate.uid.equals(uid))
                                .findFirst()
                                .orElseThrow();
                        if (ioPaused) {
                            node.io.execute(() -> drain(server, false));
                        } else {
                            drain(server, true);
                        }
                        drained.complete(uid);
                    }
                    return decisions;
                });
        start("\"stop-sending-within\": 0.5", "\"stop-sending-within\": 0");
        fleet.servers.forEach(server -> server.behavior = new ToyFleet.ServerBehavior() {
            @Override
            public void onPart(ToyFleet.Connection connection, String id, int shard, String text) throws IOException {
                events.add(server.uid);
                connection.sendResponse(id, "OK", text);
            }
        });
        Client client = new Client();
        for (String id : List.of("b", "c", "d", "e")) {
            assertThat(client.query(id, 0).readResponse()).startsWith("200 {\"all_in\":true");
        }
        assertThat(Set.copyOf(events)).as("replicas with a connection").hasSize(2);
        events.clear();
        armed.set(true);
        assertThat(client.query("a", 0).readResponse()).startsWith("200 {\"all_in\":true");
        assertThat(events).hasSize(1).doesNotContain(drained.get());
    }

    private void drain(ToyFleet.Server server, boolean received) {
        try {
            fleet.publish(server, "DRAINING");
            fleet.awaitPublished(received);
            // The pause is longer than the age limit of a socket poll.
            new CountDownLatch(1).await(100, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    @Test
    void anAttemptToAServerThatDrainsInTheSameIterationIsSentElsewhere() throws Exception {
        drainChosenServerDuringPause(false);
    }

    @Test
    void aFrameDelayedByAPauseWaitsUntilTheSocketsAreRead() throws Exception {
        drainChosenServerDuringPause(true);
    }

    @Test
    void aQueryBeforeDiscoveryAnswersIsNotSentToADrainingFirstReplica() throws Exception {
        queryBeforeDiscoveryAnswers(0);
    }

    @Test
    void aQueryBeforeDiscoveryAnswersIsNotSentToADrainingSecondReplica() throws Exception {
        queryBeforeDiscoveryAnswers(1);
    }

    /** Sends a query while discovery is silent; discovery then answers that one of shard 0's two replicas drains. */
    private void queryBeforeDiscoveryAnswers(int drainingReplica) throws Exception {
        fleet.silent = true;
        answerOnly("a");
        ToyFleet.Server draining = fleet.servers.get(drainingReplica);
        draining.behavior = new ToyFleet.ServerBehavior() {
            @Override
            public void onPart(ToyFleet.Connection connection, String id, int shard, String text) throws IOException {
                events.add("sent to the draining replica");
                connection.sendResponse(id, "OK", text);
            }
        };
        CompletableFuture<String> response = CompletableFuture.supplyAsync(() -> {
            try {
                fleet.awaitPolled();
                Client client = new Client().query("a", 0);
                // A node that used the old list would have sent the part by now; one that waits causes no event.
                String event = events.poll(100, TimeUnit.MILLISECONDS);
                if (event != null) {
                    events.add("before discovery answered: " + event);
                }
                fleet.publish(draining, "DRAINING");
                fleet.silent = false;
                return client.readResponse();
            } catch (IOException | InterruptedException e) {
                throw new IllegalStateException(e);
            }
        });
        start();
        assertThat(response.get(20, TimeUnit.SECONDS)).startsWith("200 ");
        assertThat(events).containsExactly("part a.0");
    }

    @Test
    void aPartIsRetriedElsewhereWhenItsServerFailsOrSendsMalformedFrames() throws Exception {
        start();
        fleet.kill(fleet.servers.get(0));
        fleet.servers.get(2).behavior = new ToyFleet.ServerBehavior() {
            @Override
            public void onPart(ToyFleet.Connection connection, String id, int shard, String text) throws IOException {
                connection.sendBytes(new byte[] {0, 0, 0, 1, 'Q'});
            }
        };
        Client client = new Client();
        assertThat(client.query("a", 0, 1, 2, 3).readResponse()).startsWith("200 {\"all_in\":true");
        assertThat(client.query("b", 0, 1, 2, 3).readResponse()).startsWith("200 {\"all_in\":true");
    }

    @Test
    void endpointUpdatesAreAppliedAndRequestsAreServedWhileDiscoveryIsSilent() throws Exception {
        fleet.silent = true;
        start();
        answerOnly("a", "b", "c", "d");
        assertThat(new Client().query("a", 0).readResponse()).startsWith("200 ");
        assertThat(nextEvent()).isEqualTo("part a.0");
        fleet.publish(fleet.servers.get(0), "DRAINING");
        fleet.silent = false;
        ToyFleet.ServerBehavior behavior = fleet.servers.get(0).behavior;
        fleet.servers.get(0).behavior = new ToyFleet.ServerBehavior() {
            @Override
            public void onPart(ToyFleet.Connection connection, String id, int shard, String text) throws IOException {
                events.add("sent to the draining server");
                behavior.onPart(connection, id, shard, text);
            }
        };
        // Once the update is applied, no part of the following multigets may be sent to the draining server.
        for (int polls = 0; node.endpointUpdateCount() < 2 && polls < 2000; polls++) {
            TimeUnit.MILLISECONDS.sleep(10);
        }
        Client client = new Client();
        for (String id : List.of("b", "c", "d")) {
            assertThat(client.query(id, 0, 3).readResponse()).startsWith("200 ");
        }
        assertThat(events).hasSize(6).doesNotContain("sent to the draining server");
    }

    /** A server that leaves the subset answers the parts that it has received, and gets no new ones. */
    @Test
    void aNodeWithASubsetUsesTheServerThatItPrefersMost() throws Exception {
        String[] subset = {
            "\"tick\": 0.005",
            "\"tick\": 0.005, \"subset\": {\"replicasPerShard\": 1, \"leastZones\": 1}",
            "\"sets\": 4, \"width\": 2",
            "\"sets\": 2, \"width\": 1"
        };
        SubsetSelector selector = createDeployment(subset).createSubsetSelector();
        selector.apply(
                List.of(
                        new SubsetSelector.LiveServer("s-0", "a", 0, 1),
                        new SubsetSelector.LiveServer("s-2", "a", 2, 1)),
                List.of());
        ToyFleet.Server first = fleet.servers.get(
                Integer.parseInt(selector.selectedReplicas(0).get(0).substring(2)));
        ToyFleet.Server second = fleet.servers.get(2 - first.cell);
        CompletableFuture<ToyFleet.Connection> held = new CompletableFuture<>();
        fleet.servers.forEach(server -> server.behavior = new ToyFleet.ServerBehavior() {
            @Override
            public void onPart(ToyFleet.Connection connection, String id, int shard, String text) throws IOException {
                events.add(id + " at " + server.uid);
                if (id.startsWith("held")) {
                    held.complete(connection);
                } else {
                    connection.sendResponse(id, "OK", text);
                }
            }
        });
        fleet.publish(first, "DELETED");
        start(subset);
        Client waiting = new Client().query("held", 0);
        assertThat(nextEvent()).isEqualTo("held.0 at " + second.uid);
        fleet.publish(first, "SERVING");
        fleet.awaitPublished(true);
        for (String id : List.of("a", "b", "c")) {
            assertThat(new Client().query(id, 0).readResponse()).startsWith("200 ");
            assertThat(nextEvent()).isEqualTo(id + ".0 at " + first.uid);
        }
        held.get(20, TimeUnit.SECONDS).sendResponse("held.0", "OK", "t");
        assertThat(waiting.readResponse()).startsWith("200 {\"all_in\":true");
        fleet.publish(first, "DRAINING");
        fleet.awaitPublished(true);
        assertThat(new Client().query("d", 0).readResponse()).startsWith("200 ");
        assertThat(nextEvent()).isEqualTo("d.0 at " + second.uid);
    }
}
