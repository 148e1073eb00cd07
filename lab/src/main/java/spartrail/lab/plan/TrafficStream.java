package spartrail.lab.plan;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.RejectionInversionZipfSampler;
import org.apache.commons.rng.sampling.distribution.SharedStateDiscreteSampler;

/** One kind of traffic within a plan: what its clients ask and how they behave. Draws are in a fixed order. */
public final class TrafficStream {
    /** A value and how often it is drawn, as a part of the sum of all shares. */
    public record Share<T>(T value, double share) {}

    /** How many shards a multiget touches: from least to most, fixed where they are equal, else with a Pareto tail. */
    public record Touches(int of, int least, int most, double exponent, boolean run) {}

    /** Keys by Zipf; the hot ones become others each time so long has passed (0: never). */
    public record Keys(int count, double exponent, double hotMovesEveryMs) {}

    /** Work of a part: lognormal by mean and coefficient of variation; hinted in this share of multigets. */
    public record Work(double meanMs, double variation, double hintShare, double hintNoise) {}

    public final String name;
    public final double share;
    final List<String> phases;
    public final List<Share<String>> opTypes;
    public final Touches touches;
    final boolean evenWeights;
    final Work work;
    public final Keys keys;
    final List<Share<Integer>> texts;
    public final String zone;
    public final double clientMs;
    public final ClientBehavior habit;

    public TrafficStream(
            String name,
            double share,
            List<String> phases,
            List<Share<String>> opTypes,
            Touches touches,
            boolean evenWeights,
            Work work,
            Keys keys,
            List<Share<Integer>> texts,
            String zone,
            double clientMs,
            ClientBehavior habit) {
        this.name = name;
        this.share = share;
        this.phases = phases;
        this.opTypes = opTypes;
        this.touches = touches;
        this.evenWeights = evenWeights;
        this.work = work;
        this.keys = keys;
        this.texts = texts;
        this.zone = zone;
        this.clientMs = clientMs;
        this.habit = habit;
    }

    boolean in(String phase) {
        return phases.isEmpty() || phases.contains(phase);
    }

    /** A fresh drawing of what this stream asks. */
    Drawing drawing(RandomGenerator chance) {
        return new Drawing(chance);
    }

    /** Draws one multiget after the other. */
    final class Drawing {
        private final RandomGenerator chance;
        private final SharedStateDiscreteSampler zipf;

        private Drawing(RandomGenerator chance) {
            this.chance = chance;
            UniformRandomProvider source = chance::nextLong;
            this.zipf = RejectionInversionZipfSampler.of(source, keys.count(), keys.exponent());
        }

        Arrival next(long number, double atMs, int phase, boolean fresh) {
            String opType = pick(opTypes, chance);
            int rank = zipf.sample() - 1;
            // Danger: a hot set that moves by one would be nearly the same set; it moves by a step prime to most
            // counts.
            long moves = keys.hotMovesEveryMs() > 0 ? (long) (atMs / keys.hotMovesEveryMs()) : 0;
            long key = Math.floorMod(rank + moves * 7_919, (long) keys.count());
            int[] shards = shards();
            double[] weights = weights(shards.length);
            double workMs = work.meanMs() * lognormal(work.variation());
            boolean hinted = work.hintShare() > 0 && chance.nextDouble() < work.hintShare();
            double hintMs = hinted ? workMs * lognormal(work.hintNoise()) : 0;
            int textBytes = pick(texts, chance);
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
                    hintMs,
                    textBytes,
                    clientMs,
                    fresh,
                    chance.nextLong());
        }

        private double lognormal(double variation) {
            double sigma2 = Math.log(1 + variation * variation);
            return Math.exp(chance.nextGaussian() * Math.sqrt(sigma2) - sigma2 / 2);
        }

        private int[] shards() {
            int count = touches.least();
            if (touches.most() > touches.least()) {
                // Pareto from the least on, cut at the most.
                double drawn = touches.least() / Math.pow(1 - chance.nextDouble(), 1 / touches.exponent());
                count = (int) Math.min(touches.most(), Math.floor(drawn));
            }
            int[] shards = new int[count];
            if (touches.run()) {
                int first = chance.nextInt(touches.of());
                for (int i = 0; i < count; i++) {
                    shards[i] = (first + i) % touches.of();
                }
            } else {
                // Floyd's way to draw distinct numbers.
                List<Integer> drawn = new ArrayList<>();
                for (int top = touches.of() - count; top < touches.of(); top++) {
                    int at = chance.nextInt(top + 1);
                    drawn.add(drawn.contains(at) ? top : at);
                }
                for (int i = 0; i < count; i++) {
                    shards[i] = drawn.get(i);
                }
            }
            return shards;
        }

        private double[] weights(int count) {
            double[] weights = new double[count];
            double sum = 0;
            for (int i = 0; i < count; i++) {
                weights[i] = evenWeights ? 1 : 0.1 - Math.log(1 - chance.nextDouble());
                sum += weights[i];
            }
            for (int i = 0; i < count; i++) {
                weights[i] /= sum;
            }
            return weights;
        }
    }

    static <T> T pick(List<Share<T>> shares, RandomGenerator chance) {
        double sum = 0;
        for (Share<T> share : shares) {
            sum += share.share();
        }
        double at = chance.nextDouble() * sum;
        for (Share<T> share : shares) {
            at -= share.share();
            if (at < 0) {
                return share.value();
            }
        }
        return shares.get(shares.size() - 1).value();
    }

    /** The generator for one client's chances. */
    public static RandomGenerator chance(long seed) {
        return new SplittableRandom(seed);
    }
}
