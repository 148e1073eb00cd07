package spartrail.coordination;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import spartrail.subset.SharingBound;

/** A cold server falls under the sum of what all front nodes send it, so that is what is counted here. */
class ColdFleetTest {
    private static final double SERVICE_MS = 20;
    private static final int REPLICAS = 8;

    /** So many nodes, some with several times the queries of others; together they use this share of the warm servers. */
    private static List<ColdFleet.Node> uneven(
            int count, double used, int cores, int leastReplicas, double toldLeast, double toldMost, long seed) {
        Random random = new Random(seed);
        double[] weights = random.doubles(count, 0.2, 3).toArray();
        double sum = 0;
        for (double weight : weights) {
            sum += weight;
        }
        List<ColdFleet.Node> nodes = new ArrayList<>();
        for (double weight : weights) {
            double told = count * (toldLeast + (toldMost - toldLeast) * random.nextDouble());
            nodes.add(new ColdFleet.Node(
                    (int) Math.max(1, Math.round(told)),
                    used * cores * REPLICAS / SERVICE_MS * weight / sum,
                    leastReplicas + random.nextInt(REPLICAS - leastReplicas + 1)));
        }
        return nodes;
    }

    private static double worst(
            int count, double used, int cores, int cells, double toldLeast, double toldMost, long seed) {
        return new ColdFleet(seed, SERVICE_MS, cores)
                .play(uneven(count, used, cores, REPLICAS, toldLeast, toldMost, seed), cells);
    }

    @Test
    void twentyToThirtyNodesThatAreToldOfOtherCountsBringNoColdServerDown() {
        for (int count : new int[] {20, 30}) {
            for (int cores : new int[] {1, 4}) {
                for (double used : new double[] {0.3, 0.6, 0.8}) {
                    assertThat(worst(count, used, cores, REPLICAS, 0.5, 1.5, count))
                            .as("%d nodes, %d cores, %.1f used", count, cores, used)
                            .isLessThan(1);
                }
            }
        }
    }

    /**
     * Of 3,900 nodes, those that have the cold server in their subsets: as many as the figure counts, which one server in a million
     * has, or as on average, where each node's count of all nodes is wrong by up to a half, or everyone's is.
     */
    @Test
    void nodesThatShareAServerByTheirSubsetsDoNotBringItDownWhenItIsCold() {
        double inclusion = REPLICAS / 248.0;
        int mean = (int) Math.round(3900 * inclusion);
        int most = SharingBound.nodesPerServer(3900, inclusion);
        double half = SharingBound.nodesPerServer(3900 / 2, inclusion) / (double) mean;
        double more = SharingBound.nodesPerServer(3900 * 3 / 2, inclusion) / (double) mean;
        for (int cores : new int[] {1, 4}) {
            for (double used : new double[] {0.3, 0.6, 0.8}) {
                assertThat(worst(most, used, cores, 1, 1, 1, 1))
                        .as("%d sharing, %d cores, %.1f used", most, cores, used)
                        .isLessThan(1);
                assertThat(worst(mean, used, cores, 1, half, more, 2))
                        .as("counts differ, %d cores, %.1f used", cores, used)
                        .isLessThan(1);
                assertThat(worst(mean, used, cores, 1, half, half, 3))
                        .as("half counted, %d cores, %.1f used", cores, used)
                        .isLessThan(1);
            }
        }
    }

    /** Lists that differ: each node's names from half to all of the replicas, the cold one among them. */
    @Test
    void nodesWhoseListsDifferDoNotBringItDown() {
        int mean = (int) Math.round(3900 * REPLICAS / 248.0);
        for (int count : new int[] {20, 30, mean}) {
            for (int cores : new int[] {1, 4}) {
                for (double used : new double[] {0.3, 0.6, 0.8}) {
                    List<ColdFleet.Node> nodes = uneven(count, used, cores, REPLICAS / 2, 0.5, 1.5, count);
                    assertThat(new ColdFleet(count, SERVICE_MS, cores).play(nodes, 1))
                            .as("%d nodes, %d cores, %.1f used", count, cores, used)
                            .isLessThan(1);
                }
            }
        }
    }

    @Test
    void twentyToThirtyNodesWithSeveralServersToACellBringNoColdServerDown() {
        for (int count : new int[] {20, 30, 60}) {
            for (double used : new double[] {0.3, 0.6, 0.8}) {
                assertThat(worst(count, used, 1, 1, 0.5, 1.5, count))
                        .as("%d nodes, %.1f used", count, used)
                        .isLessThan(1);
            }
        }
    }

    /** The check bites: the same fleet, each of whose nodes reckons to be alone. */
    @Test
    void nodesThatEachReckonToBeAloneWouldBringItDown() {
        assertThat(worst(30, 0.6, 1, REPLICAS, 0, 0, 30)).isGreaterThan(1);
    }
}
