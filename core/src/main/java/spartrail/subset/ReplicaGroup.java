package spartrail.subset;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The live replicas of a group of shards that are held by the same cells, in this node's order, and the replicas that
 * the node selects from them.
 *
 * <p>A selection has {@code replicasPerShard} replicas. It takes, in the node's order, the first replica of each of the
 * first {@code leastZones} zones, and fills the remaining places with the first of the other replicas. Such a selection
 * is the first basis of a matroid, so a replica that joins or leaves replaces at most one other replica. More are
 * replaced only if the change takes the number of zones across {@code leastZones}.
 *
 * <p>Cost: a change of one replica and a selection each take time proportional to the replicas of the group.
 */
final class ReplicaGroup {
    private final List<Replica> ordered = new ArrayList<>();
    private final Map<String, Integer> replicasInZone = new HashMap<>();
    private List<Replica> selected = List.of();
    private List<Replica> chosen = List.of();
    private boolean isSorted = true;
    private double inclusionProbability;

    void add(Replica replica) {
        ordered.add(replica);
        isSorted = false;
        replicasInZone.merge(replica.zone, 1, Integer::sum);
    }

    void remove(Replica replica) {
        sortIfNeeded();
        ordered.remove(Collections.binarySearch(ordered, replica));
        replicasInZone.computeIfPresent(replica.zone, (zone, count) -> count == 1 ? null : count - 1);
    }

    private void sortIfNeeded() {
        if (!isSorted) {
            Collections.sort(ordered);
            isSorted = true;
        }
    }

    /** Chooses the replicas for the present members; the choice takes effect with {@link #applyChoice}. */
    void choose(SubsetSettings settings) {
        sortIfNeeded();
        chosen = chooseReplicas(settings);
        inclusionProbability = computeInclusionBound(settings);
    }

    /** The replicas selected until now, followed by those of the latest choice. */
    List<Replica> selectedAndChosen() {
        List<Replica> result = new ArrayList<>(selected);
        result.addAll(chosen);
        return result;
    }

    /** Makes the latest choice the selection, and updates the group counts of the replicas. */
    void applyChoice() {
        selected.forEach(replica -> replica.selectedGroupCount--);
        selected = chosen;
        selected.forEach(replica -> replica.selectedGroupCount++);
    }

    /** The result of {@link #computeInclusionBound} for the latest choice; 0 without replicas. */
    double inclusionProbability() {
        return inclusionProbability;
    }

    private List<Replica> chooseReplicas(SubsetSettings settings) {
        int wanted = Math.min(settings.replicasPerShard(), ordered.size());
        int zonesWanted = Math.min(settings.leastZones(), replicasInZone.size());
        int placesForAnyZone = wanted - Math.min(zonesWanted, wanted);
        List<Replica> first = new ArrayList<>(wanted);
        Set<String> zones = new HashSet<>();
        for (Replica replica : ordered) {
            if (first.size() == wanted) {
                break;
            }
            if (zones.size() < zonesWanted && zones.add(replica.zone)) {
                first.add(replica);
            } else if (placesForAnyZone > 0) {
                placesForAnyZone--;
                first.add(replica);
            }
        }
        return first;
    }

    /** The replicas that the node uses, in the node's order. */
    List<Replica> selected() {
        return selected;
    }

    /** The replicas that are not selected, in the node's order. */
    List<Replica> spares() {
        Set<Replica> used = new HashSet<>(selected);
        return ordered.stream().filter(replica -> !used.contains(replica)).toList();
    }

    /**
     * Computes an upper bound, valid for each replica, of the probability that a node with a random name selects the
     * replica. A replica is selected for its place in the order, or as the first of its zone. With equal weights the
     * probability of the first case is exactly wanted / size. Otherwise each draw takes the replica with a probability
     * of at most its weight divided by the weight that remains if all earlier draws took the heaviest replicas. The
     * second case requires that all draws fall into only {@code leastZones - 1} zones, and that the replica is the
     * first of its own zone.
     */
    private double computeInclusionBound(SubsetSettings settings) {
        int wanted = Math.min(settings.replicasPerShard(), ordered.size());
        if (wanted == ordered.size()) {
            return wanted == 0 ? 0 : 1;
        }
        double heaviest = 0;
        double totalWeight = 0;
        double lightest = Double.MAX_VALUE;
        for (Replica replica : ordered) {
            heaviest = Math.max(heaviest, replica.weight);
            lightest = Math.min(lightest, replica.weight);
            totalWeight += replica.weight;
        }
        double byOrder = heaviest == lightest
                ? wanted / (double) ordered.size()
                : wanted * heaviest / Math.max(heaviest, totalWeight - (wanted - 1) * heaviest);
        return Math.min(1, byOrder + computeZoneInclusionBound(settings, wanted, heaviest, lightest));
    }

    private double computeZoneInclusionBound(SubsetSettings settings, int wanted, double heaviest, double lightest) {
        int otherZones = Math.min(settings.leastZones(), replicasInZone.size()) - 1;
        if (otherZones < 1) {
            return 0;
        }
        List<Integer> sizes = new ArrayList<>(replicasInZone.values());
        sizes.sort(Collections.reverseOrder());
        double largest = 0;
        double choices = 1;
        for (int i = 0; i < otherZones; i++) {
            largest += sizes.get(i);
            choices *= (sizes.size() - i) / (double) (i + 1);
        }
        double inLargest =
                Math.min(1, largest * heaviest / (largest * heaviest + (ordered.size() - largest) * lightest));
        double allInLargest = Math.min(1, choices * Math.pow(inLargest, wanted));
        return allInLargest * (heaviest / lightest) / sizes.get(sizes.size() - 1);
    }
}
