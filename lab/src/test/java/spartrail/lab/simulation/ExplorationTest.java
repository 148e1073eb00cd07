package spartrail.lab.simulation;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import spartrail.peers.GossipTimings;

class ExplorationTest {
    @Test
    void noSeedBreaksARuleAndEachIsTheSameRunTwice() {
        Exploration.Result first = Exploration.explore(1, 150, 3, 30, done -> {});
        assertThat(first.found()).isEmpty();
        assertThat(first.changes()).isGreaterThan(10_000);
        assertThat(Exploration.explore(1, 150, 3, 30, done -> {}).hash()).isEqualTo(first.hash());
    }

    @Test
    void eachPlantedFaultIsFound() throws Exception {
        assertThat(Mutations.run(Path.of("."), Mutations.PEERS, 1, 120, 60))
                .allMatch(Mutations.Outcome::isCaught)
                .hasSize(Mutations.PEERS.size());
    }

    /** Scripts that broke a rule in the peers' first version, as they were shrunk then: seeds draw other scripts since. */
    @Test
    void scriptsThatOnceBrokeARuleHold() {
        Fault left =
                new Fault(12_768, Fault.Kind.LEAVE, List.of(2, 4, 5, 7, 8, 9, 10, 11, 13, 15, 16, 17), List.of(), 0, 0);
        Fault cut = new Fault(15_848, Fault.Kind.CUT, List.of(0, 1, 3, 5, 8), List.of(), 5834, 0);
        for (PeersScenario trial :
                List.of(new PeersScenario(6, 18, List.of(left, cut)), new PeersScenario(179, 28, List.of()))) {
            assertThat(trial.play(GossipTimings.DEFAULT, false).breaches())
                    .as(trial.script())
                    .isEmpty();
        }
    }

    /** A hundred nodes at once that know one address only, and nobody is there; later somebody is. */
    @Test
    void nodesWhoseOnlySeedIsDownMeetWhenItComes() {
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
        assertThat(before).as("messages while nobody is there").isLessThan(99 * 15);
        network.runUntil(60_000);
        simulation.checkSettled();
        assertThat(simulation.rules().breaches()).isEmpty();
    }
}
