package spartrail.lab.plan;

import java.util.function.DoubleSupplier;
import java.util.random.RandomGenerator;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.AhrensDieterMarsagliaTsangGammaSampler;
import org.apache.commons.rng.sampling.distribution.SharedStateContinuousSampler;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;

/**
 * The distribution of the gaps between arrivals, as multiples of the mean gap. Load plan files use these names in lower
 * case.
 */
public enum GapDistribution {
    /** All gaps are equal. */
    EVEN,
    /** Exponentially distributed gaps, as independent clients cause them. */
    POISSON,
    /** Gamma-distributed gaps with a given coefficient of variation; above 1, arrivals come in bursts. */
    GAMMA;

    /** A function that draws gaps; {@code variation} is used by GAMMA only. */
    DoubleSupplier createSampler(RandomGenerator random, double variation) {
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
