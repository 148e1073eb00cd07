package spartrail.endpoint;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import spartrail.model.Server;

class ServerStartTimesTest {
    private static final long HOUR_MS = 3_600_000;
    private static final long UNIX_MS = 1_700_000_000_000L;

    private final ServerStartTimes startTimes = new ServerStartTimes();

    private double startedAtMs(double nowMs, long unixNowMs, long bootMs) {
        EndpointList list = new EndpointList(
                1, true, List.of(new EndpointList.Endpoint("s", null, "a", "m", 0, Server.State.LIVE, 1, bootMs)));
        return startTimes.toServers(list, nowMs, unixNowMs).get(0).startedAtMs;
    }

    @Test
    void theAgeOfAServerIsThatOfTheWallClock() {
        assertThat(startedAtMs(10_000, UNIX_MS, UNIX_MS - 3000)).isEqualTo(7000);
        assertThat(startedAtMs(10_000, UNIX_MS, 0)).isEqualTo(-1);
    }

    /** Guards against servers that seem to restart when the wall clock steps, or between two of its milliseconds. */
    @Test
    void theSameStartHasTheSameTimeInEachList() {
        double first = startedAtMs(10_000, UNIX_MS, UNIX_MS - 3000);
        assertThat(startedAtMs(10_000.9, UNIX_MS, UNIX_MS - 3000)).isEqualTo(first);
        assertThat(startedAtMs(11_000, UNIX_MS + 1000 - HOUR_MS, UNIX_MS - 3000))
                .isEqualTo(first);
        assertThat(startedAtMs(12_000, UNIX_MS + 2000 + HOUR_MS, UNIX_MS - 3000))
                .isEqualTo(first);
    }

    /** Guards against the overload of a cold server that seems to be an hour old after a step of the wall clock. */
    @Test
    void aServerWithANewStartAfterAStepCountsAsJustStarted() {
        startedAtMs(10_000, UNIX_MS, UNIX_MS - 3000);
        assertThat(startedAtMs(20_000, UNIX_MS + 10_000 + HOUR_MS, UNIX_MS + 9000))
                .isEqualTo(20_000);
        assertThat(startedAtMs(21_000, UNIX_MS + 11_000 + HOUR_MS, UNIX_MS + 10_500 + HOUR_MS))
                .isEqualTo(20_500);
    }

    @Test
    void noServerStartsInTheFuture() {
        assertThat(startedAtMs(10_000, UNIX_MS, UNIX_MS + HOUR_MS)).isEqualTo(10_000);
    }
}
