package spartrail.lab.drill;

import org.HdrHistogram.Histogram;
import spartrail.lab.fleet.NullResponder;
import spartrail.lab.load.AttemptResult;
import spartrail.lab.load.LoadGenerator;
import spartrail.lab.load.LoadListener;
import spartrail.lab.load.LoadSession;
import spartrail.lab.load.Recorder;
import spartrail.lab.load.VirtualClientTransport;
import spartrail.lab.plan.LoadPlan;

/** A stand-in answers after scripted delays; the report must give exactly these. */
final class LoadDelayDrill implements Drill {
    private static final double USUAL_MS = 50;
    private static final double SLOW_MS = 200;
    private static final double SLOWEST_MS = 900;
    private static final int COUNT = 10_000;
    private static final double WARM_MS = 2500;
    /** A run in which a side stood still for longer measures the machine; another one is made, so many at the most. */
    private static final double FIT_MS = 1.2;

    private static final int MOST_RUNS = 8;

    @Override
    public String name() {
        return "load-delay";
    }

    @Override
    public String summary() {
        return "50 ms for 99%, 200 ms to 99.9%, 900 ms beyond: reported percentiles beside the scripted ones";
    }

    @Override
    public String about() {
        return "load generator";
    }

    /** Spread over the run: of each thousand one is of the slowest and nine are slow. */
    private static double delayMs(long number) {
        long at = number % 1000;
        return at == 950 ? SLOWEST_MS : at % 100 == 50 ? SLOW_MS : USUAL_MS;
    }

    @Override
    public void run(long seed, Findings findings) throws Exception {
        LoadPlan plan = DrillPlans.even(2000, COUNT / 2.0, 5000, 4000, seed);
        Recorder recorder = new Recorder();
        VirtualClientTransport sockets = new VirtualClientTransport((number, atMs) -> atMs + delayMs(number));
        sockets.play(new LoadGenerator(plan, plan.arrivals(), sockets, recorder, LoadListener.NONE));
        judge(findings, "virtual clock", recorder, 0, 0.0005);
        try (NullResponder responder = new NullResponder(0, (number, atMs) -> atMs + delayMs(number))) {
            Recorder measured = null;
            int unfit = -1;
            double stoodMs = Double.POSITIVE_INFINITY;
            // A single pause of the machine would decide the verdict, as p99 is the slowest ordinary answer here: such
            // a run is repeated.
            while (stoodMs > FIT_MS && ++unfit < MOST_RUNS) {
                try (LoadSession session = new LoadSession(
                        DrillPlans.at(loopback(seed), responder.address()),
                        loopback(seed).arrivals(),
                        loopback(seed).durationMs(),
                        LoadListener.NONE,
                        true)) {
                    session.await(WARM_MS);
                    responder.loop().takeLongestPauseMs();
                    session.takeLongestPauseMs();
                    session.await(60_000);
                    stoodMs = Math.max(
                            session.takeLongestPauseMs(), responder.loop().takeLongestPauseMs());
                    measured = session.recorder();
                    measured.groups.keySet().removeIf(group -> group.phase() == 0);
                }
            }
            findings.most("loopback: longest standstill of either side, in ms", FIT_MS, stoodMs);
            findings.note("loopback: runs in which a side stood still for longer", String.valueOf(unfit));
            judge(findings, "loopback", measured, 2, 0.01);
            findings.note(
                    "loopback: own lag, p99 in ms", String.valueOf(measured.lag.getValueAtPercentile(99) / 1000.0));
        }
    }

    /** A plan that warms both sides up first: compiling and connecting would add delays that the script does not have. */
    private static LoadPlan loopback(long seed) {
        return DrillPlans.parse(
                "{'seed':" + seed + ",'gaps':{'kind':'even'},'lagBoundMs':50,'connections':{'most':4000},"
                        + "'phases':[{'name':'warm','lastsMs':" + WARM_MS + ",'rate':{'shape':'steady','perS':2000}},"
                        + "{'name':'all','lastsMs':" + COUNT / 2.0 + ",'rate':{'shape':'steady','perS':2000}}],"
                        + "'streams':[{'opTypes':[{'name':'orders'}],'shards':{'of':8,'least':2},'clientMs':5000}]}");
    }

    private static void judge(Findings findings, String where, Recorder recorder, double absolute, double relative) {
        Histogram all = recorder.total(kind -> true, true);
        findings.equal(where + ": served whole", (long) COUNT, recorder.count(AttemptResult.WHOLE));
        double[][] expected = {{50, USUAL_MS}, {99, USUAL_MS}, {99.9, SLOW_MS}, {100, SLOWEST_MS}};
        for (double[] line : expected) {
            findings.same(
                    where + ": p" + line[0] + " in ms",
                    line[1],
                    all.getValueAtPercentile(line[0]) / 1000.0,
                    absolute + relative * line[1]);
        }
    }
}
