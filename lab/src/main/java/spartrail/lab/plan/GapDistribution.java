package spartrail.lab.plan;

import java.util.function.DoubleSupplier;
import java.util.random.RandomGenerator;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.AhrensDieterMarsagliaTsangGammaSampler;
import org.apache.commons.rng.sampling.distribution.SharedStateContinuousSampler;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;

/** Distribution of the gaps between arrivals, as multiples of the mean gap; the constants are named by the load plan's file. */
public enum GapDistribution {
    /** All gaps are equal. */
    EVEN,
    /** Exponential, as of independent clients. */
    POISSON,
    /** Gamma with a coefficient of variation: arrivals in bursts. */
    GAMMA;

    DoubleSupplier sampler(RandomGenerator random, double variation) {
        UniformRandomProvider source = random::nextLong;
        return switch (this) {
            case EVEN -> () -> 1;
            case POISSON -> ZigguratSampler.Exponential.of(source)::sample;
            case GAMMA -> {
                double shape = 1 / (variation * variation);
                SharedStateContinuousSampler gamma =
                        AhrensDieterMarsagliaTsangGammaSampler.of(source, shape, 1 / shape);
                yield gamma::sample;
            }
        };
    }
}
