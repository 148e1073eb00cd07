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

/** An emulated node responds after scripted delays, and the load report must show the same percentiles. */
final class LoadDelayDrill implements Drill {
    private static final double ORDINARY_MS = 50;
    private static final double SLOW_MS = 200;
    private static final double SLOWEST_MS = 900;
    private static final int REQUEST_COUNT = 10_000;
    private static final double WARM_UP_MS = 2500;
    /**
     * Longest pause of either side in a valid run. Longer pauses come from the machine and would be measured as
     * latency, so such a run is repeated, up to {@link #MAX_RUNS} runs in all.
     */
    private static final double MAX_PAUSE_MS = 1.2;

    private static final int MAX_RUNS = 8;

    @Override
    public String name() {
        return "load-delay";
    }

    @Override
    public String summary() {
        return "responses take 50 ms to p99, 200 ms to p99.9 and 900 ms beyond: the report must show these percentiles";
    }

    @Override
    public String subsystem() {
        return "load generator";
    }

    /** The delay of a request. Of each thousand requests one takes the longest delay and nine take the slow one. */
    private static double scriptedDelayMs(long number) {
        long position = number % 1000;
        return position == 950 ? SLOWEST_MS : position % 100 == 50 ? SLOW_MS : ORDINARY_MS;
    }

    @Override
    public void run(long seed, Findings findings) throws Exception {
        LoadPlan plan = DrillPlans.even(2000, REQUEST_COUNT / 2.0, 5000, 4000, seed);
        Recorder recorder = new Recorder();
        VirtualClientTransport transport = new VirtualClientTransport((number, atMs) -> atMs + scriptedDelayMs(number));
        transport.play(new LoadGenerator(plan, plan.arrivals(), transport, recorder, LoadListener.NONE));
        checkResults(findings, "virtual clock", recorder, 0, 0.0005);
        try (NullResponder responder = new NullResponder(0, (number, atMs) -> atMs + scriptedDelayMs(number))) {
            Recorder measured = null;
            int interruptedRuns = -1;
            double longestPauseMs = Double.POSITIVE_INFINITY;
            // p99 is the slowest ordinary response here, so a single pause of the machine would change it. A run with
            // such a pause is repeated.
            while (longestPauseMs > MAX_PAUSE_MS && ++interruptedRuns < MAX_RUNS) {
                try (LoadSession session = new LoadSession(
                        DrillPlans.at(buildLoopbackPlan(seed), responder.address()),
                        buildLoopbackPlan(seed).arrivals(),
                        buildLoopbackPlan(seed).durationMs(),
                        LoadListener.NONE,
                        true)) {
                    session.await(WARM_UP_MS);
                    responder.loop().takeLongestPauseMs();
                    session.takeLongestPauseMs();
                    session.await(60_000);
                    longestPauseMs = Math.max(
                            session.takeLongestPauseMs(), responder.loop().takeLongestPauseMs());
                    measured = session.recorder();
                    measured.groups.keySet().removeIf(group -> group.phase() == 0);
                }
            }
            findings.checkAtMost("loopback: longest pause of either side in ms", MAX_PAUSE_MS, longestPauseMs);
            findings.note("loopback: runs with a longer pause", String.valueOf(interruptedRuns));
            checkResults(findings, "loopback", measured, 2, 0.01);
            findings.note(
                    "loopback: p99 of the generator's own lag in ms",
                    String.valueOf(measured.lag.getValueAtPercentile(99) / 1000.0));
        }
    }

    /** A plan with a warm-up phase: compilation and connection set-up would add delays that are not in the script. */
    private static LoadPlan buildLoopbackPlan(long seed) {
        return DrillPlans.parse("{'seed':" + seed
                + ",'gaps':{'kind':'even'},'lagBoundMs':50,'connections':{'most':4000},"
                + "'phases':[{'name':'warm','lastsMs':" + WARM_UP_MS + ",'rate':{'shape':'steady','perS':2000}},"
                + "{'name':'all','lastsMs':" + REQUEST_COUNT / 2.0 + ",'rate':{'shape':'steady','perS':2000}}],"
                + "'streams':[{'opTypes':[{'name':'orders'}],'shards':{'of':8,'least':2},'clientMs':5000}]}");
    }

    private static void checkResults(
            Findings findings,
            String clockName,
            Recorder recorder,
            double absoluteTolerance,
            double relativeTolerance) {
        Histogram latencies = recorder.total(kind -> true, true);
        findings.checkEqual(clockName + ": served whole", (long) REQUEST_COUNT, recorder.count(AttemptResult.WHOLE));
        double[][] expected = {{50, ORDINARY_MS}, {99, ORDINARY_MS}, {99.9, SLOW_MS}, {100, SLOWEST_MS}};
        for (double[] expectedValue : expected) {
            findings.checkClose(
                    clockName + ": p" + expectedValue[0] + " in ms",
                    expectedValue[1],
                    latencies.getValueAtPercentile(expectedValue[0]) / 1000.0,
                    absoluteTolerance + relativeTolerance * expectedValue[1]);
        }
    }
}
