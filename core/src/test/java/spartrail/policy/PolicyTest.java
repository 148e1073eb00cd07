package spartrail.policy;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGeneratorFactory;
import org.junit.jupiter.api.Test;

/**
 * Checks {@link PolicyLog}, {@link PolicyLeader} and {@link PolicyFollower} by short traces of operations and polls.
 */
class PolicyTest {
    private static final PolicyTimings TIMES = new PolicyTimings(3000, 1000, 8000, 5000, 0.02);
    private static final String QUICK = "{\"opTypes\":{\"orders\":{\"budgetMs\":1000}}}";

    private final PolicyLog log = new PolicyLog();
    private long index;

    private String apply(LogOperation.Kind kind, long number, String text, String issuer, String token) {
        return log.apply(++index, new LogOperation(kind, number, text, issuer, token));
    }

    @Test
    void aProposalIsFinishedOnceAndOnlyOneIsPending() {
        List<String> trace = new ArrayList<>();
        trace.add(apply(LogOperation.Kind.PROPOSE, 0, QUICK, "first", "a"));
        trace.add(apply(LogOperation.Kind.PROPOSE, 0, QUICK, "first", "a"));
        trace.add(apply(LogOperation.Kind.PROPOSE, 0, QUICK, "second", "b"));
        trace.add(apply(LogOperation.Kind.HOLD, 1, "", "", ""));
        trace.add(apply(LogOperation.Kind.REFUSE, 1, "cannot", "n3", ""));
        trace.add(apply(LogOperation.Kind.DECIDE, 1, "", "", ""));
        trace.add(apply(LogOperation.Kind.PROPOSE, 0, QUICK, "first", "a"));
        trace.add(apply(LogOperation.Kind.PROPOSE, 0, "{\"sends\":{\"most\":-1}}", "second", "c"));
        trace.add(apply(LogOperation.Kind.PROPOSE, 0, QUICK, "second", "d"));
        trace.add(apply(LogOperation.Kind.DECIDE, 2, "", "", ""));
        trace.add(apply(LogOperation.Kind.ABORT, 2, "", "second", ""));
        trace.add(apply(LogOperation.Kind.HOLD, 2, "", "", ""));
        trace.add(apply(LogOperation.Kind.HOLD, 2, "", "", ""));
        assertThat(String.join("\n", trace))
                .isEqualTo(
                        """
                1
                1
                !proposal 1 by first is still open
                !1 is not decided
                1
                !no proposal 1 is open
                1
                !/sends/most: found -1, a number of 1 or more is expected
                2
                2
                !2 is decided and will hold
                2
                !no proposal 2 is open""");
        assertThat(log.active().number()).isEqualTo(2);
        PolicyLog restored = new PolicyLog();
        restored.restoreSnapshot(index, log.toSnapshot());
        assertThat(restored.toSnapshot()).isEqualTo(log.toSnapshot());
        assertThat(restored.finished())
                .extracting(entry -> entry.number() + " " + entry.stage() + " " + entry.reason())
                .containsExactly("1 REFUSED n3: cannot", "2 HOLDS ");
    }

    private static String describe(LogOperation operation) {
        if (operation == null) {
            return "-";
        }
        String detail = operation.text().isEmpty() ? "" : " " + operation.issuer() + ": " + operation.text();
        return operation.kind() + detail;
    }

    @Test
    void theLeaderWaitsForVotesOfLiveNodesAndForLeasesToExpire() {
        PolicyLeader leader = new PolicyLeader(TIMES);
        leader.setLeading(true);
        apply(LogOperation.Kind.PROPOSE, 0, QUICK, "first", "a");
        List<String> liveNodes = List.of("n0", "n1");
        leader.onRequest(new PolicyRequest(1, "n5", 0, "", ""), 500);
        assertThat(describe(leader.nextOperation(log, liveNodes, 1000))).isEqualTo("-");
        leader.onRequest(new PolicyRequest(1, "n0", 1, "", ""), 1100);
        leader.onRequest(new PolicyRequest(1, "n1", 1, "", ""), 1200);
        // n5 is no longer live, but its lease may not have expired yet.
        assertThat(describe(leader.nextOperation(log, liveNodes, 2100))).isEqualTo("-");
        assertThat(describe(leader.nextOperation(log, liveNodes, 500 + TIMES.leaseExpiryBoundMs() - 1)))
                .isEqualTo("-");
        assertThat(describe(leader.nextOperation(log, liveNodes, 500 + TIMES.leaseExpiryBoundMs() + 1)))
                .isEqualTo("DECIDE");
        apply(LogOperation.Kind.DECIDE, 1, "", "", "");
        assertThat(describe(leader.nextOperation(log, liveNodes, 4000))).isEqualTo("-");
        assertThat(describe(leader.nextOperation(log, liveNodes, 4000 + TIMES.leaseExpiryBoundMs() - 1)))
                .isEqualTo("-");
        assertThat(describe(leader.nextOperation(log, liveNodes, 4001 + TIMES.leaseExpiryBoundMs())))
                .isEqualTo("HOLD");
        // A new leader does not know when the wait of the previous one began, and starts it again.
        PolicyLeader next = new PolicyLeader(TIMES);
        next.setLeading(true);
        assertThat(describe(next.nextOperation(log, liveNodes, 9000))).isEqualTo("-");
        assertThat(describe(next.nextOperation(log, liveNodes, 9001 + TIMES.leaseExpiryBoundMs())))
                .isEqualTo("HOLD");
    }

    @Test
    void anObjectionOrAMissingVoteRefusesAProposal() {
        PolicyLeader leader = new PolicyLeader(TIMES);
        leader.setLeading(true);
        apply(LogOperation.Kind.PROPOSE, 0, QUICK, "first", "a");
        leader.nextOperation(log, List.of("n0", "n1"), 0);
        leader.onRequest(new PolicyRequest(1, "n1", 1, "no such op type", ""), 100);
        assertThat(describe(leader.nextOperation(log, List.of("n0", "n1"), 200)))
                .isEqualTo("REFUSE n1: no such op type");
        apply(LogOperation.Kind.REFUSE, 1, "", "", "");
        apply(LogOperation.Kind.PROPOSE, 0, QUICK, "first", "b");
        leader.nextOperation(log, List.of("n0", "n1"), 1000);
        leader.onRequest(new PolicyRequest(1, "n1", 2, "", ""), 1100);
        assertThat(describe(leader.nextOperation(log, List.of("n0", "n1"), 8900)))
                .isEqualTo("-");
        assertThat(describe(leader.nextOperation(log, List.of("n0", "n1"), 9000)))
                .isEqualTo("REFUSE n0: said nothing in 8000 ms");
    }

    private static String describeLease(PolicyFollower node, double atMs) {
        if (node.lease() == null) {
            return "-";
        }
        PolicyLease lease = node.lease().activeAt(atMs);
        return lease.label()
                + (lease.isJoint() ? " joint " : " ")
                + (long) lease.settings().number("/opTypes/orders/budgetMs");
    }

    private PolicyResponse responseTo(PolicyRequest poll) {
        return new PolicyResponse(poll.nonce(), index, log.active(), log.pending());
    }

    @Test
    void aNodeAppliesTheLatestResponseUntilItsLeaseExpires() {
        PolicyFollower node = new PolicyFollower(
                "n1",
                List.of("n0", "n1", "n2"),
                PolicySettingsTest.LOCAL_SETTINGS,
                TIMES,
                RandomGeneratorFactory.of("L64X128MixRandom").create(1),
                0);
        assertThat(describeLease(node, 0)).isEqualTo("-");
        PolicyRequest first = node.pollIfDue(0);
        node.onResponse(responseTo(first), 400);
        assertThat(describeLease(node, 2999)).isEqualTo("0 2000");
        // The lease starts with the poll at 0, not with the response at 400.
        assertThat(describeLease(node, 3000)).isEqualTo("0? joint 2000");
        apply(LogOperation.Kind.PROPOSE, 0, QUICK, "first", "a");
        node.onResponse(responseTo(node.pollIfDue(1200)), 1210);
        assertThat(node.proposalToCheck().number()).isEqualTo(1);
        assertThat(describeLease(node, 4199) + ", " + describeLease(node, 4200)).isEqualTo("0 2000, 0|1? joint 1000");
        node.recordVote(1, "", 1300);
        PolicyRequest vote = node.pollIfDue(1300);
        assertThat(vote.votedNumber() + " " + vote.objection()).isEqualTo("1 ");
        apply(LogOperation.Kind.DECIDE, 1, "", "", "");
        PolicyRequest late = node.pollIfDue(2500);
        PolicyResponse decided = responseTo(vote);
        node.onResponse(decided, 2600);
        assertThat(describeLease(node, 2600)).isEqualTo("0|1 joint 1000");
        // A duplicate response and one with a lower applied index change nothing.
        node.onResponse(decided, 2700);
        apply(LogOperation.Kind.HOLD, 1, "", "", "");
        node.onResponse(responseTo(late), 2800);
        assertThat(describeLease(node, 2800) + ", " + describeLease(node, 5499) + ", " + describeLease(node, 5500))
                .isEqualTo("1 1000, 1 1000, 1? joint 1000");
        PolicyRequest nextPoll = node.pollIfDue(4000);
        node.onResponse(new PolicyResponse(nextPoll.nonce(), 1, PolicyVersion.INITIAL, null), 4100);
        assertThat(describeLease(node, 4100)).isEqualTo("1 1000");
        // After a long pause of the process the lease has expired, and the first look at the clock shows it.
        assertThat(describeLease(node, 60_000)).isEqualTo("1? joint 1000");
    }

    /** If the next voter were polled instead of the named leader, most polls would go to the wrong node. */
    @Test
    void aFollowerPollsTheNamedLeaderAndSkipsNodesThatDoNotAnswer() {
        PolicyFollower node = new PolicyFollower(
                "n1",
                List.of("n0", "n1", "n2"),
                PolicySettingsTest.LOCAL_SETTINGS,
                TIMES,
                RandomGeneratorFactory.of("L64X128MixRandom").create(1),
                0);
        List<String> targets = new ArrayList<>();
        node.pollIfDue(0);
        targets.add(node.pollTarget());
        node.pollIfDue(1200);
        targets.add(node.pollTarget());
        node.onRedirect("n2", 1202);
        assertThat(node.nextPollAtMs()).isEqualTo(1300);
        PolicyRequest poll = node.pollIfDue(1300);
        targets.add(node.pollTarget());
        node.onResponse(responseTo(poll), 1310);
        node.pollIfDue(2500);
        targets.add(node.pollTarget());
        node.onRedirect("", 2510);
        node.pollIfDue(3800);
        targets.add(node.pollTarget());
        assertThat(targets).containsExactly("n2", "n0", "n2", "n2", "n2");
    }

    /**
     * A node may be disconnected while the others decide a version that it cannot apply. A lease on the previous
     * version alone, taken after that, would outlast the previous version.
     */
    @Test
    void noLeaseOnThePreviousVersionAloneIsTakenAfterADecision() {
        PolicyFollower node = new PolicyFollower(
                "n1",
                List.of("n0", "n1", "n2"),
                PolicySettingsTest.LOCAL_SETTINGS,
                TIMES,
                RandomGeneratorFactory.of("L64X128MixRandom").create(1),
                0);
        node.onResponse(responseTo(node.pollIfDue(0)), 10);
        apply(LogOperation.Kind.PROPOSE, 0, "{\"opTypes\":{\"sales\":{\"budgetMs\":3}}}", "first", "a");
        apply(LogOperation.Kind.DECIDE, 1, "", "", "");
        node.onResponse(responseTo(node.pollIfDue(1200)), 1210);
        assertThat(describeLease(node, 1210)).isEqualTo("0? joint 2000");
        assertThat(node.incompatibility()).startsWith("cannot apply version 1: ");
    }

    @Test
    void aNodeServesWithoutAResponseAfterTheStartupTimeoutButNotWithAnIncompatibleVersion() {
        PolicyFollower node = new PolicyFollower(
                "n1",
                List.of("n0", "n1", "n2"),
                PolicySettingsTest.LOCAL_SETTINGS,
                TIMES,
                RandomGeneratorFactory.of("L64X128MixRandom").create(1),
                0);
        node.pollIfDue(0);
        node.pollIfDue(4999);
        assertThat(describeLease(node, 4999)).isEqualTo("-");
        node.pollIfDue(5000);
        assertThat(describeLease(node, 5000)).isEqualTo("0? joint 2000");
        apply(LogOperation.Kind.PROPOSE, 0, "{\"opTypes\":{\"sales\":{\"budgetMs\":3}}}", "first", "a");
        apply(LogOperation.Kind.DECIDE, 1, "", "", "");
        apply(LogOperation.Kind.HOLD, 1, "", "", "");
        node.onResponse(responseTo(node.pollIfDue(7000)), 7010);
        // The node already served with its local settings, and keeps them because it cannot apply version 1.
        assertThat(describeLease(node, 7010)).isEqualTo("0? joint 2000");
        PolicyFollower fresh = new PolicyFollower(
                "n2",
                List.of("n0", "n1", "n2"),
                PolicySettingsTest.LOCAL_SETTINGS,
                TIMES,
                RandomGeneratorFactory.of("L64X128MixRandom").create(1),
                0);
        fresh.onResponse(responseTo(fresh.pollIfDue(0)), 10);
        assertThat(describeLease(fresh, 10)).isEqualTo("-");
        assertThat(node.incompatibility())
                .isEqualTo("cannot apply version 1: /opTypes/sales/budgetMs: this node has no such op type");
    }
}
