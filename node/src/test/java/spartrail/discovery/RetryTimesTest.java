package spartrail.discovery;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import spartrail.coordination.Coordinator;
import spartrail.coordination.WindowCoordinator;
import spartrail.model.OpType;

/**
 * How late a change can be heard of: a change counts as told 6 s after discovery had it and could be reached, whatever calls
 * failed before. The worst case is an outage that ends just after a call has begun which is answered no more.
 */
class RetryTimesTest {
    private static final double COUNTS_AS_TOLD_MS = 6000;
    /** The first call that is answered may take as long as one that is given up, connecting included. */
    private static final double ANSWERED_MS = DiscoveryClient.RETRY_CALL_MS;

    @Test
    void whereTheAgentIsWatchedTheNextCallIsAnsweredInTime() {
        assertThat(DiscoveryClient.RETRY_CALL_MS + DiscoveryClient.PAUSE_MS + ANSWERED_MS)
                .isLessThan(COUNTS_AS_TOLD_MS);
        assertThat(DiscoveryClient.WAITING_CALL_MS + ANSWERED_MS)
                .as("the watch that fell silent is followed at once")
                .isLessThan(COUNTS_AS_TOLD_MS);
    }

    @Test
    void whereTheListIsAskedForThePauseOfTheModuleFitsIn() {
        Random seeds = new Random(5);
        for (int node = 0; node < 100; node++) {
            Coordinator coordinator = new WindowCoordinator(new Random(seeds.nextLong()), List.of(new OpType()))
                    .frontNodes(2, 5)
                    .layout(1, 1, 1, 1)
                    .endpointPolling(true, 10_000);
            double nowMs = 1000;
            for (int failure = 0; failure < 20; failure++) {
                double failedMs = nowMs;
                coordinator.onDiscoveryUnavailable(failedMs);
                do {
                    nowMs += coordinator.timeToNextTimerMs(nowMs);
                } while (!coordinator.onTimer(nowMs).watchEndpoints);
                double callMs = failure == 0 ? DiscoveryClient.WAITING_CALL_MS : DiscoveryClient.RETRY_CALL_MS;
                assertThat(callMs + (nowMs - failedMs) + ANSWERED_MS)
                        .as("failure %d of node %d", failure, node)
                        .isLessThan(COUNTS_AS_TOLD_MS);
            }
        }
    }
}
