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
 * A front node stands still for two seconds. With arrivals evenly spaced all that an open loop must report follows from
 * arithmetic; a closed loop beside it, one client that waits for each answer, shows what it leaves out.
 */
final class LoadStallDrill implements Drill {
    private static final double PER_S = 200;
    private static final double LASTS_MS = 10_000;
    private static final double STALL_FROM_MS = 4000;
    private static final double STALL_MS = 2000;
    private static final double USUAL_MS = 5;

    @Override
    public String name() {
        return "load-stall";
    }

    @Override
    public String summary() {
        return "a front node stands still for 2 s: sends go on, all waiting is charged, a closed loop's figure beside it";
    }

    @Override
    public String subsystem() {
        return "load generator";
    }

    private static double answeredMs(double atMs, double fromMs) {
        double stallMs = fromMs + STALL_FROM_MS;
        return atMs >= stallMs && atMs < stallMs + STALL_MS ? stallMs + STALL_MS + USUAL_MS : atMs + USUAL_MS;
    }

    /** The latency below which this share of all arrivals lies, by arithmetic. */
    static double expectedMs(double percentile) {
        Histogram all = new Histogram(3);
        long count = Math.round(PER_S * LASTS_MS / 1000);
        for (long i = 0; i < count; i++) {
            double atMs = i * 1000 / PER_S;
            all.recordValue(Math.round(1000 * (answeredMs(atMs, 0) - atMs)));
        }
        return all.getValueAtPercentile(percentile) / 1000.0;
    }

    @Override
    public void run(long seed, Findings findings) throws Exception {
        LoadPlan plan = DrillPlans.even(PER_S, LASTS_MS, 10_000, 1000, seed);
        Recorder recorder = new Recorder();
        VirtualClientTransport sockets = new VirtualClientTransport((number, atMs) -> answeredMs(atMs, 0));
        sockets.play(new LoadGenerator(plan, plan.arrivals(), sockets, recorder, LoadListener.NONE));
        judge(findings, "virtual clock, open loop", recorder, 0);
        findings.note("virtual clock, closed loop: p99 in ms", String.valueOf(closedP99Ms()));
        findings.checkAtMost("closed loop's p99 as a part of the open loop's", 0.05, closedP99Ms() / expectedMs(99));

        double[] fromMs = new double[1];
        try (NullResponder responder = new NullResponder(0, (number, atMs) -> {
                    fromMs[0] = fromMs[0] == 0 ? atMs : fromMs[0];
                    return answeredMs(atMs, fromMs[0]);
                });
                LoadSession session = new LoadSession(
                        DrillPlans.at(plan, responder.address()),
                        plan.arrivals(),
                        plan.durationMs(),
                        LoadListener.NONE)) {
            session.await(60_000);
            judge(findings, "loopback, open loop", session.recorder(), 10);
            findings.checkAtMost(
                    "loopback: own lag p99 in ms", 50, session.recorder().lag.getValueAtPercentile(99) / 1000.0);
        }
    }

    private static void judge(Findings findings, String where, Recorder recorder, double toleranceMs) {
        findings.checkEqual(
                where + ": sent on, none dropped",
                Math.round(PER_S * LASTS_MS / 1000),
                recorder.count(AttemptResult.WHOLE));
        Histogram all = recorder.total(kind -> true, true);
        for (double percentile : new double[] {50, 90, 99, 99.9}) {
            double expected = expectedMs(percentile);
            findings.checkClose(
                    where + ": p" + percentile + " in ms",
                    expected,
                    all.getValueAtPercentile(percentile) / 1000.0,
                    toleranceMs + 0.001 * expected);
        }
    }

    /** One client that asks, waits for the answer and asks again a gap after its last question, by the same script. */
    private static double closedP99Ms() {
        Histogram service = new Histogram(3);
        double atMs = 0;
        while (atMs < LASTS_MS) {
            double answeredMs = answeredMs(atMs, 0);
            service.recordValue(Math.round(1000 * (answeredMs - atMs)));
            atMs = Math.max(answeredMs, atMs + 1000 / PER_S);
        }
        return service.getValueAtPercentile(99) / 1000.0;
    }
}
