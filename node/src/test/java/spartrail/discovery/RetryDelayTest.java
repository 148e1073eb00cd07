package spartrail.discovery;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import spartrail.coordination.Coordinator;
import spartrail.coordination.WindowCoordinator;
import spartrail.model.OpType;

/**
 * How late a change can arrive: it must be known 6 s after discovery had it and could be reached, whatever polls
 * failed before. The worst case is an outage that ends just after a poll has begun which is answered no more.
 */
class RetryDelayTest {
    private static final double MUST_BE_KNOWN_MS = 6000;
    /** The first poll that is answered may take as long as one that is given up, connecting included. */
    private static final double RESPONSE_MS = DiscoveryClient.RETRY_TIMEOUT_MS;

    @Test
    void theNextPollAfterAFailedOneIsAnsweredInTime() {
        assertThat(DiscoveryClient.RETRY_TIMEOUT_MS + DiscoveryClient.RETRY_PAUSE_MS + RESPONSE_MS)
                .isLessThan(MUST_BE_KNOWN_MS);
        assertThat(DiscoveryClient.LONG_POLL_TIMEOUT_MS + RESPONSE_MS)
                .as("the long poll that fell silent is followed at once")
                .isLessThan(MUST_BE_KNOWN_MS);
    }

    @Test
    void onRequestThePauseOfTheCoordinatorFitsIn() {
        Random seeds = new Random(5);
        for (int node = 0; node < 100; node++) {
            Coordinator coordinator = new WindowCoordinator(new Random(seeds.nextLong()), List.of(new OpType()))
                    .configureFrontNodes(2, 5)
                    .configureLayout(1, 1, 1, 1)
                    .configureEndpointPolling(true, 10_000);
            double nowMs = 1000;
            for (int failure = 0; failure < 20; failure++) {
                double failedMs = nowMs;
                coordinator.onDiscoveryUnavailable(failedMs);
                do {
                    nowMs += coordinator.timeToNextTimerMs(nowMs);
                } while (!coordinator.onTimer(nowMs).watchEndpoints);
                double pollMs = failure == 0 ? DiscoveryClient.LONG_POLL_TIMEOUT_MS : DiscoveryClient.RETRY_TIMEOUT_MS;
                assertThat(pollMs + (nowMs - failedMs) + RESPONSE_MS)
                        .as("failure %d of node %d", failure, node)
                        .isLessThan(MUST_BE_KNOWN_MS);
            }
        }
    }
}
