package spartrail.lab.fleet;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.Locale;
import java.util.random.RandomGenerator;

/**
 * How an index server executes parts: a model without I/O, clock or threads. The running parts share the cores evenly;
 * parts beyond the slots wait in a queue, and parts beyond the queue are rejected. A cold server has a share of its
 * capacity that grows with its age, and crashes when it is sent too much work; rejected work counts towards that as
 * well.
 *
 * <pre>
 * state    event                                                 next
 * up       it is cold and was sent over the tipping multiple     crashed: all its parts are lost
 * up       a pause begins                                        paused: no progress, all parts are kept
 * paused   the pause is over                                     up
 * crashed  it is started                                         up, cold, without parts
 * </pre>
 */
public final class ServerModel {
    /** How a part ended at the server. */
    public enum End {
        OK,
        ERROR,
        REJECTED
    }

    /** A part at the server. */
    public static final class Job {
        public final String id;
        /** The emulator's own data about this part; null for background work. */
        public final Object carrier;

        final double untilMs;
        double leftMs;
        public End end;

        public Job(String id, Object carrier, double workMs, double untilMs) {
            this.id = id;
            this.carrier = carrier;
            this.leftMs = workMs;
            this.untilMs = untilMs;
        }
    }

    /** While cold, the work rate is recomputed at least this often. */
    private static final double WARMTH_STEP_MS = 50;
    /** A double of milliseconds since 1970 cannot represent much smaller steps: time would not advance. */
    private static final double MIN_STEP_MS = 0.001;

    private final ServerProfile profile;
    private final RandomGenerator random;
    private final List<Job> running = new ArrayList<>();
    private final Deque<Job> waiting = new ArrayDeque<>();
    /** Work received within the last {@code tipMs} while cold: pairs of time and milliseconds of work. */
    private final Deque<double[]> recentWork = new ArrayDeque<>();

    private double recentWorkMs;
    private double nowMs;
    private double startedMs;
    private double pausedUntilMs;
    private double nextPauseMs;
    private double slowdown = 1;
    private double neighbourShare;
    private double errorShare;
    private boolean crashed;
    private double worstLoad;
    private double workDoneMs;

    public ServerModel(ServerProfile profile, RandomGenerator random, double startedMs, double nowMs) {
        this.profile = profile;
        this.random = random;
        this.startedMs = startedMs;
        this.nowMs = nowMs;
        this.errorShare = profile.errorShare();
        drawPause();
    }

    private void drawPause() {
        nextPauseMs = profile.pauseMs() > 0 && profile.pauseEveryMs() > 0
                ? nowMs - Math.log(1 - random.nextDouble()) * profile.pauseEveryMs()
                : Double.MAX_VALUE;
    }

    // ---- Changes from outside ----

    /** Restarts the server, cold and without parts. */
    public void start(double atMs) {
        advance(atMs, new ArrayList<>());
        running.clear();
        waiting.clear();
        recentWork.clear();
        recentWorkMs = 0;
        startedMs = atMs;
        pausedUntilMs = 0;
        crashed = false;
    }

    public void pause(double atMs, double lastsMs) {
        advance(atMs, new ArrayList<>());
        pausedUntilMs = Math.max(pausedUntilMs, atMs + lastsMs);
    }

    /** All work takes this many times as long from now on. */
    public void setSlowdown(double factor) {
        slowdown = factor;
    }

    /** Another process takes this share of the cores. */
    public void setNeighbourShare(double share) {
        neighbourShare = share;
    }

    public void setErrorShare(double share) {
        errorShare = share;
    }

    // ---- State ----

    public boolean hasCrashed() {
        return crashed;
    }

    public boolean isCold() {
        return nowMs - startedMs < profile.warmMs();
    }

    /** Share of the full capacity that the server has at its current age. */
    public double warmth() {
        double age = nowMs - startedMs;
        return age >= profile.warmMs() ? 1 : profile.coldFrom() + (1 - profile.coldFrom()) * age / profile.warmMs();
    }

    /** Milliseconds of work done in one millisecond, without slowdown, neighbour or pause. */
    public double capacity() {
        return profile.cores() * profile.speed() * warmth();
    }

    /** The most work received while cold within {@code tipMs}, relative to the crash threshold. */
    public double worstLoad() {
        return worstLoad;
    }

    public int inFlight() {
        return running.size() + waiting.size();
    }

    /** Milliseconds of work done since the model was created. */
    public double workDoneMs() {
        return workDoneMs;
    }

    /** The load report that goes along with each answer. */
    public String loadReport() {
        return String.format(
                Locale.ROOT,
                "inflight=%d,util=%.2f",
                inFlight(),
                Math.min(1, running.size() / (double) profile.cores()));
    }

    // ---- Parts ----

    /** Draws the work of a part; the mean is {@code statedMs}, or that of the profile if the part states none. */
    public double drawWorkMs(double statedMs) {
        double meanMs = statedMs > 0 ? statedMs : profile.workMs();
        double sigma2 = Math.log(1 + profile.variation() * profile.variation());
        return meanMs * Math.exp(random.nextGaussian() * Math.sqrt(sigma2) - sigma2 / 2);
    }

    /** Adds work that no answer depends on, such as a handshake. */
    public void addBackgroundWork(double workMs, double atMs) {
        recordSentWork(workMs, atMs);
        if (workMs > 0 && running.size() < profile.slots()) {
            running.add(new Job("", null, workMs, Double.MAX_VALUE));
        }
    }

    /** Accepts a part; its end is set to REJECTED at once if slots and queue are full. */
    public void accept(Job job, double atMs) {
        nowMs = Math.max(nowMs, atMs);
        recordSentWork(job.leftMs, atMs);
        if (crashed) {
            return;
        }
        if (running.size() < profile.slots()) {
            running.add(job);
        } else if (waiting.size() < profile.queue()) {
            waiting.add(job);
        } else {
            job.end = End.REJECTED;
        }
    }

    /** Counts received work against the crash threshold of a cold server. */
    private void recordSentWork(double workMs, double atMs) {
        nowMs = Math.max(nowMs, atMs);
        if (!isCold()) {
            recentWork.clear();
            recentWorkMs = 0;
            return;
        }
        recentWork.add(new double[] {atMs, workMs});
        recentWorkMs += workMs;
        while (!recentWork.isEmpty() && recentWork.peek()[0] < atMs - profile.tipMs()) {
            recentWorkMs -= recentWork.poll()[1];
        }
        double load = recentWorkMs / (profile.tipMultiple() * capacity() * profile.tipMs());
        worstLoad = Math.max(worstLoad, load);
        if (load > 1) {
            crashed = true;
            running.clear();
            waiting.clear();
        }
    }

    /** Drops a part that the front node has cancelled; returns whether it was running or queued. */
    public boolean cancel(String id) {
        return running.removeIf(job -> job.id.equals(id)) | waiting.removeIf(job -> job.id.equals(id));
    }

    /** Drops all parts of a lost connection. */
    public void forget(Object carrier) {
        running.removeIf(job -> job.carrier == carrier);
        waiting.removeIf(job -> job.carrier == carrier);
    }

    /** Milliseconds of work that each running part gets in one millisecond. */
    private double workRate() {
        if (running.isEmpty()) {
            return 0;
        }
        double cores = profile.cores() * (1 - neighbourShare);
        return profile.speed() * warmth() / slowdown * Math.min(1, cores / running.size());
    }

    /** The time of the next end or change of rate, if nothing arrives before. */
    public double nextEventMs() {
        if (crashed) {
            return Double.MAX_VALUE;
        }
        if (nowMs < pausedUntilMs) {
            return pausedUntilMs;
        }
        double next = nextPauseMs;
        double rate = workRate();
        if (rate > 0) {
            double minLeftMs = Double.MAX_VALUE;
            for (Job job : running) {
                minLeftMs = Math.min(minLeftMs, job.leftMs);
            }
            next = Math.min(next, nowMs + Math.max(MIN_STEP_MS, minLeftMs / rate));
            next = isCold() ? Math.min(next, nowMs + WARMTH_STEP_MS) : next;
        }
        return next;
    }

    /** Advances the model to this time and adds the parts that have ended, in order of their ends. */
    public void advance(double toMs, List<Job> ended) {
        while (!crashed && nowMs < toMs) {
            if (nowMs < pausedUntilMs) {
                nowMs = Math.min(toMs, pausedUntilMs);
                continue;
            }
            if (nowMs >= nextPauseMs) {
                pausedUntilMs = nowMs + profile.pauseMs();
                drawPause();
                continue;
            }
            double untilMs = Math.min(toMs, nextEventMs());
            double doneMs = (untilMs - nowMs) * workRate();
            nowMs = untilMs;
            for (Job job : running) {
                job.leftMs -= doneMs;
                workDoneMs += doneMs;
            }
            Iterator<Job> jobs = running.iterator();
            while (jobs.hasNext()) {
                Job job = jobs.next();
                if (job.leftMs <= MIN_STEP_MS) {
                    jobs.remove();
                    job.end = errorShare > 0 && random.nextDouble() < errorShare ? End.ERROR : End.OK;
                    if (job.carrier != null) {
                        ended.add(job);
                    }
                }
            }
            while (running.size() < profile.slots() && !waiting.isEmpty()) {
                Job job = waiting.poll();
                if (job.untilMs < nowMs) {
                    job.end = End.REJECTED;
                    ended.add(job);
                } else {
                    running.add(job);
                }
            }
        }
        nowMs = Math.max(nowMs, toMs);
    }
}
