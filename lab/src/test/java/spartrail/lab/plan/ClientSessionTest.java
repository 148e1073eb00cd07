package spartrail.lab.plan;

import java.util.Locale;
import org.junit.jupiter.api.Test;
import spartrail.lab.Table;

class ClientSessionTest {
    /** Lists the pauses of each behavior after rejections, first without Retry-After, then with one of 700 ms. */
    @Test
    void pausesAndAbandonsAttemptsAsItsBehaviorStates() throws Exception {
        ClientBehavior[] behaviors = {
            ClientBehavior.ONCE,
            new ClientBehavior(4, ClientBehavior.Backoff.NONE, 0, 1, 1000, 0, 0, 0, 1, false),
            new ClientBehavior(4, ClientBehavior.Backoff.FIXED, 100, 1, 1000, 0, 1, 0, 1, false),
            new ClientBehavior(5, ClientBehavior.Backoff.EXPONENTIAL, 100, 3, 500, 0, 1, 0, 1, false),
            new ClientBehavior(4, ClientBehavior.Backoff.FIXED, 100, 1, 1000, 0.5, 0, 0, 1, false),
            new ClientBehavior(3, ClientBehavior.Backoff.FIXED, 100, 1, 1000, 0, 0, 1, 0.25, false)
        };
        StringBuilder seen = new StringBuilder();
        for (ClientBehavior behavior : behaviors) {
            for (double retryAfterMs : new double[] {0, 700}) {
                ClientSession session = new ClientSession(behavior, TrafficStream.random(1));
                StringBuilder line = new StringBuilder();
                double pauseMs = 0;
                while (pauseMs >= 0) {
                    double abandonAfterMs = session.beginAttempt(1000);
                    pauseMs = session.pauseAfterFailureMs(retryAfterMs);
                    line.append(
                                    Double.isFinite(abandonAfterMs)
                                            ? String.format(Locale.ROOT, " leaves after %.0f,", abandonAfterMs)
                                            : "")
                            .append(pauseMs < 0 ? " over" : String.format(Locale.ROOT, " waits %.0f,", pauseMs));
                }
                seen.append(behavior.backoff())
                        .append(" told ")
                        .append(Math.round(retryAfterMs))
                        .append(':')
                        .append(line)
                        .append('\n');
            }
        }
        Table.same("habits", seen.toString());
    }
}
