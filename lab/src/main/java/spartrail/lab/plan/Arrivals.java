package spartrail.lab.plan;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.NoSuchElementException;
import java.util.function.DoubleSupplier;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;

/**
 * The arrivals of a plan in order of time. Gaps are drawn for a mean rate of one and mapped to the plan's time by inverting the
 * integral of its rate, which is exact for any shape and keeps even gaps even.
 */
final class Arrivals implements Iterator<Arrival> {
    private static final int MAX_BISECTIONS = 60;
    private static final double RESOLUTION_MS = 1e-7;

    private final LoadPlan plan;
    private final DoubleSupplier gaps;
    private final RandomGenerator random;
    private final List<TrafficStream.ArrivalGenerator> generators = new ArrayList<>();
    private final List<TrafficStream> streams;
    /** Arrivals of crowds in order: time and index of the stream. */
    private final List<double[]> crowd;

    private int nextCrowd;
    private int phase;
    private double phaseFromMs;
    /** Position in the current phase, as time and as the number of expected arrivals still to pass. */
    private double phaseMs;

    private double remainingArrivals;
    private long number;
    private double nextMs;

    Arrivals(LoadPlan plan) {
        this.plan = plan;
        this.streams = plan.streams();
        RandomGeneratorFactory<RandomGenerator> factory = RandomGeneratorFactory.of("L64X128MixRandom");
        this.random = factory.create(plan.seed());
        this.gaps = plan.gaps().sampler(factory.create(Arrival.mix(plan.seed() + 1)), plan.variation());
        for (int i = 0; i < streams.size(); i++) {
            generators.add(streams.get(i).generator(factory.create(Arrival.mix(plan.seed() + 2 + i))));
        }
        this.crowd = drawCrowds(factory.create(Arrival.mix(plan.seed() + 1_000_003)));
        // Evenly spaced arrivals begin with the plan; others after their first gap.
        this.remainingArrivals = plan.gaps() == GapDistribution.EVEN ? 0 : gaps.getAsDouble();
        advance();
    }

    private List<double[]> drawCrowds(RandomGenerator random) {
        List<double[]> times = new ArrayList<>();
        for (LoadPlan.Crowd one : plan.crowds()) {
            for (int i = 0; i < one.clients(); i++) {
                times.add(new double[] {one.atMs() + random.nextDouble() * one.withinMs(), one.stream()});
            }
        }
        times.sort((a, b) -> Double.compare(a[0], b[0]));
        return times;
    }

    /** Finds the time of the next arrival of the rate. */
    private void advance() {
        while (phase < plan.phases().size()) {
            LoadPlan.Phase now = plan.phases().get(phase);
            double lastsMs = now.lastsMs();
            double all = now.rate().expectedUntil(lastsMs, lastsMs);
            if (remainingArrivals < all) {
                phaseMs = invert(now.rate(), lastsMs, remainingArrivals, phaseMs);
                nextMs = phaseFromMs + phaseMs;
                return;
            }
            remainingArrivals -= all;
            phaseFromMs += lastsMs;
            phaseMs = 0;
            phase++;
        }
        nextMs = Double.POSITIVE_INFINITY;
    }

    /** The time at which the integral of the rate passes {@code sum}; where the rate is 0 for a while, the end of that. */
    private static double invert(Rate rate, double lastsMs, double sum, double fromMs) {
        if (rate instanceof Rate.Steady steady) {
            return 1000 * sum / steady.perS();
        }
        double low = fromMs;
        double step = 1;
        double high = Math.min(lastsMs, low + step);
        while (high < lastsMs && rate.expectedUntil(high, lastsMs) <= sum) {
            low = high;
            step *= 2;
            high = Math.min(lastsMs, low + step);
        }
        for (int i = 0; i < MAX_BISECTIONS && high - low > RESOLUTION_MS; i++) {
            double middle = (low + high) / 2;
            if (rate.expectedUntil(middle, lastsMs) <= sum) {
                low = middle;
            } else {
                high = middle;
            }
        }
        return high;
    }

    @Override
    public boolean hasNext() {
        return nextMs < Double.POSITIVE_INFINITY || nextCrowd < crowd.size();
    }

    @Override
    public Arrival next() {
        if (!hasNext()) {
            throw new NoSuchElementException();
        }
        if (nextCrowd < crowd.size() && crowd.get(nextCrowd)[0] <= nextMs) {
            double[] one = crowd.get(nextCrowd++);
            return generators.get((int) one[1]).next(number++, one[0], plan.phaseAt(one[0]), true);
        }
        double atMs = nextMs;
        int arrivalPhase = phase;
        remainingArrivals += gaps.getAsDouble();
        advance();
        return generators.get(drawStream(arrivalPhase)).next(number++, atMs, arrivalPhase, false);
    }

    private int drawStream(int arrivalPhase) {
        String name = plan.phases().get(arrivalPhase).name();
        double sum = 0;
        for (TrafficStream stream : streams) {
            sum += stream.isActiveIn(name) ? stream.share : 0;
        }
        double at = random.nextDouble() * sum;
        int last = 0;
        for (int i = 0; i < streams.size(); i++) {
            if (streams.get(i).isActiveIn(name)) {
                last = i;
                at -= streams.get(i).share;
                if (at < 0) {
                    break;
                }
            }
        }
        return last;
    }
}
