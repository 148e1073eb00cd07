package spartrail.lab.subset;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import spartrail.subset.SubsetSelector;
import spartrail.subset.SubsetSelector.LiveServer;
import spartrail.subset.SubsetSettings;

/** Strategies for choosing the replicas of one shard that a node uses. */
enum SubsetStrategy {
    RENDEZVOUS("weighted rendezvous by names") {
        @Override
        List<String> choose(int ordinal, String node, List<LiveServer> replicas, SubsetSettings settings) {
            SubsetSelector selector = new SubsetSelector(node, settings, 1, 1, 1);
            selector.apply(
                    replicas.stream()
                            .map(server -> new LiveServer(server.id(), server.zone(), 0, server.weight()))
                            .toList(),
                    List.of());
            return selector.selectedReplicas(0);
        }
    },
    ALL("all replicas") {
        @Override
        List<String> choose(int ordinal, String node, List<LiveServer> replicas, SubsetSettings settings) {
            return replicas.stream().map(LiveServer::id).toList();
        }
    },
    RANDOM("random, by the node's own seed") {
        @Override
        List<String> choose(int ordinal, String node, List<LiveServer> replicas, SubsetSettings settings) {
            List<String> ids =
                    new ArrayList<>(replicas.stream().map(LiveServer::id).toList());
            Collections.shuffle(
                    ids,
                    new Random(node.hashCode() * 1_000_003L + replicas.get(0).cell()));
            return ids.subList(0, Math.min(settings.replicasPerShard(), ids.size()));
        }
    },
    ROUNDS("rounds by the node's ordinal") {
        @Override
        List<String> choose(int ordinal, String node, List<LiveServer> replicas, SubsetSettings settings) {
            int size = Math.min(settings.replicasPerShard(), replicas.size());
            int subsets = Math.max(1, replicas.size() / size);
            List<String> ids =
                    new ArrayList<>(replicas.stream().map(LiveServer::id).toList());
            Collections.shuffle(
                    ids, new Random(ordinal / subsets * 7919L + replicas.get(0).cell()));
            int from = ordinal % subsets * size;
            return ids.subList(from, from + size);
        }
    };

    final String summary;

    SubsetStrategy(String summary) {
        this.summary = summary;
    }

    abstract List<String> choose(int ordinal, String node, List<LiveServer> replicas, SubsetSettings settings);

    /** Returns how many servers of the second choice are not in the first. */
    static int countOpened(List<String> before, List<String> after) {
        Set<String> known = new HashSet<>(before);
        return (int) after.stream().filter(id -> !known.contains(id)).count();
    }
}
