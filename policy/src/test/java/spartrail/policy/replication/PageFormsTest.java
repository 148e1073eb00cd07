package spartrail.policy.replication;

import static org.assertj.core.api.Assertions.assertThat;

import io.microraft.model.message.RaftMessage;
import java.io.IOException;
import java.nio.file.Path;
import java.time.Clock;
import java.time.Instant;
import java.time.ZoneId;
import java.time.ZoneOffset;
import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import spartrail.policy.LogOperation;
import spartrail.policy.PolicyFollower;
import spartrail.policy.PolicyRequest;
import spartrail.policy.PolicyResponse;
import spartrail.policy.PolicySettings;
import spartrail.policy.PolicyTimings;
import spartrail.policy.PolicyVersion;

/** Guards the JSON text of the status page that operators read. */
class PageFormsTest {
    private static final String RESOURCE = "pages.txt";
    private static final PolicyVersion ACTIVE =
            new PolicyVersion(1, "{\"/sends/most\":3.0}", "ana", PolicyVersion.Stage.HOLDS, "", "t1");
    private static final PolicyVersion PENDING =
            new PolicyVersion(2, "{\"/sends/most\":2.0}", "bo", PolicyVersion.Stage.DECIDED, "", "t2");

    @TempDir
    private Path folder;

    /** The queue and timers of a thread, run by the test on a clock that only the test advances. */
    private static final class ManualContext implements RaftReplica.ExecutionContext {
        private record Timer(long atMs, long number, Runnable task) {}

        private final Deque<Runnable> queue = new ArrayDeque<>();
        private final PriorityQueue<Timer> timers =
                new PriorityQueue<>(Comparator.comparingLong(Timer::atMs).thenComparingLong(Timer::number));
        private long nowMs = 1_000_000;
        private long count;

        @Override
        public Clock clock() {
            return new Clock() {
                @Override
                public ZoneId getZone() {
                    return ZoneOffset.UTC;
                }

                @Override
                public Clock withZone(ZoneId zone) {
                    return this;
                }

                @Override
                public Instant instant() {
                    return Instant.ofEpochMilli(nowMs);
                }
            };
        }

        @Override
        public void execute(Runnable task) {
            queue.add(task);
        }

        @Override
        public void submit(Runnable task) {
            queue.add(task);
        }

        @Override
        public void schedule(Runnable task, long delay, TimeUnit unit) {
            timers.add(new Timer(nowMs + unit.toMillis(delay), count++, task));
        }

        void runQueue() {
            while (!queue.isEmpty()) {
                queue.remove().run();
            }
        }

        void runNextTimer() {
            Timer next = timers.remove();
            nowMs = Math.max(nowMs, next.atMs());
            next.task().run();
            runQueue();
        }
    }

    /** The environment of a single voter, which has no other voter to send to. */
    private static final class UnconnectedEnvironment implements RaftReplica.Environment {
        @Override
        public void send(String voter, RaftMessage message) {}

        @Override
        public boolean isReachable(String voter) {
            return false;
        }

        @Override
        public void onLogChange() {}
    }

    private static PolicyFollower newFollower() {
        PolicySettings localSettings = PolicySettings.of(Map.of("/sends/most", 4, "/comeback/told", true));
        return new PolicyFollower(
                "n0", List.of("n0", "n1", "n2"), localSettings, PolicyTimings.DEFAULTS, new Random(5), 0);
    }

    private static PolicyFollower followerWith(PolicyVersion pending) {
        PolicyFollower follower = newFollower();
        PolicyRequest poll = follower.pollIfDue(0);
        follower.onResponse(new PolicyResponse(poll.nonce(), 9, ACTIVE, pending), 1);
        return follower;
    }

    private static String renderPage(PolicyFollower follower, RaftReplica replica, double nowMs) {
        return PolicyStatusPage.render("n0", follower.lease(), follower, replica, "127.0.0.1:7000", nowMs);
    }

    /** The page of a single voter, the leader, whose log has a finished proposal of each outcome. */
    private String renderLeaderPage() throws IOException {
        RaftLogStore.bootstrap(folder, "recife", "n0", List.of("n0"));
        ManualContext context = new ManualContext();
        try (RaftLogStore store = new RaftLogStore(folder, "recife", "n0")) {
            RaftReplica replica = new RaftReplica(
                    "n0",
                    "recife",
                    store,
                    PolicyTimings.DEFAULTS,
                    context,
                    new Random(1),
                    new UnconnectedEnvironment());
            context.runQueue();
            for (int i = 0; i < 1000 && !replica.isLeader(); i++) {
                context.runNextTimer();
            }
            for (LogOperation operation : List.of(
                    new LogOperation(LogOperation.Kind.PROPOSE, 0, "{\"sends\":{\"most\":3}}", "ana", "t1"),
                    new LogOperation(LogOperation.Kind.DECIDE, 1, "", "", ""),
                    new LogOperation(LogOperation.Kind.HOLD, 1, "", "", ""),
                    new LogOperation(LogOperation.Kind.PROPOSE, 0, "{}", "bo", "t2"),
                    new LogOperation(LogOperation.Kind.REFUSE, 2, "no", "n2", ""),
                    new LogOperation(LogOperation.Kind.PROPOSE, 0, "{}", "bo", "t3"),
                    new LogOperation(LogOperation.Kind.ABORT, 3, "", "ana", ""))) {
                replica.replicate(operation, outcome -> {});
                context.runQueue();
            }
            String page = renderPage(followerWith(null), replica, 100);
            replica.close();
            context.runQueue();
            return page;
        }
    }

    @Test
    void pagesAreRenderedInTheirStoredForm() throws IOException {
        Map<String, String> actual = new LinkedHashMap<>();
        actual.put("not ready", renderPage(newFollower(), null, 1));
        actual.put("a version holds", renderPage(followerWith(null), null, 100));
        actual.put("another is decided", renderPage(followerWith(PENDING), null, 100));
        actual.put("out of touch", renderPage(followerWith(PENDING), null, 1e6));
        actual.put("a leader", renderLeaderPage());
        StoredForms.writeActual(RESOURCE, actual);
        assertThat(actual).isEqualTo(StoredForms.read(RESOURCE));
    }
}
