package spartrail.subset;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import spartrail.subset.SubsetSelector.LiveServer;

class SubsetSelectorTest {
    private static final SubsetSettings FOUR_REPLICAS_IN_TWO_ZONES = new SubsetSettings(4, 2);

    private static LiveServer createServer(int number, String zone, int cell) {
        return new LiveServer("s-" + number, zone, cell, 1);
    }

    /** Servers of one shard, assigned to the zones in turn. */
    private static List<LiveServer> createServers(int count, String... zones) {
        return IntStream.range(0, count)
                .mapToObj(number -> createServer(number, zones[number % zones.length], 0))
                .toList();
    }

    private static SubsetSelector createSelector(String node, SubsetSettings settings, List<LiveServer> servers) {
        SubsetSelector selector = new SubsetSelector(node, settings, 1, 1, 1);
        selector.apply(servers, List.of());
        return selector;
    }

    @Test
    void allReplicasAreSelectedIfThereAreFewerThanWanted() {
        assertThat(createSelector("n", FOUR_REPLICAS_IN_TWO_ZONES, createServers(3, "a"))
                        .selectedReplicas(0))
                .containsExactlyInAnyOrder("s-0", "s-1", "s-2");
        assertThat(createSelector("n", FOUR_REPLICAS_IN_TWO_ZONES, List.of()).selectedReplicas(0))
                .isEmpty();
    }

    @Test
    void sparesReplaceLostReplicasInOrder() {
        SubsetSelector selector = createSelector("n", FOUR_REPLICAS_IN_TWO_ZONES, createServers(20, "a"));
        List<String> spares = selector.spares(0);
        List<String> chosen = selector.selectedReplicas(0);
        assertThat(selector.apply(List.of(), List.of(chosen.get(2))))
                .isEqualTo(new SubsetChange(List.of(spares.get(0)), List.of()));
        assertThat(selector.apply(List.of(), List.of(chosen.get(0))))
                .isEqualTo(new SubsetChange(List.of(spares.get(1)), List.of()));
        assertThat(selector.selectedReplicas(0))
                .containsExactlyInAnyOrder(chosen.get(1), chosen.get(3), spares.get(0), spares.get(1));
    }

    @Test
    void aReplicaThatReturnsDisplacesTheLastSpare() {
        SubsetSelector selector = createSelector("n", FOUR_REPLICAS_IN_TWO_ZONES, createServers(20, "a"));
        String first = selector.selectedReplicas(0).get(0);
        String spare = selector.spares(0).get(0);
        selector.apply(List.of(), List.of(first));
        LiveServer returned = createServer(Integer.parseInt(first.substring(2)), "a", 0);
        assertThat(selector.apply(List.of(returned), List.of()))
                .isEqualTo(new SubsetChange(List.of(first), List.of(spare)));
    }

    @Test
    void theSelectionHasTwoZonesIfTheLiveReplicasHave() {
        List<LiveServer> servers = new ArrayList<>(createServers(40, "a"));
        servers.add(createServer(99, "b", 0));
        for (int node = 0; node < 50; node++) {
            SubsetSelector selector = createSelector("n" + node, FOUR_REPLICAS_IN_TWO_ZONES, servers);
            assertThat(selector.selectedReplicas(0)).hasSize(4).contains("s-99");
            SubsetChange change = selector.apply(List.of(), List.of("s-99"));
            assertThat(change.joined()).hasSize(1);
            assertThat(selector.selectedReplicas(0)).hasSize(4);
        }
    }

    @Test
    void theSubsetDoesNotDependOnEarlierChanges() {
        Random random = new Random(3);
        SubsetSelector selector = new SubsetSelector("n", new SubsetSettings(5, 3), 7, 7, 2);
        Map<String, LiveServer> live = new HashMap<>();
        Set<String> selected = new HashSet<>();
        for (int step = 0; step < 3000; step++) {
            LiveServer server = new LiveServer(
                    "s-" + random.nextInt(120), "zone-" + random.nextInt(4), random.nextInt(7), 1 + random.nextInt(2));
            SubsetChange change;
            if (random.nextBoolean()) {
                live.put(server.id(), server);
                change = selector.apply(List.of(server), List.of());
            } else {
                live.remove(server.id());
                change = selector.apply(List.of(), List.of(server.id()));
                selected.remove(server.id());
            }
            assertThat(change.joined())
                    .as("a server that was in the subset does not join")
                    .noneMatch(selected::contains);
            selected.addAll(change.joined());
            selected.removeAll(change.displaced());
            SubsetSelector fresh = new SubsetSelector("n", new SubsetSettings(5, 3), 7, 7, 2);
            fresh.apply(live.values(), List.of());
            assertThat(selector.selectedServers()).containsExactlyInAnyOrderElementsOf(fresh.selectedServers());
            assertThat(selected)
                    .as("the subset that results from all changes")
                    .containsExactlyInAnyOrderElementsOf(selector.selectedServers());
        }
    }

    @Test
    void aChangeOfOneServerReplacesAtMostOneReplicaPerShard() {
        Random random = new Random(4);
        SubsetSelector selector =
                createSelector("n", new SubsetSettings(6, 3), createServers(60, "a", "b", "c", "d", "d", "d"));
        for (int step = 0; step < 2000; step++) {
            int number = random.nextInt(60);
            LiveServer server =
                    createServer(number, List.of("a", "b", "c", "d", "d", "d").get(number % 6), 0);
            List<String> before = selector.selectedReplicas(0);
            boolean joins = random.nextInt(3) > 0;
            selector.apply(joins ? List.of(server) : List.of(), joins ? List.of() : List.of(server.id()));
            List<String> joined = new ArrayList<>(selector.selectedReplicas(0));
            joined.removeAll(before);
            assertThat(joined).hasSizeLessThanOrEqualTo(1);
        }
    }

    @Test
    void aServerOfTwiceTheWeightIsSelectedByTwiceAsManyNodes() {
        List<LiveServer> servers = new ArrayList<>(createServers(100, "a", "b"));
        servers.set(0, new LiveServer("s-0", "a", 0, 2));
        int[] selections = new int[2];
        for (int node = 0; node < 20_000; node++) {
            SubsetSelector selector = createSelector("node-" + node, FOUR_REPLICAS_IN_TWO_ZONES, servers);
            selections[0] += selector.isSelected("s-0") ? 1 : 0;
            selections[1] += selector.isSelected("s-1") ? 1 : 0;
        }
        assertThat(selections[1]).isBetween(700, 900);
        assertThat(selections[0] / (double) selections[1]).isBetween(1.8, 2.1);
    }

    @Test
    void noServerIsSharedByMoreNodesThanTheBound() {
        for (List<LiveServer> servers : List.of(
                createServers(40, "a", "b"),
                createServers(40, "a", "a", "a", "a", "b"),
                createServers(5, "a"),
                withWeights(createServers(40, "a", "b", "c")))) {
            Map<String, Integer> sharing = new HashMap<>();
            int bound = 0;
            for (int node = 0; node < 1000; node++) {
                SubsetSelector selector = createSelector("node-" + node, FOUR_REPLICAS_IN_TWO_ZONES, servers);
                selector.selectedReplicas(0).forEach(id -> sharing.merge(id, 1, Integer::sum));
                bound = selector.nodesPerServer(1000);
            }
            int maxSharing =
                    sharing.values().stream().mapToInt(count -> count).max().orElseThrow();
            assertThat(maxSharing).isLessThanOrEqualTo(bound);
        }
        assertThat(createSelector("n", FOUR_REPLICAS_IN_TWO_ZONES, createServers(40, "a", "b"))
                        .nodesPerServer(1000))
                .as("bound for an average of 100 nodes")
                .isBetween(140, 180);
    }

    private static List<LiveServer> withWeights(List<LiveServer> servers) {
        return servers.stream()
                .map(server -> new LiveServer(
                        server.id(), server.zone(), 0, server.id().endsWith("3") ? 4 : 1))
                .toList();
    }

    @Test
    void theSharingBoundIsCloseToTheMeanAndBetweenOneAndAllNodes() {
        assertThat(SharingBound.nodesPerServer(100, 1)).isEqualTo(100);
        assertThat(SharingBound.nodesPerServer(1, 0.1)).isEqualTo(1);
        assertThat(SharingBound.nodesPerServer(0, 0)).isEqualTo(1);
        assertThat(SharingBound.nodesPerServer(3900, 8 / 248.0)).isBetween(180, 195);
        assertThat(SharingBound.nodesPerServer(3900, 1e-9)).isLessThan(4);
    }

    @Test
    void invalidSettingsAreRejected() {
        assertThatThrownBy(() -> new SubsetSettings(0, 1))
                .hasMessage("'replicasPerShard of subset': found 0, 1 or more is expected");
        assertThatThrownBy(() -> new SubsetSettings(2, 3))
                .hasMessage("'leastZones of subset': found 3, 1 to 'replicasPerShard', 2, is expected");
    }
}
