package spartrail.lab.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import spartrail.lab.Table;

class ServerModelTest {
    private static ServerProfile serverProfile(int slots, int queue, double coldFrom, double warmMs) {
        return new ServerProfile("t", 2, 1, slots, queue, 10, 0, 0, coldFrom, warmMs, 2, 1000, 0, 0, 10, 0, 0, 0, 0);
    }

    /** Plays parts, given as pairs of time and work, and returns the end of each with its time. */
    private static String playParts(ServerModel model, double[][] parts, double untilMs) {
        StringBuilder seen = new StringBuilder();
        int at = 0;
        double nowMs = 0;
        while (nowMs < untilMs) {
            double next = Math.min(untilMs, model.nextEventMs());
            next = at < parts.length ? Math.min(next, parts[at][0]) : next;
            List<ServerModel.Job> ended = new ArrayList<>();
            model.advance(next, ended);
            nowMs = next;
            for (ServerModel.Job job : ended) {
                seen.append(String.format(Locale.ROOT, " %s %s at %.1f,", job.id, job.end, nowMs));
            }
            while (at < parts.length && parts[at][0] <= nowMs) {
                ServerModel.Job job = new ServerModel.Job("p" + at, "wire", parts[at][1], 1e9);
                model.accept(job, nowMs);
                at++;
                if (job.end != null) {
                    seen.append(String.format(Locale.ROOT, " %s %s at %.1f,", job.id, job.end, nowMs));
                }
                if (model.hasCrashed()) {
                    return seen
                            + String.format(Locale.ROOT, " fell at %.1f, sent %.2f of it", nowMs, model.worstLoad());
                }
            }
        }
        return seen.toString();
    }

    private static double[][] evenParts(int count, double everyMs, double workMs) {
        double[][] parts = new double[count][];
        for (int i = 0; i < count; i++) {
            parts[i] = new double[] {i * everyMs, workMs};
        }
        return parts;
    }

    @Test
    void sharesCoresFillsTheQueueAndCrashesWhenColdAndOverloaded() throws Exception {
        StringBuilder seen = new StringBuilder();
        ServerModel warm = new ServerModel(serverProfile(4, 2, 0.5, 1000), new SplittableRandom(1), -1e6, 0);
        seen.append("two cores, four at once, two in the queue:")
                .append(playParts(warm, evenParts(7, 0, 10), 200))
                .append('\n');
        ServerModel slow = new ServerModel(serverProfile(4, 2, 0.5, 1000), new SplittableRandom(1), -1e6, 0);
        slow.setSlowdown(3);
        seen.append("three times as slow:")
                .append(playParts(slow, evenParts(1, 0, 10), 200))
                .append('\n');
        ServerModel shared = new ServerModel(serverProfile(4, 2, 0.5, 1000), new SplittableRandom(1), -1e6, 0);
        shared.setNeighbourShare(0.5);
        seen.append("a neighbour on one core:")
                .append(playParts(shared, evenParts(2, 0, 10), 200))
                .append('\n');
        ServerModel paused = new ServerModel(serverProfile(4, 2, 0.5, 1000), new SplittableRandom(1), -1e6, 0);
        paused.pause(0, 50);
        seen.append("paused for 50 ms:")
                .append(playParts(paused, evenParts(1, 0, 10), 200))
                .append('\n');
        ServerModel cold = new ServerModel(serverProfile(4, 2, 0.5, 1000), new SplittableRandom(1), 0, 0);
        seen.append("cold, half its capacity at first:")
                .append(playParts(cold, evenParts(1, 0, 10), 200))
                .append('\n');
        // It crashes at twice its current capacity over a second: at the start 2 * 2 * 0.1 * 1000 = 400 ms of work.
        ServerModel pushed = new ServerModel(serverProfile(4, 100, 0.1, 1e6), new SplittableRandom(1), 0, 0);
        seen.append("cold, 50 ms of work each 10 ms:")
                .append(playParts(pushed, evenParts(20, 10, 50), 500))
                .append('\n');
        ServerModel eased = new ServerModel(serverProfile(4, 100, 0.1, 1e6), new SplittableRandom(1), 0, 0);
        playParts(eased, evenParts(100, 130, 50), 13_000);
        seen.append(String.format(Locale.ROOT, "cold, 50 ms of work each 130 ms: worst %.2f%n", eased.worstLoad()));
        Table.same("server-model", seen.toString());
    }

    @Test
    void workDoneEqualsWorkReceived() {
        ServerModel model = new ServerModel(serverProfile(3, 1000, 0.3, 500), new SplittableRandom(5), 0, 0);
        SplittableRandom random = new SplittableRandom(9);
        double work = 0;
        double[][] parts = new double[300][];
        for (int i = 0; i < parts.length; i++) {
            parts[i] = new double[] {i * 3.0, random.nextDouble(0.5, 2)};
            work += parts[i][1];
        }
        playParts(model, parts, 1e5);
        assertThat(model.inFlight()).isZero();
        assertThat(model.workDoneMs()).isBetween(work * 0.999, work * 1.001);
    }
}
