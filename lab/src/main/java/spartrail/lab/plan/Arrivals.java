package spartrail.lab.plan;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.NoSuchElementException;
import java.util.function.DoubleSupplier;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;

/**
 * The arrivals of a plan in order of time. Gaps are drawn for a mean rate of one and carried over to the plan's time by
 * inverting the sum of its rate, which is right for any shape and keeps even gaps even.
 */
final class Arrivals implements Iterator<Arrival> {
    private final LoadPlan plan;
    private final DoubleSupplier gaps;
    private final RandomGenerator chance;
    private final List<TrafficStream.Drawing> drawings = new ArrayList<>();
    private final List<TrafficStream> streams;
    /** Times of crowds, in order, with the stream of each. */
    private final List<double[]> crowd;

    private int crowdAt;
    private int phase;
    private double phaseFromMs;
    /** In the present phase: how far it is, and how many arrivals of its sum lie behind. */
    private double ms;

    private double toCome;
    private long number;
    private double nextMs;

    Arrivals(LoadPlan plan) {
        this.plan = plan;
        this.streams = plan.streams();
        RandomGeneratorFactory<RandomGenerator> factory = RandomGeneratorFactory.of("L64X128MixRandom");
        this.chance = factory.create(plan.seed());
        this.gaps = plan.gaps().from(factory.create(Arrival.mix(plan.seed() + 1)), plan.variation());
        for (int i = 0; i < streams.size(); i++) {
            drawings.add(streams.get(i).drawing(factory.create(Arrival.mix(plan.seed() + 2 + i))));
        }
        this.crowd = crowd(factory.create(Arrival.mix(plan.seed() + 1_000_003)));
        // Evenly spaced arrivals begin with the plan; others after their first gap.
        this.toCome = plan.gaps() == GapDistribution.EVEN ? 0 : gaps.getAsDouble();
        place();
    }

    private List<double[]> crowd(RandomGenerator random) {
        List<double[]> times = new ArrayList<>();
        for (LoadPlan.Crowd one : plan.crowds()) {
            for (int i = 0; i < one.clients(); i++) {
                times.add(new double[] {one.atMs() + random.nextDouble() * one.withinMs(), one.stream()});
            }
        }
        times.sort((a, b) -> Double.compare(a[0], b[0]));
        return times;
    }

    /** Finds the time of the next arrival that belongs to the rate. */
    private void place() {
        while (phase < plan.phases().size()) {
            LoadPlan.Phase now = plan.phases().get(phase);
            double lastsMs = now.lastsMs();
            double all = now.rate().until(lastsMs, lastsMs);
            if (toCome < all) {
                ms = invert(now.rate(), lastsMs, toCome, ms);
                nextMs = phaseFromMs + ms;
                return;
            }
            toCome -= all;
            phaseFromMs += lastsMs;
            ms = 0;
            phase++;
        }
        nextMs = Double.POSITIVE_INFINITY;
    }

    /** The time at which the sum passes this much: where the rate is 0 for a while, the end of that. */
    private static double invert(Rate rate, double lastsMs, double sum, double fromMs) {
        if (rate instanceof Rate.Steady steady) {
            return 1000 * sum / steady.perS();
        }
        double low = fromMs;
        double step = 1;
        double high = Math.min(lastsMs, low + step);
        while (high < lastsMs && rate.until(high, lastsMs) <= sum) {
            low = high;
            step *= 2;
            high = Math.min(lastsMs, low + step);
        }
        for (int i = 0; i < 60 && high - low > 1e-7; i++) {
            double middle = (low + high) / 2;
            if (rate.until(middle, lastsMs) <= sum) {
                low = middle;
            } else {
                high = middle;
            }
        }
        return high;
    }

    @Override
    public boolean hasNext() {
        return nextMs < Double.POSITIVE_INFINITY || crowdAt < crowd.size();
    }

    @Override
    public Arrival next() {
        if (!hasNext()) {
            throw new NoSuchElementException();
        }
        if (crowdAt < crowd.size() && crowd.get(crowdAt)[0] <= nextMs) {
            double[] one = crowd.get(crowdAt++);
            return drawings.get((int) one[1]).next(number++, one[0], plan.phaseAt(one[0]), true);
        }
        double atMs = nextMs;
        int inPhase = phase;
        toCome += gaps.getAsDouble();
        place();
        return drawings.get(stream(inPhase)).next(number++, atMs, inPhase, false);
    }

    private int stream(int inPhase) {
        String name = plan.phases().get(inPhase).name();
        double sum = 0;
        for (TrafficStream stream : streams) {
            sum += stream.in(name) ? stream.share : 0;
        }
        double at = chance.nextDouble() * sum;
        int last = 0;
        for (int i = 0; i < streams.size(); i++) {
            if (streams.get(i).in(name)) {
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
