package spartrail.lab.plan;

import java.util.Locale;
import org.junit.jupiter.api.Test;
import spartrail.lab.Table;

class ClientSessionTest {
    /** Each habit's waits after refusals that say nothing, then that ask it to come back after 700 ms. */
    @Test
    void habitsWaitAsTheySay() throws Exception {
        ClientBehavior[] habits = {
            ClientBehavior.ONCE,
            new ClientBehavior(4, ClientBehavior.Wait.NONE, 0, 1, 1000, 0, 0, 0, 1, false),
            new ClientBehavior(4, ClientBehavior.Wait.FIXED, 100, 1, 1000, 0, 1, 0, 1, false),
            new ClientBehavior(5, ClientBehavior.Wait.EXPONENTIAL, 100, 3, 500, 0, 1, 0, 1, false),
            new ClientBehavior(4, ClientBehavior.Wait.FIXED, 100, 1, 1000, 0.5, 0, 0, 1, false),
            new ClientBehavior(3, ClientBehavior.Wait.FIXED, 100, 1, 1000, 0, 0, 1, 0.25, false)
        };
        StringBuilder seen = new StringBuilder();
        for (ClientBehavior habit : habits) {
            for (double comebackMs : new double[] {0, 700}) {
                ClientSession story = new ClientSession(habit, TrafficStream.chance(1));
                StringBuilder line = new StringBuilder();
                double waitMs = 0;
                while (waitMs >= 0) {
                    double leavesMs = story.tries(1000);
                    waitMs = story.unserved(comebackMs);
                    line.append(
                                    Double.isFinite(leavesMs)
                                            ? String.format(Locale.ROOT, " leaves after %.0f,", leavesMs)
                                            : "")
                            .append(waitMs < 0 ? " over" : String.format(Locale.ROOT, " waits %.0f,", waitMs));
                }
                seen.append(habit.pause())
                        .append(" told ")
                        .append(Math.round(comebackMs))
                        .append(':')
                        .append(line)
                        .append('\n');
            }
        }
        Table.same("habits", seen.toString());
    }
}
