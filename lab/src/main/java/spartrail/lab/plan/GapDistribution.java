package spartrail.lab.plan;

import java.util.function.DoubleSupplier;
import java.util.random.RandomGenerator;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.AhrensDieterMarsagliaTsangGammaSampler;
import org.apache.commons.rng.sampling.distribution.SharedStateContinuousSampler;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;

/** The gaps between arrivals as multiples of the mean gap. */
public enum GapDistribution {
    /** All the same. */
    EVEN,
    /** As independent clients make them: exponential. */
    POISSON,
    /** In bunches: gamma, by its coefficient of variation. */
    GAMMA;

    DoubleSupplier from(RandomGenerator chance, double variation) {
        UniformRandomProvider source = chance::nextLong;
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
