package spartrail.lab.simulation;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import spartrail.peers.GossipTimings;

class ExplorationTest {
    @Test
    void noSeedBreaksARuleAndASecondRunGivesTheSameHash() {
        Exploration.Result first = Exploration.explore(1, 150, 3, 30, done -> {});
        assertThat(first.found()).isEmpty();
        assertThat(first.changes()).isGreaterThan(10_000);
        assertThat(Exploration.explore(1, 150, 3, 30, done -> {}).hash()).isEqualTo(first.hash());
    }

    @Test
    void eachMutationIsDetected() throws Exception {
        assertThat(Mutations.run(Path.of("."), Mutations.PEERS, 1, 120, 60))
                .allMatch(Mutations.Outcome::isCaught)
                .hasSize(Mutations.PEERS.size());
    }

    /**
     * Shrunk scripts that broke a rule in the first version of peers. Today's generator draws other scripts from
     * these seeds.
     */
    @Test
    void scriptsThatOnceBrokeARuleBreakNoneNow() {
        Fault leave =
                new Fault(12_768, Fault.Kind.LEAVE, List.of(2, 4, 5, 7, 8, 9, 10, 11, 13, 15, 16, 17), List.of(), 0, 0);
        Fault cut = new Fault(15_848, Fault.Kind.CUT, List.of(0, 1, 3, 5, 8), List.of(), 5834, 0);
        for (PeersScenario scenario :
                List.of(new PeersScenario(6, 18, List.of(leave, cut)), new PeersScenario(179, 28, List.of()))) {
            assertThat(scenario.play(GossipTimings.DEFAULT, false).breaches())
                    .as(scenario.script())
                    .isEmpty();
        }
    }

    /**
     * 99 nodes start while their only seed node is down; they must find each other once it starts, without flooding
     * its address before.
     */
    @Test
    void nodesWhoseOnlySeedNodeIsDownMeetWhenItStarts() {
        PeersSimulation simulation = new PeersSimulation(100, GossipTimings.DEFAULT, message -> message);
        simulation.setSeedsPerNode(1);
        SimulatedNetwork<spartrail.peers.PeerMessage> network = new SimulatedNetwork<>(100, 7, 4, simulation);
        simulation.attachTo(network);
        for (int node = 1; node < 100; node++) {
            network.startAt(node, 10 * node);
        }
        network.startAt(0, 30_000);
        network.runUntil(30_000);
        long before = network.messages();
        assertThat(before).as("messages while the seed node is down").isLessThan(99 * 15);
        network.runUntil(60_000);
        simulation.checkSettled();
        assertThat(simulation.rules().breaches()).isEmpty();
    }
}
