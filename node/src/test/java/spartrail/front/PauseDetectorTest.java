package spartrail.front;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class PauseDetectorTest {
    @Test
    void bytesReadAfterAPauseMayBeAsOldAsThePauseUntilTheSocketsArePolled() {
        PauseDetector node = new PauseDetector(5);
        StringBuilder trace = new StringBuilder();
        double now = 1000;
        for (double late : new double[] {-3, 9, 700, 4, 6}) {
            node.planWake(now);
            node.onWake(now + late);
            trace.append("late ")
                    .append(late)
                    .append(": ")
                    .append(node.pauseMs())
                    .append(node.needsPoll() ? " pass\n" : "\n");
            // It woke because something was due: first the sockets are gone through, and that is planned for now.
            now += late;
            node.planWake(now);
            node.onWake(now + 2);
            if (late > 0) {
                node.onPollCompleted();
            }
        }
        trace.append("after the passes: ").append(node.pauseMs());
        assertThat(trace.toString())
                .isEqualTo(
                        """
                late -3.0: 0.0
                late 9.0: 0.0
                late 700.0: 700.0 pass
                late 4.0: 700.0 pass
                late 6.0: 700.0 pass
                after the passes: 0.0""");
    }
}
