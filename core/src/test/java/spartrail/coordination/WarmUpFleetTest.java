package spartrail.coordination;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import spartrail.subset.SharingBound;

/**
 * A server that warms up collapses if all front nodes together send it too many attempts, so the sum over all nodes is
 * checked.
 */
class WarmUpFleetTest {
    private static final double SERVICE_MS = 20;
    private static final int REPLICAS = 8;

    /**
     * Creates nodes with different query rates, some several times as high as others. Together the nodes use this share
     * of the capacity of the warm servers.
     */
    private static List<WarmUpFleet.Node> createUnevenNodes(
            int count,
            double utilization,
            int cores,
            int minReplicas,
            double minAssumedShare,
            double maxAssumedShare,
            long seed) {
        Random random = new Random(seed);
        double[] weights = random.doubles(count, 0.2, 3).toArray();
        double sum = 0;
        for (double weight : weights) {
            sum += weight;
        }
        List<WarmUpFleet.Node> nodes = new ArrayList<>();
        for (double weight : weights) {
            double assumedNodes = count * (minAssumedShare + (maxAssumedShare - minAssumedShare) * random.nextDouble());
            nodes.add(new WarmUpFleet.Node(
                    (int) Math.max(1, Math.round(assumedNodes)),
                    utilization * cores * REPLICAS / SERVICE_MS * weight / sum,
                    minReplicas + random.nextInt(REPLICAS - minReplicas + 1)));
        }
        return nodes;
    }

    private static double simulateWorstOverload(
            int count,
            double utilization,
            int cores,
            int cells,
            double minAssumedShare,
            double maxAssumedShare,
            long seed) {
        return new WarmUpFleet(seed, SERVICE_MS, cores)
                .simulateWorstOverload(
                        createUnevenNodes(count, utilization, cores, REPLICAS, minAssumedShare, maxAssumedShare, seed),
                        cells);
    }

    @Test
    void nodesThatAssumeWrongNodeCountsDoNotOverloadAServerThatWarmsUp() {
        for (int count : new int[] {20, 30}) {
            for (int cores : new int[] {1, 4}) {
                for (double utilization : new double[] {0.3, 0.6, 0.8}) {
                    assertThat(simulateWorstOverload(count, utilization, cores, REPLICAS, 0.5, 1.5, count))
                            .as("%d nodes, %d cores, %.1f used", count, cores, utilization)
                            .isLessThan(1);
                }
            }
        }
    }

    /**
     * The nodes are those of 3,900 that have the restarted server in their subsets. Three cases: the number of nodes
     * that {@link SharingBound} computes, which at most one server in a million exceeds; the average number, where each
     * node's count of all nodes is wrong by up to a half; the average number, where every node counts half of all
     * nodes.
     */
    @Test
    void nodesWhoseSubsetsShareAServerDoNotOverloadItWhileItWarmsUp() {
        double inclusion = REPLICAS / 248.0;
        int mean = (int) Math.round(3900 * inclusion);
        int most = SharingBound.nodesPerServer(3900, inclusion);
        double half = SharingBound.nodesPerServer(3900 / 2, inclusion) / (double) mean;
        double more = SharingBound.nodesPerServer(3900 * 3 / 2, inclusion) / (double) mean;
        for (int cores : new int[] {1, 4}) {
            for (double utilization : new double[] {0.3, 0.6, 0.8}) {
                assertThat(simulateWorstOverload(most, utilization, cores, 1, 1, 1, 1))
                        .as("%d sharing, %d cores, %.1f used", most, cores, utilization)
                        .isLessThan(1);
                assertThat(simulateWorstOverload(mean, utilization, cores, 1, half, more, 2))
                        .as("counts differ, %d cores, %.1f used", cores, utilization)
                        .isLessThan(1);
                assertThat(simulateWorstOverload(mean, utilization, cores, 1, half, half, 3))
                        .as("half counted, %d cores, %.1f used", cores, utilization)
                        .isLessThan(1);
            }
        }
    }

    /** Each node's endpoint list contains half to all of the replicas, and always the restarted server. */
    @Test
    void nodesWhoseEndpointListsDifferDoNotOverloadAServerThatWarmsUp() {
        int mean = (int) Math.round(3900 * REPLICAS / 248.0);
        for (int count : new int[] {20, 30, mean}) {
            for (int cores : new int[] {1, 4}) {
                for (double utilization : new double[] {0.3, 0.6, 0.8}) {
                    List<WarmUpFleet.Node> nodes =
                            createUnevenNodes(count, utilization, cores, REPLICAS / 2, 0.5, 1.5, count);
                    assertThat(new WarmUpFleet(count, SERVICE_MS, cores).simulateWorstOverload(nodes, 1))
                            .as("%d nodes, %d cores, %.1f used", count, cores, utilization)
                            .isLessThan(1);
                }
            }
        }
    }

    @Test
    void nodesWithSeveralServersInACellDoNotOverloadOneThatWarmsUp() {
        for (int count : new int[] {20, 30, 60}) {
            for (double utilization : new double[] {0.3, 0.6, 0.8}) {
                assertThat(simulateWorstOverload(count, utilization, 1, 1, 0.5, 1.5, count))
                        .as("%d nodes, %.1f used", count, utilization)
                        .isLessThan(1);
            }
        }
    }

    /** Shows that the check detects an overload: each node of the same fleet assumes that it is the only one. */
    @Test
    void nodesThatEachAssumeToBeTheOnlyNodeOverloadAServerThatWarmsUp() {
        assertThat(simulateWorstOverload(30, 0.6, 1, REPLICAS, 0, 0, 30)).isGreaterThan(1);
    }
}
