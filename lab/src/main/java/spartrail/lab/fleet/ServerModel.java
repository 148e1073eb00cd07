package spartrail.lab.fleet;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.Locale;
import java.util.random.RandomGenerator;

/**
 * What a server does with the work it is sent: a model without I/O, clock or threads. Cores are shared evenly by the
 * parts it works on; what does not fit waits in a queue, what does not fit there is turned away. A cold server has a
 * share of its capacity that grows with its age, and falls over when it is sent too much: all work that reaches it
 * counts, that which it turns away too.
 *
 * <pre>
 * state    what happens                                        next
 * up       it is cold and was sent over the tipping multiple   fallen: all it had is lost
 * up       a pause begins                                      paused: nothing moves, everything is kept
 * paused   the pause is over                                   up
 * fallen   it is started                                       up, cold, empty
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
        /** What the host keeps for it. */
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

    private static final double WARMTH_STEP_MS = 50;
    /** A step below the resolution of a double of milliseconds since 1970 would never advance the time. */
    private static final double LEAST_STEP_MS = 0.001;

    private final ServerProfile profile;
    private final RandomGenerator chance;
    private final List<Job> running = new ArrayList<>();
    private final Deque<Job> waiting = new ArrayDeque<>();
    /** Work sent lately while cold: time and amount. */
    private final Deque<double[]> sent = new ArrayDeque<>();

    private double sentSum;
    private double nowMs;
    private double bornMs;
    private double pausedUntilMs;
    private double nextPauseMs;
    private double slowBy = 1;
    private double neighbour;
    private double errorShare;
    private boolean fallen;
    private double worstLoad;
    private double busyMs;

    public ServerModel(ServerProfile profile, RandomGenerator chance, double bornMs, double nowMs) {
        this.profile = profile;
        this.chance = chance;
        this.bornMs = bornMs;
        this.nowMs = nowMs;
        this.errorShare = profile.errorShare();
        drawPause();
    }

    private void drawPause() {
        nextPauseMs = profile.pauseMs() > 0 && profile.pauseEveryMs() > 0
                ? nowMs - Math.log(1 - chance.nextDouble()) * profile.pauseEveryMs()
                : Double.MAX_VALUE;
    }

    // ---- What is done to it ----

    /** It starts anew, cold and empty. */
    public void start(double atMs) {
        advance(atMs, new ArrayList<>());
        running.clear();
        waiting.clear();
        sent.clear();
        sentSum = 0;
        bornMs = atMs;
        pausedUntilMs = 0;
        fallen = false;
    }

    public void pause(double atMs, double lastsMs) {
        advance(atMs, new ArrayList<>());
        pausedUntilMs = Math.max(pausedUntilMs, atMs + lastsMs);
    }

    /** Everything takes so many times as long from here on. */
    public void slow(double by) {
        slowBy = by;
    }

    /** A neighbour takes this share of its cores. */
    public void neighbour(double share) {
        neighbour = share;
    }

    public void errors(double share) {
        errorShare = share;
    }

    // ---- What it says ----

    public boolean fallen() {
        return fallen;
    }

    public boolean cold() {
        return nowMs - bornMs < profile.warmMs();
    }

    /** Share of its capacity that it has at its age. */
    public double warmth() {
        double age = nowMs - bornMs;
        return age >= profile.warmMs() ? 1 : profile.coldFrom() + (1 - profile.coldFrom()) * age / profile.warmMs();
    }

    /** Milliseconds of work that it does in one when nothing disturbs it. */
    public double capacity() {
        return profile.cores() * profile.speed() * warmth();
    }

    /** The most it was sent over the tipping span while cold, as a part of what makes it fall. */
    public double worstLoad() {
        return worstLoad;
    }

    public int inFlight() {
        return running.size() + waiting.size();
    }

    /** Milliseconds of work done so far. */
    public double doneMs() {
        return busyMs;
    }

    public String report() {
        return String.format(
                Locale.ROOT,
                "inflight=%d,util=%.2f",
                inFlight(),
                Math.min(1, running.size() / (double) profile.cores()));
    }

    // ---- Work ----

    /** The work of a part, drawn round what it tells or what is usual. */
    public double draw(double toldMs) {
        double meanMs = toldMs > 0 ? toldMs : profile.workMs();
        double sigma2 = Math.log(1 + profile.variation() * profile.variation());
        return meanMs * Math.exp(chance.nextGaussian() * Math.sqrt(sigma2) - sigma2 / 2);
    }

    /** Work that nobody waits for: a handshake. */
    public void burden(double workMs, double atMs) {
        count(workMs, atMs);
        if (workMs > 0 && running.size() < profile.slots()) {
            running.add(new Job("", null, workMs, Double.MAX_VALUE));
        }
    }

    /** A part has come; it may be turned away at once, which its end says. */
    public void take(Job job, double atMs) {
        nowMs = Math.max(nowMs, atMs);
        count(job.leftMs, atMs);
        if (fallen) {
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

    private void count(double workMs, double atMs) {
        nowMs = Math.max(nowMs, atMs);
        if (!cold()) {
            sent.clear();
            sentSum = 0;
            return;
        }
        sent.add(new double[] {atMs, workMs});
        sentSum += workMs;
        while (!sent.isEmpty() && sent.peek()[0] < atMs - profile.tipMs()) {
            sentSum -= sent.poll()[1];
        }
        double load = sentSum / (profile.tipMultiple() * capacity() * profile.tipMs());
        worstLoad = Math.max(worstLoad, load);
        if (load > 1) {
            fallen = true;
            running.clear();
            waiting.clear();
        }
    }

    /** A part is given up; whether it was still there. */
    public boolean giveUp(String id) {
        return running.removeIf(job -> job.id.equals(id)) | waiting.removeIf(job -> job.id.equals(id));
    }

    /** The connection of all these has gone. */
    public void forget(Object carrier) {
        running.removeIf(job -> job.carrier == carrier);
        waiting.removeIf(job -> job.carrier == carrier);
    }

    private double pace() {
        if (running.isEmpty()) {
            return 0;
        }
        double cores = profile.cores() * (1 - neighbour);
        return profile.speed() * warmth() / slowBy * Math.min(1, cores / running.size());
    }

    /** When something ends or changes by itself next. */
    public double nextMs() {
        if (fallen) {
            return Double.MAX_VALUE;
        }
        if (nowMs < pausedUntilMs) {
            return pausedUntilMs;
        }
        double next = nextPauseMs;
        double pace = pace();
        if (pace > 0) {
            double least = Double.MAX_VALUE;
            for (Job job : running) {
                least = Math.min(least, job.leftMs);
            }
            next = Math.min(next, nowMs + Math.max(LEAST_STEP_MS, least / pace));
            next = cold() ? Math.min(next, nowMs + WARMTH_STEP_MS) : next;
        }
        return next;
    }

    /** Moves on to this time; what has ended is added in order of its end. */
    public void advance(double toMs, List<Job> ended) {
        while (!fallen && nowMs < toMs) {
            if (nowMs < pausedUntilMs) {
                nowMs = Math.min(toMs, pausedUntilMs);
                continue;
            }
            if (nowMs >= nextPauseMs) {
                pausedUntilMs = nowMs + profile.pauseMs();
                drawPause();
                continue;
            }
            double untilMs = Math.min(toMs, nextMs());
            double done = (untilMs - nowMs) * pace();
            nowMs = untilMs;
            for (Job job : running) {
                job.leftMs -= done;
                busyMs += done;
            }
            Iterator<Job> jobs = running.iterator();
            while (jobs.hasNext()) {
                Job job = jobs.next();
                if (job.leftMs <= LEAST_STEP_MS) {
                    jobs.remove();
                    job.end = errorShare > 0 && chance.nextDouble() < errorShare ? End.ERROR : End.OK;
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
