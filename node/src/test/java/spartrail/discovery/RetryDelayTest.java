package spartrail.discovery;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import spartrail.coordination.Coordinator;
import spartrail.coordination.WindowCoordinator;
import spartrail.model.OpType;

/**
 * Checks the maximum delay of a change: it must reach the node within 6 s after discovery has it and can be reached,
 * however many polls failed before. The worst case is an outage that ends just after the start of a poll that gets no
 * response any more.
 */
class RetryDelayTest {
    private static final double MAX_DELAY_MS = 6000;
    /** The first successful poll may take as long as a poll that times out, including the time to connect. */
    private static final double RESPONSE_MS = DiscoveryClient.RETRY_TIMEOUT_MS;

    @Test
    void aPollAfterAFailedOneGetsItsResponseInTime() {
        assertThat(DiscoveryClient.RETRY_TIMEOUT_MS + DiscoveryClient.RETRY_DELAY_MS + RESPONSE_MS)
                .isLessThan(MAX_DELAY_MS);
        assertThat(DiscoveryClient.LONG_POLL_TIMEOUT_MS + RESPONSE_MS)
                .as("the poll that follows a long poll without response at once")
                .isLessThan(MAX_DELAY_MS);
    }

    @Test
    void onDemandTheDelayOfTheCoordinatorLeavesTimeForAPoll() {
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
                        .isLessThan(MAX_DELAY_MS);
            }
        }
    }
}
