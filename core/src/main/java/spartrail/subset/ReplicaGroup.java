package spartrail.subset;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The live replicas of the shards that the same cells hold, in this node's order, and which of them the node uses.
 *
 * <p>Chosen are, along the order, the first replica of each of the first {@code leastZones} zones and the first of all others, up to
 * {@code replicasPerShard}. Such a choice is the first basis of a matroid, so a replica that joins or leaves exchanges one other at
 * the most; only where a zone more or less than {@code leastZones} is left are there more.
 *
 * <p>Cost: a change of one replica takes time by the replicas of the group, and so does a selection.
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

    /** Chooses anew; the choice holds from {@link #applyChoice} on. */
    void choose(SubsetSettings settings) {
        sortIfNeeded();
        chosen = chooseReplicas(settings);
        inclusionProbability = inclusionBound(settings);
    }

    /** Those selected so far, and those chosen now. */
    List<Replica> selectedAndChosen() {
        List<Replica> both = new ArrayList<>(selected);
        both.addAll(chosen);
        return both;
    }

    /** What was chosen is selected, and each replica counts in how many groups it is. */
    void applyChoice() {
        selected.forEach(replica -> replica.selectedIn--);
        selected = chosen;
        selected.forEach(replica -> replica.selectedIn++);
    }

    /** The bound of {@link #inclusionBound} for the present choice; 0 without a replica. */
    double inclusionProbability() {
        return inclusionProbability;
    }

    private List<Replica> chooseReplicas(SubsetSettings settings) {
        int wanted = Math.min(settings.replicasPerShard(), ordered.size());
        int zonesWanted = Math.min(settings.leastZones(), replicasInZone.size());
        int freePlaces = wanted - Math.min(zonesWanted, wanted);
        List<Replica> first = new ArrayList<>(wanted);
        Set<String> zones = new HashSet<>();
        for (Replica replica : ordered) {
            if (first.size() == wanted) {
                break;
            }
            if (zones.size() < zonesWanted && zones.add(replica.zone)) {
                first.add(replica);
            } else if (freePlaces > 0) {
                freePlaces--;
                first.add(replica);
            }
        }
        return first;
    }

    /** Those that the node uses, in order. */
    List<Replica> selected() {
        return selected;
    }

    /** Those not chosen, in the order in which they follow. */
    List<Replica> spares() {
        Set<Replica> used = new HashSet<>(selected);
        return ordered.stream().filter(replica -> !used.contains(replica)).toList();
    }

    /**
     * An upper bound of the probability that a node with a random name has a given replica in its subset, whichever it is. A
     * replica is in for its place in the order, or as the first of its zone. The first is exactly wanted / size where weights are
     * equal; else each of the draws takes it with at most its weight over what the heaviest draws before leave. The second needs
     * that all draws miss all zones but {@code leastZones - 1}, and then that it is the first of its zone.
     */
    private double inclusionBound(SubsetSettings settings) {
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
        return Math.min(1, byOrder + zoneShare(settings, wanted, heaviest, lightest));
    }

    private double zoneShare(SubsetSettings settings, int wanted, double heaviest, double lightest) {
        int others = Math.min(settings.leastZones(), replicasInZone.size()) - 1;
        if (others < 1) {
            return 0;
        }
        List<Integer> sizes = new ArrayList<>(replicasInZone.values());
        sizes.sort(Collections.reverseOrder());
        double largest = 0;
        double choices = 1;
        for (int i = 0; i < others; i++) {
            largest += sizes.get(i);
            choices *= (sizes.size() - i) / (double) (i + 1);
        }
        double inLargest =
                Math.min(1, largest * heaviest / (largest * heaviest + (ordered.size() - largest) * lightest));
        double allInLargest = Math.min(1, choices * Math.pow(inLargest, wanted));
        return allInLargest * (heaviest / lightest) / sizes.get(sizes.size() - 1);
    }
}
