package spartrail.lab.plan;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.RejectionInversionZipfSampler;
import org.apache.commons.rng.sampling.distribution.SharedStateDiscreteSampler;

/**
 * One kind of traffic within a plan: the requests of its clients and their behavior. Random draws are made in a fixed
 * order.
 */
public final class TrafficStream {
    /** A value and how often it is drawn, relative to the sum of all shares. */
    public record Share<T>(T value, double share) {}

    /** The shards of a multiget: min to max of them, Pareto-distributed if these differ; contiguous or scattered. */
    public record ShardSelection(int shards, int min, int max, double exponent, boolean contiguous) {}

    /** Zipf-distributed keys; the hot set is replaced each {@code hotMovesEveryMs} (0: never). */
    public record Keys(int count, double exponent, double hotMovesEveryMs) {}

    /** Work of a part, lognormally distributed; a share of the multigets states it as a hint, with lognormal noise. */
    public record Work(double meanMs, double variation, double hintShare, double hintNoise) {}

    private static final int HOT_SET_STEP = 7_919;

    public final String name;
    public final double share;
    final List<String> phases;
    public final List<Share<String>> opTypes;
    public final ShardSelection shardSelection;
    final boolean evenWeights;
    final Work work;
    public final Keys keys;
    final List<Share<Integer>> textSizes;
    public final String zone;
    public final double timeoutMs;
    public final ClientBehavior behavior;

    /** A stream as a plan states it. */
    public TrafficStream(
            String name,
            double share,
            List<String> phases,
            List<Share<String>> opTypes,
            ShardSelection shardSelection,
            boolean evenWeights,
            Work work,
            Keys keys,
            List<Share<Integer>> textSizes,
            String zone,
            double timeoutMs,
            ClientBehavior behavior) {
        this.name = name;
        this.share = share;
        this.phases = phases;
        this.opTypes = opTypes;
        this.shardSelection = shardSelection;
        this.evenWeights = evenWeights;
        this.work = work;
        this.keys = keys;
        this.textSizes = textSizes;
        this.zone = zone;
        this.timeoutMs = timeoutMs;
        this.behavior = behavior;
    }

    /** Whether this stream has arrivals in the phase of that name. */
    boolean isActiveIn(String phase) {
        return phases.isEmpty() || phases.contains(phase);
    }

    /** Creates a generator of this stream's arrivals. */
    ArrivalGenerator createGenerator(RandomGenerator random) {
        return new ArrivalGenerator(random);
    }

    /** Generates the arrivals of the stream one by one. */
    final class ArrivalGenerator {
        private final RandomGenerator random;
        private final SharedStateDiscreteSampler zipf;

        private ArrivalGenerator(RandomGenerator random) {
            this.random = random;
            UniformRandomProvider source = random::nextLong;
            this.zipf = RejectionInversionZipfSampler.of(source, keys.count(), keys.exponent());
        }

        Arrival generate(long number, double atMs, int phase, boolean newConnection) {
            String opType = pick(opTypes, random);
            int rank = zipf.sample() - 1;
            // A step of 1 would keep nearly the same hot set; this step is a prime, hence coprime to most counts.
            long moves = keys.hotMovesEveryMs() > 0 ? (long) (atMs / keys.hotMovesEveryMs()) : 0;
            long key = Math.floorMod(rank + moves * HOT_SET_STEP, (long) keys.count());
            int[] shards = drawShards();
            double[] weights = drawWeights(shards.length);
            double workMs = work.meanMs() * drawLognormal(work.variation());
            boolean hinted = work.hintShare() > 0 && random.nextDouble() < work.hintShare();
            double costHintMs = hinted ? workMs * drawLognormal(work.hintNoise()) : 0;
            int textBytes = pick(textSizes, random);
            return new Arrival(
                    number,
                    atMs,
                    phase,
                    TrafficStream.this,
                    opType,
                    "k" + key,
                    shards,
                    weights,
                    workMs,
                    costHintMs,
                    textBytes,
                    timeoutMs,
                    newConnection,
                    random.nextLong());
        }

        private double drawLognormal(double variation) {
            double sigma2 = Math.log(1 + variation * variation);
            return Math.exp(random.nextGaussian() * Math.sqrt(sigma2) - sigma2 / 2);
        }

        private int[] drawShards() {
            int count = shardSelection.min();
            if (shardSelection.max() > shardSelection.min()) {
                // Pareto distribution with minimum min, truncated at max.
                double drawn = shardSelection.min() / Math.pow(1 - random.nextDouble(), 1 / shardSelection.exponent());
                count = (int) Math.min(shardSelection.max(), Math.floor(drawn));
            }
            int[] shards = new int[count];
            if (shardSelection.contiguous()) {
                int first = random.nextInt(shardSelection.shards());
                for (int i = 0; i < count; i++) {
                    shards[i] = (first + i) % shardSelection.shards();
                }
            } else {
                // Floyd's algorithm draws distinct numbers.
                List<Integer> drawn = new ArrayList<>();
                for (int top = shardSelection.shards() - count; top < shardSelection.shards(); top++) {
                    int draw = random.nextInt(top + 1);
                    drawn.add(drawn.contains(draw) ? top : draw);
                }
                for (int i = 0; i < count; i++) {
                    shards[i] = drawn.get(i);
                }
            }
            return shards;
        }

        private double[] drawWeights(int count) {
            double[] weights = new double[count];
            double sum = 0;
            for (int i = 0; i < count; i++) {
                weights[i] = evenWeights ? 1 : 0.1 - Math.log(1 - random.nextDouble());
                sum += weights[i];
            }
            for (int i = 0; i < count; i++) {
                weights[i] /= sum;
            }
            return weights;
        }
    }

    static <T> T pick(List<Share<T>> shares, RandomGenerator random) {
        double sum = 0;
        for (Share<T> share : shares) {
            sum += share.share();
        }
        double draw = random.nextDouble() * sum;
        for (Share<T> share : shares) {
            draw -= share.share();
            if (draw < 0) {
                return share.value();
            }
        }
        return shares.get(shares.size() - 1).value();
    }

    /** Creates the random generator of one client. */
    public static RandomGenerator random(long seed) {
        return new SplittableRandom(seed);
    }
}
