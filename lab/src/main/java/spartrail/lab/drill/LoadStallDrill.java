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

/**
 * A front node stalls for two seconds. Arrivals are evenly spaced, so the latencies that an open loop must report can
 * be computed. A closed loop, in which one client waits for each response, is simulated for comparison: it leaves out
 * most of the waiting time.
 */
final class LoadStallDrill implements Drill {
    private static final double ARRIVALS_PER_SECOND = 200;
    private static final double DURATION_MS = 10_000;
    private static final double STALL_FROM_MS = 4000;
    private static final double STALL_MS = 2000;
    private static final double SERVICE_MS = 5;

    @Override
    public String name() {
        return "load-stall";
    }

    @Override
    public String summary() {
        return "a front node stalls for 2 s: requests continue and all waiting counts, unlike in a closed loop";
    }

    @Override
    public String subsystem() {
        return "load generator";
    }

    private static double computeAnswerMs(double arrivalMs, double runStartMs) {
        double stallStartMs = runStartMs + STALL_FROM_MS;
        return arrivalMs >= stallStartMs && arrivalMs < stallStartMs + STALL_MS
                ? stallStartMs + STALL_MS + SERVICE_MS
                : arrivalMs + SERVICE_MS;
    }

    /** Computes a percentile of the latencies that the scripted stall causes. */
    static double computeExpectedMs(double percentile) {
        Histogram latencies = new Histogram(3);
        long count = Math.round(ARRIVALS_PER_SECOND * DURATION_MS / 1000);
        for (long i = 0; i < count; i++) {
            double arrivalMs = i * 1000 / ARRIVALS_PER_SECOND;
            latencies.recordValue(Math.round(1000 * (computeAnswerMs(arrivalMs, 0) - arrivalMs)));
        }
        return latencies.getValueAtPercentile(percentile) / 1000.0;
    }

    @Override
    public void run(long seed, Findings findings) throws Exception {
        LoadPlan plan = DrillPlans.even(ARRIVALS_PER_SECOND, DURATION_MS, 10_000, 1000, seed);
        Recorder recorder = new Recorder();
        VirtualClientTransport transport =
                new VirtualClientTransport((number, arrivalMs) -> computeAnswerMs(arrivalMs, 0));
        transport.play(new LoadGenerator(plan, plan.arrivals(), transport, recorder, LoadListener.NONE));
        checkResults(findings, "virtual clock, open loop", recorder, 0);
        findings.note("virtual clock, closed loop: p99 in ms", String.valueOf(simulateClosedLoopP99Ms()));
        findings.checkAtMost(
                "p99 of the closed loop divided by that of the open loop",
                0.05,
                simulateClosedLoopP99Ms() / computeExpectedMs(99));

        double[] runStartMs = new double[1];
        try (NullResponder responder = new NullResponder(0, (number, arrivalMs) -> {
                    runStartMs[0] = runStartMs[0] == 0 ? arrivalMs : runStartMs[0];
                    return computeAnswerMs(arrivalMs, runStartMs[0]);
                });
                LoadSession session = new LoadSession(
                        DrillPlans.at(plan, responder.address()),
                        plan.arrivals(),
                        plan.durationMs(),
                        LoadListener.NONE)) {
            session.await(60_000);
            checkResults(findings, "loopback, open loop", session.recorder(), 10);
            findings.checkAtMost(
                    "loopback: p99 of the generator's own lag in ms",
                    50,
                    session.recorder().lag.getValueAtPercentile(99) / 1000.0);
        }
    }

    private static void checkResults(Findings findings, String clockName, Recorder recorder, double toleranceMs) {
        findings.checkEqual(
                clockName + ": requests sent and served whole",
                Math.round(ARRIVALS_PER_SECOND * DURATION_MS / 1000),
                recorder.count(AttemptResult.WHOLE));
        Histogram latencies = recorder.total(kind -> true, true);
        for (double percentile : new double[] {50, 90, 99, 99.9}) {
            double expected = computeExpectedMs(percentile);
            findings.checkClose(
                    clockName + ": p" + percentile + " in ms",
                    expected,
                    latencies.getValueAtPercentile(percentile) / 1000.0,
                    toleranceMs + 0.001 * expected);
        }
    }

    /**
     * Simulates one client under the same stall: it sends a request, waits for the response and sends the next one, at
     * the earliest one gap after the previous request. Returns the p99 latency.
     */
    private static double simulateClosedLoopP99Ms() {
        Histogram latencies = new Histogram(3);
        double arrivalMs = 0;
        while (arrivalMs < DURATION_MS) {
            double answeredMs = computeAnswerMs(arrivalMs, 0);
            latencies.recordValue(Math.round(1000 * (answeredMs - arrivalMs)));
            arrivalMs = Math.max(answeredMs, arrivalMs + 1000 / ARRIVALS_PER_SECOND);
        }
        return latencies.getValueAtPercentile(99) / 1000.0;
    }
}
