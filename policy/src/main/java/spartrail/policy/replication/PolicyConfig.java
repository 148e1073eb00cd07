package spartrail.policy.replication;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import spartrail.policy.PolicyTimings;

/**
 * The policy section of the peers file; its format is in {@code deploy/peers.schema.json}.
 *
 * @param voters the names of the nodes that vote on the log
 */
record PolicyConfig(List<String> voters, PolicyTimings times) {
    private static final String VOTERS = "deciders";
    private static final String LEASE = "leaseMs";
    private static final String POLL_INTERVAL = "askMs";
    private static final String VOTE_TIMEOUT = "prepareMs";
    private static final String STARTUP_TIMEOUT = "readyMs";
    private static final String MAX_CLOCK_DRIFT = "drift";
    private static final Set<String> NAMES =
            new TreeSet<>(Set.of(VOTERS, LEASE, POLL_INTERVAL, VOTE_TIMEOUT, STARTUP_TIMEOUT, MAX_CLOCK_DRIFT));

    private static final Set<Integer> PERMITTED_VOTER_COUNTS = Set.of(3, 5);
    private static final int MIN_POLLS_PER_LEASE = 2;
    private static final double CLOCK_DRIFT_LIMIT = 0.2;

    /** Reads the section; the IllegalArgumentException names the field, the value found and the values expected. */
    static PolicyConfig of(Map<?, ?> tree) {
        for (Object name : tree.keySet()) {
            if (!NAMES.contains(name)) {
                throw new IllegalArgumentException(
                        "/policy/" + name + ": unknown field, one of " + NAMES + " is expected");
            }
        }
        PolicyConfig config = new PolicyConfig(readVoters(tree.get(VOTERS)), readTimes(tree));
        config.checkTimes();
        return config;
    }

    private static List<String> readVoters(Object found) {
        if (!(found instanceof List<?> names)
                || !PERMITTED_VOTER_COUNTS.contains(names.size())
                || Set.copyOf(names).size() != names.size()) {
            throw new IllegalArgumentException(
                    "/policy/deciders: found " + found + ", the names of 3 or 5 nodes are expected");
        }
        return names.stream().map(String::valueOf).toList();
    }

    private static PolicyTimings readTimes(Map<?, ?> tree) {
        PolicyTimings defaults = PolicyTimings.DEFAULTS;
        return new PolicyTimings(
                readNumber(tree, LEASE, defaults.leaseMs()),
                readNumber(tree, POLL_INTERVAL, defaults.pollIntervalMs()),
                readNumber(tree, VOTE_TIMEOUT, defaults.voteTimeoutMs()),
                readNumber(tree, STARTUP_TIMEOUT, defaults.startupTimeoutMs()),
                readNumber(tree, MAX_CLOCK_DRIFT, defaults.maxClockDrift()));
    }

    private static double readNumber(Map<?, ?> tree, String name, double defaultValue) {
        Object value = tree.get(name);
        if (value == null) {
            return defaultValue;
        }
        if (value instanceof Number number && number.doubleValue() > 0) {
            return number.doubleValue();
        }
        throw new IllegalArgumentException("/policy/" + name + ": found " + value + ", a number above 0 is expected");
    }

    private void checkTimes() {
        boolean isPolledOften = times.pollIntervalMs() * MIN_POLLS_PER_LEASE <= times.leaseMs();
        if (!isPolledOften || times.maxClockDrift() > CLOCK_DRIFT_LIMIT) {
            throw new IllegalArgumentException("/policy/leaseMs: found " + times.leaseMs() + " with askMs "
                    + times.pollIntervalMs() + " and drift " + times.maxClockDrift()
                    + ", at least two polls per lease and a drift of at most 0.2 are expected");
        }
    }
}
