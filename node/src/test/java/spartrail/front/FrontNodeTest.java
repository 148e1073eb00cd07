package spartrail.front;

import static org.assertj.core.api.Assertions.assertThat;

import example.ToyFleet;
import java.io.IOException;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Proxy;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import spartrail.config.DeploymentFile;
import spartrail.coordination.Coordinator;
import spartrail.model.Multiget;

/** The life cycle of a node: reloaded settings, faults in the coordinator, capacity, drain and close. */
class FrontNodeTest extends FrontNodeFixture {
    FrontNodeTest() throws IOException {}

    @Test
    void changedSettingsApplyAtOnceAndMultigetsInFlightAreAnswered() throws Exception {
        start();
        answerOnly("b");
        Client inFlight = new Client().query("a", 0);
        assertThat(nextEvent()).isEqualTo("part a.0");
        answerOnly("a", "b", "c");
        assertThat(node.reload(createDeployment(
                        "\"open-cap\": 187",
                        "\"open-cap\": 3",
                        "\"fall\": 1.0",
                        "\"fall\": 1.0, \"budget-window\": 0.1, \"min-extra\": 1, \"further-ratio\": 0.1")))
                .isEmpty();
        assertThat(new Client().query("b", 1).readResponse()).startsWith("503");
        // The new retry budget allows a hedged request for the multiget in flight, which is then answered.
        assertThat(inFlight.readResponse()).startsWith("200 {\"all_in\":true");
        assertThat(new Client().query("c", 1).readResponse()).startsWith("200 {\"all_in\":true");
        assertThat(node.reload(
                        createDeployment("\"slabs\": 4", "\"slabs\": 5", "\"open-cap\": 187", "\"open-cap\": 1")))
                .isEqualTo("slabs: found 5, in use 4");
        assertThat(new Client().query("c", 1).readResponse()).startsWith("200 {\"all_in\":true");
        assertThat(node.configurationSwitchCount()).isEqualTo(1);
    }

    @Test
    void changedSettingsApplyToOpenConnectionsAndToTheDrain() throws Exception {
        // With this keep-alive time an idle connection is closed after five minutes, long after the test has failed.
        start("\"keepalive\": 30.0", "\"keepalive\": 600.0");
        fleet.servers.forEach(server -> server.behavior = new ToyFleet.ServerBehavior() {
            @Override
            public void onDisconnected(ToyFleet.Connection connection) {
                events.add("idle connection closed");
            }
        });
        assertThat(new Client().query("a", 0).readResponse()).startsWith("200 ");
        assertThat(node.reload(createDeployment(
                        "\"keepalive\": 30.0",
                        "\"keepalive\": 0.4",
                        "\"aim\": 2.0, \"deadline\": 4.0",
                        "\"aim\": 0.2, \"deadline\": 0.3")))
                .isEmpty();
        assertThat(nextEvent()).isEqualTo("idle connection closed");
        long fromNs = System.nanoTime();
        node.drain();
        assertThat(System.nanoTime() - fromNs)
                .as("the drain, which must end within 1 s by the changed settings, within 3.7 s by the old ones")
                .isLessThan(2_000_000_000L);
    }

    @Test
    void queriesQueuedWhenTheNodeClosesAreAnswered() throws Exception {
        CountDownLatch placing = new CountDownLatch(1);
        CountDownLatch queued = new CountDownLatch(1);
        coordinatorDecorator = module -> (Coordinator) Proxy.newProxyInstance(
                Coordinator.class.getClassLoader(), new Class<?>[] {Coordinator.class}, (proxy, method, args) -> {
                    if (method.getName().equals("submit")) {
                        placing.countDown();
                        queued.await();
                    }
                    return method.invoke(module, args);
                });
        start();
        answerOnly();
        Client first = new Client().query("a", 0);
        placing.await();
        Client second = new Client().query("b", 0);
        // This request is sent after the second one, and so is read after it.
        assertThat(new Client().send(UP).readResponse()).isEqualTo("200 ");
        CompletableFuture<Void> closed = CompletableFuture.runAsync(() -> {
            try {
                node.close();
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
        });
        queued.countDown();
        assertThat(first.readResponse()).isIn("500 close failed", "503 close pushed back");
        assertThat(second.readResponse()).isIn("500 close failed", "503 close pushed back");
        closed.get(20, TimeUnit.SECONDS);
    }

    @Test
    void anUnansweredMultigetIsRejectedBeforeItsClientsTimeout() throws Exception {
        start("\"aim\": 2.0, \"deadline\": 4.0", "\"aim\": 0.3, \"deadline\": 0.6");
        answerOnly();
        assertThat(new Client().send(buildRequest("a", "0.5", buildBody(0, 1))).readResponse())
                .isEqualTo("503 pushed back");
    }

    @Test
    void anExceptionInTheCoordinatorFailsOnlyItsOwnMultiget() throws Exception {
        coordinatorDecorator = module -> (Coordinator) Proxy.newProxyInstance(
                Coordinator.class.getClassLoader(), new Class<?>[] {Coordinator.class}, (proxy, method, args) -> {
                    if (method.getName().equals("submit") && ((Multiget) args[0]).clientTimeLeftMs < 1000) {
                        throw new IllegalStateException("thrown by the test");
                    }
                    try {
                        return method.invoke(module, args);
                    } catch (InvocationTargetException e) {
                        throw e.getCause();
                    }
                });
        start();
        answerOnly("b");
        Client affected = new Client().send(buildRequest("a", "0.3", buildBody(0)));
        assertThat(new Client().query("b", 0).readResponse()).startsWith("200 ");
        assertThat(affected.readResponse()).isEqualTo("500 failed");
        expectedViolations = Map.of("a multiget is answered in the client's time", 1L);
    }

    @Test
    void queriesOverTheInFlightLimitAreRejectedAtOnce() throws Exception {
        start("\"open-cap\": 187", "\"open-cap\": 3");
        answerOnly("c");
        Client first = new Client().query("a", 0, 1);
        assertThat(nextEvent()).startsWith("part a.");
        assertThat(new Client().query("b", 2).readResponse()).isEqualTo("503 pushed back");
        first.socket.close();
        while (!nextEvent().startsWith("cancelled")) {
            // The cancellation of the first multiget frees its capacity.
        }
        assertThat(new Client().query("c", 2).readResponse()).startsWith("200 ");
    }

    /**
     * Drains a node with a request in flight whose client's timeout ends after the node's last response.
     *
     * @param answered whether the server answers the part of this request
     * @return the response to this request
     */
    private String drainWithRequestInFlight(boolean answered) throws Exception {
        start();
        CompletableFuture<ToyFleet.Connection> held = new CompletableFuture<>();
        fleet.servers.forEach(server -> server.behavior = new ToyFleet.ServerBehavior() {
            @Override
            public void onPart(ToyFleet.Connection connection, String id, int shard, String text) throws IOException {
                if (id.startsWith("a")) {
                    held.complete(connection);
                } else {
                    connection.sendResponse(id, "OK", text);
                }
            }
        });
        Client unused = new Client().send(UP);
        assertThat(unused.readResponse()).isEqualTo("200 ");
        CompletableFuture<Void> drained = CompletableFuture.runAsync(() -> {
            try {
                node.drain();
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
        });
        while (!unused.send(UP).readResponse().startsWith("503 ")) {
            // The drain has begun, but the listener does not report the node as not ready yet.
        }
        Client inFlight = new Client().query("a", 0);
        ToyFleet.Connection connection = held.get(20, TimeUnit.SECONDS);
        Client kept = new Client().query("b", 1);
        assertThat(kept.readResponse()).startsWith("200 {\"all_in\":true");
        assertThat(kept.query("c", 1).readResponse()).startsWith("200 {\"all_in\":true");
        assertThat(unused.readResponse()).isEqualTo("closed");
        assertThat(drained).isNotDone();
        if (answered) {
            connection.sendResponse("a.0", "OK", "late");
        }
        String last = inFlight.readResponse();
        drained.get(20, TimeUnit.SECONDS);
        return last;
    }

    @Test
    void aNodeReportsReadyToTheFirstRequestAfterItsStart() throws Exception {
        CountDownLatch started = new CountDownLatch(1);
        CompletableFuture<Boolean> startedEarly = new CompletableFuture<>();
        // Blocks the I/O thread, as on a machine with too few cores, until the start returns or 3 s are over.
        coordinatorDecorator = module -> {
            node.io.execute(() -> {
                try {
                    startedEarly.complete(started.await(3, TimeUnit.SECONDS));
                } catch (InterruptedException e) {
                    startedEarly.completeExceptionally(e);
                }
            });
            return module;
        };
        start();
        started.countDown();
        assertThat(startedEarly.get(20, TimeUnit.SECONDS))
                .as("the start returned before the listener could report the node ready")
                .isFalse();
        assertThat(new Client().send(UP).readResponse()).isEqualTo("200 ");
    }

    @Test
    void aNodeTerminatedDuringItsStartNeverReportsReadyAndEndsAtOnce() throws Exception {
        DeploymentFile deployment = createDeployment();
        node = new FrontNode(deployment, deployment.listen(), coordinatorDecorator);
        node.beginTermination();
        node.start();
        assertThat(new Client().send(UP).readResponse()).startsWith("503 ");
        long fromNs = System.nanoTime();
        node.drain();
        assertThat(System.nanoTime() - fromNs)
                .as("the drain, which takes 2.7 s for a node that has served")
                .isLessThan(2_000_000_000L);
    }

    @Test
    void aDrainingNodeServesNewClientsAndAnswersAllRequestsBeforeItIsKilled() throws Exception {
        assertThat(drainWithRequestInFlight(true)).startsWith("200 close {\"all_in\":true");
    }

    @Test
    void unansweredMultigetsAreRejectedBeforeADrainingNodeIsKilled() throws Exception {
        assertThat(drainWithRequestInFlight(false)).isEqualTo("503 close pushed back");
    }
}
