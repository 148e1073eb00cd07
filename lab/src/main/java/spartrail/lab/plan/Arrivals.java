package spartrail.lab.plan;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.NoSuchElementException;
import java.util.function.DoubleSupplier;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;

/**
 * The arrivals of a plan in order of time. Gaps are drawn for a mean rate of one and mapped to the plan's time by
 * inverting the integral of its rate, which is exact for any shape and keeps even gaps even.
 */
final class Arrivals implements Iterator<Arrival> {
    private static final int MAX_BISECTIONS = 60;
    private static final double RESOLUTION_MS = 1e-7;

    private final LoadPlan plan;
    private final DoubleSupplier gaps;
    private final RandomGenerator random;
    private final List<TrafficStream.ArrivalGenerator> generators = new ArrayList<>();
    private final List<TrafficStream> streams;
    /** Arrivals of crowds in order of time, as pairs of time and index of the stream. */
    private final List<double[]> crowdArrivals;

    private int nextCrowd;
    private int phase;
    private double phaseFromMs;
    /** Time of the last arrival since the start of the current phase. */
    private double phaseMs;
    /** The next arrival is where the integral of the rate, from the start of the current phase, reaches this number. */
    private double remainingArrivals;

    private long number;
    private double nextMs;

    Arrivals(LoadPlan plan) {
        this.plan = plan;
        this.streams = plan.streams();
        RandomGeneratorFactory<RandomGenerator> factory = RandomGeneratorFactory.of("L64X128MixRandom");
        this.random = factory.create(plan.seed());
        this.gaps = plan.gaps().createSampler(factory.create(Arrival.mixBits(plan.seed() + 1)), plan.variation());
        for (int i = 0; i < streams.size(); i++) {
            generators.add(streams.get(i).createGenerator(factory.create(Arrival.mixBits(plan.seed() + 2 + i))));
        }
        this.crowdArrivals = drawCrowds(factory.create(Arrival.mixBits(plan.seed() + 1_000_003)));
        // Evenly spaced arrivals begin at the start of the plan, others after their first gap.
        this.remainingArrivals = plan.gaps() == GapDistribution.EVEN ? 0 : gaps.getAsDouble();
        advanceToNext();
    }

    private List<double[]> drawCrowds(RandomGenerator random) {
        List<double[]> times = new ArrayList<>();
        for (LoadPlan.Crowd crowd : plan.crowds()) {
            for (int i = 0; i < crowd.clients(); i++) {
                times.add(new double[] {crowd.atMs() + random.nextDouble() * crowd.withinMs(), crowd.stream()});
            }
        }
        times.sort((a, b) -> Double.compare(a[0], b[0]));
        return times;
    }

    /** Finds the time of the next arrival that follows the rate, as opposed to those of crowds. */
    private void advanceToNext() {
        while (phase < plan.phases().size()) {
            LoadPlan.Phase current = plan.phases().get(phase);
            double lastsMs = current.lastsMs();
            double expectedArrivals = current.rate().expectedUntil(lastsMs, lastsMs);
            if (remainingArrivals < expectedArrivals) {
                phaseMs = invertIntegral(current.rate(), lastsMs, remainingArrivals, phaseMs);
                nextMs = phaseFromMs + phaseMs;
                return;
            }
            remainingArrivals -= expectedArrivals;
            phaseFromMs += lastsMs;
            phaseMs = 0;
            phase++;
        }
        nextMs = Double.POSITIVE_INFINITY;
    }

    /** The time at which the integral of the rate exceeds {@code sum}: after a span of rate 0, the end of that span. */
    private static double invertIntegral(Rate rate, double lastsMs, double sum, double startMs) {
        if (rate instanceof Rate.Steady steady) {
            return 1000 * sum / steady.perS();
        }
        double low = startMs;
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
        return nextMs < Double.POSITIVE_INFINITY || nextCrowd < crowdArrivals.size();
    }

    @Override
    public Arrival next() {
        if (!hasNext()) {
            throw new NoSuchElementException();
        }
        if (nextCrowd < crowdArrivals.size() && crowdArrivals.get(nextCrowd)[0] <= nextMs) {
            double[] timeAndStream = crowdArrivals.get(nextCrowd++);
            return generators
                    .get((int) timeAndStream[1])
                    .generate(number++, timeAndStream[0], plan.phaseAt(timeAndStream[0]), true);
        }
        double atMs = nextMs;
        int arrivalPhase = phase;
        remainingArrivals += gaps.getAsDouble();
        advanceToNext();
        return generators.get(drawStream(arrivalPhase)).generate(number++, atMs, arrivalPhase, false);
    }

    private int drawStream(int arrivalPhase) {
        String name = plan.phases().get(arrivalPhase).name();
        double sum = 0;
        for (TrafficStream stream : streams) {
            sum += stream.isActiveIn(name) ? stream.share : 0;
        }
        double draw = random.nextDouble() * sum;
        int chosen = 0;
        for (int i = 0; i < streams.size(); i++) {
            if (streams.get(i).isActiveIn(name)) {
                chosen = i;
                draw -= streams.get(i).share;
                if (draw < 0) {
                    break;
                }
            }
        }
        return chosen;
    }
}
