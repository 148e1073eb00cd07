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

/** A node from its start to its end: settings that change, faults in the decisions, capacity, drain and close. */
class FrontNodeTest extends FrontNodeFixture {
    FrontNodeTest() throws IOException {}

    @Test
    void appliesChangedSettingsAndKeepsWhatIsInFlight() throws Exception {
        start();
        answerOnly("b");
        Client inFlight = new Client().ask("a", 0);
        assertThat(next()).isEqualTo("part a.0");
        answerOnly("a", "b", "c");
        assertThat(node.reload(deployment(
                        "\"open-cap\": 187",
                        "\"open-cap\": 3",
                        "\"fall\": 1.0",
                        "\"fall\": 1.0, \"budget-window\": 0.1, \"min-extra\": 1, \"further-ratio\": 0.1")))
                .isEmpty();
        assertThat(new Client().ask("b", 1).answer()).startsWith("503");
        // Its copy leaves by the new budget, and what is in hand is answered.
        assertThat(inFlight.answer()).startsWith("200 {\"all_in\":true");
        assertThat(new Client().ask("c", 1).answer()).startsWith("200 {\"all_in\":true");
        assertThat(node.reload(deployment("\"slabs\": 4", "\"slabs\": 5", "\"open-cap\": 187", "\"open-cap\": 1")))
                .isEqualTo("slabs: found 5, served 4");
        assertThat(new Client().ask("c", 1).answer()).startsWith("200 {\"all_in\":true");
        assertThat(node.configurationSwitchCount()).isEqualTo(1);
    }

    @Test
    void changedSettingsHoldForOpenConnectionsAndForTheDrain() throws Exception {
        // By this it would be closed after five minutes, long after the test has failed.
        start("\"keepalive\": 30.0", "\"keepalive\": 600.0");
        fleet.servers.forEach(toy -> toy.behavior = new ToyFleet.ServerBehavior() {
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
    void anUnansweredMultigetIsRejectedWithinTheClientsTime() throws Exception {
        start("\"aim\": 2.0, \"deadline\": 4.0", "\"aim\": 0.3, \"deadline\": 0.6");
        answerOnly();
        assertThat(new Client().send(request("a", "0.5", body(0, 1))).answer()).isEqualTo("503 pushed back");
    }

    @Test
    void anExceptionInTheCoordinatorHurtsOneMultigetOnlyAndItIsAnswered() throws Exception {
        coordinatorDecorator = module -> (Coordinator) Proxy.newProxyInstance(
                Coordinator.class.getClassLoader(), new Class<?>[] {Coordinator.class}, (proxy, method, args) -> {
                    if (method.getName().equals("submit") && ((Multiget) args[0]).clientTimeLeftMs < 1000) {
                        throw new IllegalStateException("a fault made by the test");
                    }
                    try {
                        return method.invoke(module, args);
                    } catch (InvocationTargetException e) {
                        throw e.getCause();
                    }
                });
        start();
        answerOnly("b");
        Client hurt = new Client().send(request("a", "0.3", body(0)));
        assertThat(new Client().ask("b", 0).answer()).startsWith("200 ");
        assertThat(hurt.answer()).isEqualTo("500 failed");
        broken = Map.of("a multiget is answered in the client's time", 1L);
    }

    @Test
    void queriesOverTheInFlightLimitAreRejectedAtOnce() throws Exception {
        start("\"open-cap\": 187", "\"open-cap\": 3");
        answerOnly("c");
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
        fleet.servers.forEach(toy -> toy.behavior = new ToyFleet.ServerBehavior() {
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
        Client inFlight = new Client().ask("a", 0);
        ToyFleet.Link link = held.get(20, TimeUnit.SECONDS);
        Client kept = new Client().ask("b", 1);
        assertThat(kept.answer()).startsWith("200 {\"all_in\":true");
        assertThat(kept.ask("c", 1).answer()).startsWith("200 {\"all_in\":true");
        assertThat(unused.answer()).isEqualTo("closed");
        assertThat(drained).isNotDone();
        if (answered) {
            link.answer("a.0", "OK", "late");
        }
        String last = inFlight.answer();
        drained.get(20, TimeUnit.SECONDS);
        return last;
    }

    @Test
    void aStartedNodeReportsReadyToTheFirstWhoAsks() throws Exception {
        CountDownLatch started = new CountDownLatch(1);
        CompletableFuture<Boolean> early = new CompletableFuture<>();
        // The I/O thread is kept busy, as on a machine that has too few cores, until the start is over or long overdue.
        coordinatorDecorator = module -> {
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
    void aNodeTerminatedDuringItsStartNeverReportsReadyAndEndsAtOnce() throws Exception {
        DeploymentFile deployment = deployment();
        node = new FrontNode(deployment, deployment.listen(), coordinatorDecorator);
        node.beginTermination();
        node.start();
        assertThat(new Client().send(UP).answer()).startsWith("503 ");
        long fromNs = System.nanoTime();
        node.drain();
        assertThat(System.nanoTime() - fromNs)
                .as("one that has served takes 2.7 s")
                .isLessThan(2_000_000_000L);
    }

    @Test
    void aDrainingNodeServesNewClientsAndAnswersAllBeforeItIsKilled() throws Exception {
        assertThat(drained(true)).startsWith("200 close {\"all_in\":true");
    }

    @Test
    void unansweredMultigetsAreRejectedBeforeADrainingNodeIsKilled() throws Exception {
        assertThat(drained(false)).isEqualTo("503 close pushed back");
    }
}
