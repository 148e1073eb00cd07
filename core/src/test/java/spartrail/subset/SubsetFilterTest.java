package spartrail.subset;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetSocketAddress;
import java.util.Arrays;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import spartrail.endpoint.EndpointList;
import spartrail.endpoint.EndpointList.Endpoint;
import spartrail.model.Server;

class SubsetFilterTest {
    private static final double LONGEST_OUT_MS = 1000;
    private final SubsetSelector order = new SubsetSelector("n", new SubsetSettings(2, 1), 1, 1, 1);
    private final SubsetFilter filter =
            new SubsetFilter(new SubsetSelector("n", new SubsetSettings(2, 1), 1, 1, 1), LONGEST_OUT_MS);
    private final List<String> byOrder;

    SubsetFilterTest() {
        order.apply(
                IntStream.range(0, 6)
                        .mapToObj(number -> new SubsetSelector.LiveServer("s-" + number, "a", 0, 1))
                        .toList(),
                List.of());
        byOrder = new java.util.ArrayList<>(order.selectedReplicas(0));
        byOrder.addAll(order.spares(0));
    }

    private Endpoint line(int place, Server.State state) {
        return new Endpoint(byOrder.get(place), new InetSocketAddress("127.0.0.1", 9), "a", "std", 0, state, 1, 0);
    }

    private Endpoint live(int place) {
        return line(place, Server.State.LIVE);
    }

    /** The answer to a list, each line by its place in the node's order. */
    private String own(boolean all, double nowMs, Endpoint... lines) {
        EndpointList own = filter.toSubset(new EndpointList(1, all, Arrays.asList(lines)), nowMs);
        assertThat(own.isComplete()).isFalse();
        return String.join(
                " ",
                own.endpoints().stream()
                        .map(line -> byOrder.indexOf(line.id()) + "=" + line.state())
                        .sorted()
                        .toList());
    }

    @Test
    void onlyTheNodesOwnServersAreTold() {
        assertThat(own(true, 0, live(5), live(3), live(2), live(0))).isEqualTo("0=LIVE 2=LIVE");
        assertThat(own(false, 0, line(3, Server.State.DRAINING))).isEmpty();
        assertThat(own(false, 0, live(4))).isEmpty();
        assertThat(own(false, 0, line(2, Server.State.DRAINING))).isEqualTo("2=DRAINING 4=LIVE");
        assertThat(own(false, 0, line(2, Server.State.GONE))).isEqualTo("2=GONE");
        assertThat(own(false, 0, line(5, Server.State.GONE))).isEmpty();
    }

    @Test
    void aLiveServerThatLeavesTheSubsetDrainsAndIsForgottenWhenNothingCanBeOutThere() {
        own(true, 0, live(1), live(3), live(4));
        assertThat(own(false, 100, live(0))).isEqualTo("0=LIVE 3=DRAINING");
        assertThat(own(false, 1099, live(3))).as("listed again, it drains on").isEqualTo("3=DRAINING");
        assertThat(own(false, 1100)).isEqualTo("3=GONE");
        assertThat(own(false, 1200, line(0, Server.State.GONE))).isEqualTo("0=GONE 3=LIVE");
    }

    @Test
    void oneThatIsTakenAgainBeforeThatIsNotForgotten() {
        own(true, 0, live(1), live(3), live(4));
        own(false, 100, live(0));
        assertThat(own(false, 200, line(1, Server.State.GONE))).isEqualTo("1=GONE 3=LIVE");
        assertThat(own(false, 5000)).isEmpty();
    }

    @Test
    void whatAWholeListLeavesOutIsGoneAndItsSparesAreThere() {
        own(true, 0, live(0), live(1), live(2), live(3));
        assertThat(own(true, 10, live(3), live(2), line(1, Server.State.DRAINING)))
                .isEqualTo("0=GONE 1=DRAINING 2=LIVE 3=LIVE");
        assertThat(own(true, 20, live(3), live(2))).isEqualTo("1=GONE 2=LIVE 3=LIVE");
    }

    @Test
    void aNewProcessOfAnOwnServerIsPassedOn() {
        own(true, 0, live(0), live(1));
        Endpoint again = new Endpoint(
                byOrder.get(0), new InetSocketAddress("127.0.0.1", 10), "a", "std", 0, Server.State.LIVE, 1, 77);
        assertThat(filter.toSubset(new EndpointList(2, false, List.of(again)), 1)
                        .endpoints())
                .containsExactly(again);
    }

    @Test
    void ofAServerThatIsNamedTwiceTheLastLineCounts() {
        assertThat(own(true, 0, live(0), live(1), line(0, Server.State.GONE), live(2)))
                .isEqualTo("1=LIVE 2=LIVE");
        assertThat(own(false, 1, line(1, Server.State.DRAINING), live(1))).isEqualTo("1=LIVE");
    }

    @Test
    void oneThatDrainedAndIsBackBehindOthersIsForgottenInTime() {
        own(true, 0, live(2), live(3));
        own(false, 10, line(3, Server.State.DRAINING));
        own(false, 20, live(0), live(1));
        assertThat(own(false, 30, live(3))).isEqualTo("3=DRAINING");
        assertThat(own(false, 1030)).isEqualTo("2=GONE 3=GONE");
    }
}
