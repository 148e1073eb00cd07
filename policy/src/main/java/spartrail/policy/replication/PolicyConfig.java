package spartrail.policy.replication;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import spartrail.policy.PolicyTimings;

/** What the peers' file says about policy; its form is in {@code deploy/peers.schema.json}. */
final class PolicyConfig {
    private static final Set<String> NAMES =
            new TreeSet<>(Set.of("deciders", "leaseMs", "askMs", "prepareMs", "readyMs", "drift"));

    final List<String> deciders = new ArrayList<>();
    final PolicyTimings times;

    PolicyConfig(Map<?, ?> tree) {
        for (Object name : tree.keySet()) {
            if (!NAMES.contains(name)) {
                throw new IllegalArgumentException(
                        "/policy/" + name + ": is unknown, one of " + NAMES + " is expected");
            }
        }
        if (!(tree.get("deciders") instanceof List<?> names)
                || names.size() != 3 && names.size() != 5
                || Set.copyOf(names).size() != names.size()) {
            throw new IllegalArgumentException(
                    "/policy/deciders: found " + tree.get("deciders") + ", the names of 3 or 5 nodes are expected");
        }
        names.forEach(name -> deciders.add(String.valueOf(name)));
        PolicyTimings usual = PolicyTimings.DEFAULTS;
        times = new PolicyTimings(
                number(tree, "leaseMs", usual.leaseMs()),
                number(tree, "askMs", usual.pollIntervalMs()),
                number(tree, "prepareMs", usual.voteTimeoutMs()),
                number(tree, "readyMs", usual.startupTimeoutMs()),
                number(tree, "drift", usual.maxClockDrift()));
        if (times.pollIntervalMs() * 2 > times.leaseMs() || times.maxClockDrift() > 0.2) {
            throw new IllegalArgumentException("/policy/leaseMs: found " + times.leaseMs() + " with askMs "
                    + times.pollIntervalMs() + " and drift " + times.maxClockDrift()
                    + ", at least two questions a lease and a drift of 0.2 at most are expected");
        }
    }

    private static double number(Map<?, ?> tree, String name, double usual) {
        Object value = tree.get(name);
        if (value == null) {
            return usual;
        }
        if (value instanceof Number number && number.doubleValue() > 0) {
            return number.doubleValue();
        }
        throw new IllegalArgumentException("/policy/" + name + ": found " + value + ", a number above 0 is expected");
    }
}
