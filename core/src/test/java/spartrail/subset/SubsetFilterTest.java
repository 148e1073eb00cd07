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
    private static final double MAX_IN_FLIGHT_MS = 1000;
    private final SubsetSelector selector = new SubsetSelector("n", new SubsetSettings(2, 1), 1, 1, 1);
    private final SubsetFilter filter =
            new SubsetFilter(new SubsetSelector("n", new SubsetSettings(2, 1), 1, 1, 1), MAX_IN_FLIGHT_MS);
    private final List<String> idsInOrder;

    SubsetFilterTest() {
        selector.apply(
                IntStream.range(0, 6)
                        .mapToObj(number -> new SubsetSelector.LiveServer("s-" + number, "a", 0, 1))
                        .toList(),
                List.of());
        idsInOrder = new java.util.ArrayList<>(selector.selectedReplicas(0));
        idsInOrder.addAll(selector.spares(0));
    }

    private Endpoint createEndpoint(int place, Server.State state) {
        return new Endpoint(idsInOrder.get(place), new InetSocketAddress("127.0.0.1", 9), "a", "std", 0, state, 1, 0);
    }

    private Endpoint createLive(int place) {
        return createEndpoint(place, Server.State.LIVE);
    }

    /** Applies a list and returns the published changes, each with the server's place in the node's order. */
    private String applyList(boolean isComplete, double nowMs, Endpoint... endpoints) {
        EndpointList changes = filter.toSubset(new EndpointList(1, isComplete, Arrays.asList(endpoints)), nowMs);
        assertThat(changes.isComplete()).isFalse();
        return String.join(
                " ",
                changes.endpoints().stream()
                        .map(endpoint -> idsInOrder.indexOf(endpoint.id()) + "=" + endpoint.state())
                        .sorted()
                        .toList());
    }

    @Test
    void onlyServersInTheSubsetArePublished() {
        assertThat(applyList(true, 0, createLive(5), createLive(3), createLive(2), createLive(0)))
                .isEqualTo("0=LIVE 2=LIVE");
        assertThat(applyList(false, 0, createEndpoint(3, Server.State.DRAINING)))
                .isEmpty();
        assertThat(applyList(false, 0, createLive(4))).isEmpty();
        assertThat(applyList(false, 0, createEndpoint(2, Server.State.DRAINING)))
                .isEqualTo("2=DRAINING 4=LIVE");
        assertThat(applyList(false, 0, createEndpoint(2, Server.State.GONE))).isEqualTo("2=GONE");
        assertThat(applyList(false, 0, createEndpoint(5, Server.State.GONE))).isEmpty();
    }

    @Test
    void aLiveServerThatLeavesTheSubsetDrainsAndIsGoneOnceNoRequestCanBeInFlight() {
        applyList(true, 0, createLive(1), createLive(3), createLive(4));
        assertThat(applyList(false, 100, createLive(0))).isEqualTo("0=LIVE 3=DRAINING");
        assertThat(applyList(false, 1099, createLive(3)))
                .as("a server that is listed again continues to drain")
                .isEqualTo("3=DRAINING");
        assertThat(applyList(false, 1100)).isEqualTo("3=GONE");
        assertThat(applyList(false, 1200, createEndpoint(0, Server.State.GONE))).isEqualTo("0=GONE 3=LIVE");
    }

    @Test
    void aDrainingServerThatRejoinsTheSubsetIsNotPublishedAsGone() {
        applyList(true, 0, createLive(1), createLive(3), createLive(4));
        applyList(false, 100, createLive(0));
        assertThat(applyList(false, 200, createEndpoint(1, Server.State.GONE))).isEqualTo("1=GONE 3=LIVE");
        assertThat(applyList(false, 5000)).isEmpty();
    }

    @Test
    void serversMissingFromACompleteListAreGoneAndReplacedBySpares() {
        applyList(true, 0, createLive(0), createLive(1), createLive(2), createLive(3));
        assertThat(applyList(true, 10, createLive(3), createLive(2), createEndpoint(1, Server.State.DRAINING)))
                .isEqualTo("0=GONE 1=DRAINING 2=LIVE 3=LIVE");
        assertThat(applyList(true, 20, createLive(3), createLive(2))).isEqualTo("1=GONE 2=LIVE 3=LIVE");
    }

    @Test
    void aNewProcessOfASelectedServerIsPublished() {
        applyList(true, 0, createLive(0), createLive(1));
        Endpoint again = new Endpoint(
                idsInOrder.get(0), new InetSocketAddress("127.0.0.1", 10), "a", "std", 0, Server.State.LIVE, 1, 77);
        assertThat(filter.toSubset(new EndpointList(2, false, List.of(again)), 1)
                        .endpoints())
                .containsExactly(again);
    }

    @Test
    void theLastOfSeveralEntriesForAServerCounts() {
        assertThat(applyList(
                        true, 0, createLive(0), createLive(1), createEndpoint(0, Server.State.GONE), createLive(2)))
                .isEqualTo("1=LIVE 2=LIVE");
        assertThat(applyList(false, 1, createEndpoint(1, Server.State.DRAINING), createLive(1)))
                .isEqualTo("1=LIVE");
    }

    @Test
    void aDrainedServerThatReturnsAfterItsReplacementIsPublishedAsGoneInTime() {
        applyList(true, 0, createLive(2), createLive(3));
        applyList(false, 10, createEndpoint(3, Server.State.DRAINING));
        applyList(false, 20, createLive(0), createLive(1));
        assertThat(applyList(false, 30, createLive(3))).isEqualTo("3=DRAINING");
        assertThat(applyList(false, 1030)).isEqualTo("2=GONE 3=GONE");
    }
}
