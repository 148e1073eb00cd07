package spartrail.front;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class PauseDetectorTest {
    @Test
    void aPauseCountsUntilTheSocketsWerePolledThreeTimes() {
        PauseDetector detector = new PauseDetector(5);
        StringBuilder trace = new StringBuilder();
        double nowMs = 1000;
        for (double lateMs : new double[] {-3, 9, 700, 4, 6}) {
            detector.planWake(nowMs);
            detector.onWake(nowMs + lateMs);
            trace.append("late ")
                    .append(lateMs)
                    .append(": ")
                    .append(detector.pauseMs())
                    .append(detector.needsPoll() ? " poll again\n" : "\n");
            // The loop polls the sockets before it runs the timers that woke it, and plans its next wake for now.
            nowMs += lateMs;
            detector.planWake(nowMs);
            detector.onWake(nowMs + 2);
            if (lateMs > 0) {
                detector.onPollCompleted();
            }
        }
        trace.append("after the polls: ").append(detector.pauseMs());
        assertThat(trace.toString())
                .isEqualTo(
                        """
                late -3.0: 0.0
                late 9.0: 0.0
                late 700.0: 700.0 poll again
                late 4.0: 700.0 poll again
                late 6.0: 700.0 poll again
                after the polls: 0.0""");
    }
}
