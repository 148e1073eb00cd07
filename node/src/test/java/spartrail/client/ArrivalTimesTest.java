package spartrail.client;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class ArrivalTimesTest {
    private static final double NOW_MS = 5000;

    private final ArrivalTimes arrivals = new ArrivalTimes();

    @Test
    void aRequestArrivesWithItsLastByteHoweverLateItIsHandled() {
        arrivals.add(100, 1000);
        arrivals.add(50, 1020);
        arrivals.add(50, 1040);
        assertThat(arrivals.timeOfLastHandledByte(101, NOW_MS)).isEqualTo(1000);
        assertThat(arrivals.timeOfLastHandledByte(100, NOW_MS)).isEqualTo(1000);
        assertThat(arrivals.timeOfLastHandledByte(99, NOW_MS)).isEqualTo(1020);
        assertThat(arrivals.timeOfLastHandledByte(0, NOW_MS)).isEqualTo(1040);
    }

    @Test
    void bytesInQuickSuccessionShareTheEarliestTime() {
        for (double atMs : new double[] {1000, 1009, 1011}) {
            arrivals.add(1, atMs);
        }
        assertThat(arrivals.timeOfLastHandledByte(1, NOW_MS)).isEqualTo(1000);
        assertThat(arrivals.timeOfLastHandledByte(0, NOW_MS)).isEqualTo(1011);
    }

    @Test
    void bytesAfterAHandledRequestDoNotShareItsTime() {
        arrivals.add(100, 1000);
        arrivals.forgetHandledBytes(0);
        arrivals.add(100, 1005);
        assertThat(arrivals.timeOfLastHandledByte(0, NOW_MS)).isEqualTo(1005);
    }

    @Test
    void theTimesOfUnhandledBytesAreKept() {
        arrivals.add(100, 1000);
        arrivals.add(100, 2000);
        arrivals.forgetHandledBytes(150);
        assertThat(arrivals.timeOfLastHandledByte(100, NOW_MS)).isEqualTo(1000);
        arrivals.forgetHandledBytes(100);
        assertThat(arrivals.timeOfLastHandledByte(0, NOW_MS)).isEqualTo(2000);
    }
}
