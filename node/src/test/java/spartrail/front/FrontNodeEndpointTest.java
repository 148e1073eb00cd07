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

/** What a node does when its servers drain, die or change, and when discovery is silent. */
class FrontNodeEndpointTest extends FrontNodeFixture {
    FrontNodeEndpointTest() throws IOException {}

    /**
     * A module that, once it has decided on a multiget with connections open to all, tells that the server chosen is
     * to drain; with the I/O thread paused
     * until discovery has written it, or with its own thread paused until it has been read.
     */
    private void drainsWhatIsChosen(boolean ioPaused) throws Exception {
        CompletableFuture<String> drained = new CompletableFuture<>();
        AtomicBoolean armed = new AtomicBoolean();
        coordinatorDecorator = module -> (Coordinator) Proxy.newProxyInstance(
                Coordinator.class.getClassLoader(), new Class<?>[] {Coordinator.class}, (proxy, method, args) -> {
                    Object decided = method.invoke(module, args);
                    if (method.getName().equals("submit") && armed.getAndSet(false)) {
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
        fleet.servers.forEach(toy -> toy.behavior = new ToyFleet.ServerBehavior() {
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
            fleet.publish(toy, "DRAINING");
            fleet.awaitPublished(read);
            // The pause itself: longer than what is known of the sockets may be old.
            new CountDownLatch(1).await(100, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    @Test
    void aDecisionOvertakenByAnEndpointUpdateInItsIterationIsTakenAgain() throws Exception {
        drainsWhatIsChosen(false);
    }

    @Test
    void aFrameDelayedByAPauseWaitsUntilTheSocketsAreRead() throws Exception {
        drainsWhatIsChosen(true);
    }

    @Test
    void aQueryBeforeDiscoveryAnswersIsNotServedByTheOldList() throws Exception {
        asksBeforeDiscoveryWasHeard(0);
    }

    @Test
    void aQueryBeforeDiscoveryAnswersIsNotServedByTheOldListForTheOtherReplica() throws Exception {
        asksBeforeDiscoveryWasHeard(1);
    }

    /** One of the two replicas of shard 0 drains, as discovery tells once the request is under way. */
    private void asksBeforeDiscoveryWasHeard(int draining) throws Exception {
        fleet.silent = true;
        answerOnly("a");
        ToyFleet.Toy old = fleet.servers.get(draining);
        old.behavior = new ToyFleet.ServerBehavior() {
            @Override
            public void part(ToyFleet.Link link, String id, int shard, String text) throws IOException {
                seen.add("sent to the old one");
                link.answer(id, "OK", text);
            }
        };
        CompletableFuture<String> early = CompletableFuture.supplyAsync(() -> {
            try {
                fleet.awaitPolled();
                Client client = new Client().ask("a", 0);
                // One that went by the old list would have sent it by then; one that waits is not heard of.
                String sent = seen.poll(100, TimeUnit.MILLISECONDS);
                if (sent != null) {
                    seen.add("before discovery was heard: " + sent);
                }
                fleet.publish(old, "DRAINING");
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
    void aPartIsRetriedElsewhereWhenItsServerDiesOrSendsMalformedFrames() throws Exception {
        start();
        fleet.kill(fleet.servers.get(0));
        fleet.servers.get(2).behavior = new ToyFleet.ServerBehavior() {
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
    void endpointUpdatesAreAppliedAndASilentDiscoveryEndsNothing() throws Exception {
        fleet.silent = true;
        start();
        answerOnly("a", "b", "c", "d");
        assertThat(new Client().ask("a", 0).answer()).startsWith("200 ");
        assertThat(next()).isEqualTo("part a.0");
        fleet.publish(fleet.servers.get(0), "DRAINING");
        fleet.silent = false;
        ToyFleet.ServerBehavior behavior = fleet.servers.get(0).behavior;
        fleet.servers.get(0).behavior = new ToyFleet.ServerBehavior() {
            @Override
            public void part(ToyFleet.Link link, String id, int shard, String text) throws IOException {
                seen.add("still sent to");
                behavior.part(link, id, shard, text);
            }
        };
        // Once the change is told, all of a burst goes round the draining server.
        for (int tries = 0; node.endpointUpdateCount() < 2 && tries < 2000; tries++) {
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
    void aNodeWithASubsetUsesItsServersInItsOrderOfPreference() throws Exception {
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
        fleet.servers.forEach(toy -> toy.behavior = new ToyFleet.ServerBehavior() {
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
        fleet.publish(first, "DELETED");
        start(subset);
        Client waiting = new Client().ask("held", 0);
        assertThat(next()).isEqualTo("held.0 at " + second.uid);
        fleet.publish(first, "SERVING");
        fleet.awaitPublished(true);
        for (String id : List.of("a", "b", "c")) {
            assertThat(new Client().ask(id, 0).answer()).startsWith("200 ");
            assertThat(next()).isEqualTo(id + ".0 at " + first.uid);
        }
        held.get(20, TimeUnit.SECONDS).answer("held.0", "OK", "t");
        assertThat(waiting.answer()).startsWith("200 {\"all_in\":true");
        fleet.publish(first, "DRAINING");
        fleet.awaitPublished(true);
        assertThat(new Client().ask("d", 0).answer()).startsWith("200 ");
        assertThat(next()).isEqualTo("d.0 at " + second.uid);
    }
}
