package spartrail.lab.drill;

import org.HdrHistogram.Histogram;
import spartrail.lab.fleet.NullResponder;
import spartrail.lab.load.Generator;
import spartrail.lab.load.Kind;
import spartrail.lab.load.LoadSession;
import spartrail.lab.load.Recorder;
import spartrail.lab.load.VirtualSockets;
import spartrail.lab.load.Watcher;
import spartrail.lab.plan.LoadPlan;

/** A stand-in answers after scripted delays; the report must give exactly these. */
final class LoadDelay implements Drill {
    private static final double USUAL_MS = 50;
    private static final double SLOW_MS = 200;
    private static final double SLOWEST_MS = 900;
    private static final int COUNT = 10_000;

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
        LoadPlan plan = Plans.even(2000, COUNT / 2.0, 5000, 4000, seed);
        Recorder recorder = new Recorder();
        VirtualSockets sockets = new VirtualSockets((number, atMs) -> atMs + delayMs(number));
        sockets.play(new Generator(plan, plan.arrivals(), sockets, recorder, Watcher.NONE));
        judge(findings, "virtual clock", recorder, 0, 0.0005);
        LoadPlan warming = Plans.even(1000, 2000, 5000, 4000, seed);
        try (NullResponder responder = new NullResponder(0, (number, atMs) -> atMs + delayMs(number))) {
            // Danger: a responder that still compiles adds delays that no script knows of.
            try (LoadSession warm = new LoadSession(Plans.at(warming, responder.address()), warming.arrivals(),
                    warming.lastsMs(), Watcher.NONE)) {
                warm.await(60_000);
            }
            measure(responder, plan, findings);
        }
    }

    private static void measure(NullResponder responder, LoadPlan plan, Findings findings) throws InterruptedException {
        try (LoadSession session = new LoadSession(Plans.at(plan, responder.address()), plan.arrivals(),
                        plan.lastsMs(), Watcher.NONE)) {
            session.await(60_000);
            judge(findings, "loopback", session.recorder(), 2, 0.01);
            findings.note("loopback: own lag, p99 in ms", String.valueOf(
                    session.recorder().lag.getValueAtPercentile(99) / 1000.0));
        }
    }

    private static void judge(Findings findings, String where, Recorder recorder, double absolute, double relative) {
        Histogram all = recorder.total(kind -> true, true);
        findings.equal(where + ": served whole", (long) COUNT, recorder.count(Kind.WHOLE));
        double[][] expected = {{50, USUAL_MS}, {99, USUAL_MS}, {99.9, SLOW_MS}, {100, SLOWEST_MS}};
        for (double[] line : expected) {
            findings.same(where + ": p" + line[0] + " in ms", line[1], all.getValueAtPercentile(line[0]) / 1000.0,
                    absolute + relative * line[1]);
        }
    }
}
