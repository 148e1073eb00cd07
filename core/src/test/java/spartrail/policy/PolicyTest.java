package spartrail.policy;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGeneratorFactory;
import org.junit.jupiter.api.Test;

/** The log, what the leader does about it, and what a node goes by, told as short traces. */
class PolicyTest {
    private static final PolicyTimings TIMES = new PolicyTimings(3000, 1000, 8000, 5000, 0.02);
    private static final String QUICK = "{\"opTypes\":{\"orders\":{\"budgetMs\":1000}}}";

    private final PolicyLog log = new PolicyLog();
    private long index;

    private String apply(LogOperation.Kind kind, long number, String text, String who, String token) {
        return log.apply(++index, new LogOperation(kind, number, text, who, token));
    }

    @Test
    void aProposalEndsOneWayAndOnlyThat() {
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
        assertThat(log.holds().number()).isEqualTo(2);
        PolicyLog restored = new PolicyLog();
        restored.restore(index, log.plain());
        assertThat(restored.plain()).isEqualTo(log.plain());
        assertThat(restored.entries())
                .extracting(entry -> entry.number() + " " + entry.stage() + " " + entry.why())
                .containsExactly("1 REFUSED n3: cannot", "2 HOLDS ");
    }

    private static String op(LogOperation op) {
        return op == null ? "-" : op.kind() + (op.text().isEmpty() ? "" : " " + op.who() + ": " + op.text());
    }

    @Test
    void theLeaderWaitsForEverybodyThatIsThereOrHoldsALease() {
        PolicyLeader leader = new PolicyLeader(TIMES);
        leader.leads(true);
        apply(LogOperation.Kind.PROPOSE, 0, QUICK, "first", "a");
        List<String> there = List.of("n0", "n1");
        leader.asked(new PolicyRequest(1, "n5", 0, "", ""), 500);
        assertThat(op(leader.due(log, there, 1000))).isEqualTo("-");
        leader.asked(new PolicyRequest(1, "n0", 1, "", ""), 1100);
        leader.asked(new PolicyRequest(1, "n1", 1, "", ""), 1200);
        // n5 is not there any more, but its lease may last.
        assertThat(op(leader.due(log, there, 2100))).isEqualTo("-");
        assertThat(op(leader.due(log, there, 500 + TIMES.overMs() - 1))).isEqualTo("-");
        assertThat(op(leader.due(log, there, 500 + TIMES.overMs() + 1))).isEqualTo("DECIDE");
        apply(LogOperation.Kind.DECIDE, 1, "", "", "");
        assertThat(op(leader.due(log, there, 4000))).isEqualTo("-");
        assertThat(op(leader.due(log, there, 4000 + TIMES.overMs() - 1))).isEqualTo("-");
        assertThat(op(leader.due(log, there, 4001 + TIMES.overMs()))).isEqualTo("HOLD");
        // Another one that begins to lead knows nothing of that wait.
        PolicyLeader next = new PolicyLeader(TIMES);
        next.leads(true);
        assertThat(op(next.due(log, there, 9000))).isEqualTo("-");
        assertThat(op(next.due(log, there, 9001 + TIMES.overMs()))).isEqualTo("HOLD");
    }

    @Test
    void oneNoRefusesAndSoDoesSilence() {
        PolicyLeader leader = new PolicyLeader(TIMES);
        leader.leads(true);
        apply(LogOperation.Kind.PROPOSE, 0, QUICK, "first", "a");
        leader.due(log, List.of("n0", "n1"), 0);
        leader.asked(new PolicyRequest(1, "n1", 1, "no such op type", ""), 100);
        assertThat(op(leader.due(log, List.of("n0", "n1"), 200))).isEqualTo("REFUSE n1: no such op type");
        apply(LogOperation.Kind.REFUSE, 1, "", "", "");
        apply(LogOperation.Kind.PROPOSE, 0, QUICK, "first", "b");
        leader.due(log, List.of("n0", "n1"), 1000);
        leader.asked(new PolicyRequest(1, "n1", 2, "", ""), 1100);
        assertThat(op(leader.due(log, List.of("n0", "n1"), 8900))).isEqualTo("-");
        assertThat(op(leader.due(log, List.of("n0", "n1"), 9000))).isEqualTo("REFUSE n0: said nothing in 8000 ms");
    }

    private static String by(PolicyFollower node, double atMs) {
        PolicyLease ruling = node.ruling() == null ? null : node.ruling().at(atMs);
        return ruling == null
                ? "-"
                : ruling.name()
                        + (ruling.guarded() ? " guarded " : " ")
                        + (long) ruling.terms().number("/opTypes/orders/budgetMs");
    }

    private PolicyResponse told(PolicyRequest ask) {
        return new PolicyResponse(ask.nonce(), index, log.holds(), log.open());
    }

    @Test
    void aNodeGoesByWhatItWasToldUntilItsLeaseIsOver() {
        PolicyFollower node = new PolicyFollower(
                "n1",
                List.of("n0", "n1", "n2"),
                PolicySettingsTest.OWN,
                TIMES,
                RandomGeneratorFactory.of("L64X128MixRandom").create(1),
                0);
        assertThat(by(node, 0)).isEqualTo("-");
        PolicyRequest first = node.ask(0);
        node.told(told(first), 400);
        assertThat(by(node, 2999)).isEqualTo("0 2000");
        // The lease counts from the question at 0, not from the answer.
        assertThat(by(node, 3000)).isEqualTo("0? guarded 2000");
        apply(LogOperation.Kind.PROPOSE, 0, QUICK, "first", "a");
        node.told(told(node.ask(1200)), 1210);
        assertThat(node.toCheck().number()).isEqualTo(1);
        assertThat(by(node, 4199) + ", " + by(node, 4200)).isEqualTo("0 2000, 0|1? guarded 1000");
        node.checked(1, "", 1300);
        PolicyRequest says = node.ask(1300);
        assertThat(says.vote() + " " + says.no()).isEqualTo("1 ");
        apply(LogOperation.Kind.DECIDE, 1, "", "", "");
        PolicyRequest late = node.ask(2500);
        PolicyResponse decided = told(says);
        node.told(decided, 2600);
        assertThat(by(node, 2600)).isEqualTo("0|1 guarded 1000");
        // Said twice, and an answer that was overtaken: nothing.
        node.told(decided, 2700);
        apply(LogOperation.Kind.HOLD, 1, "", "", "");
        node.told(told(late), 2800);
        assertThat(by(node, 2800) + ", " + by(node, 5499) + ", " + by(node, 5500))
                .isEqualTo("1 1000, 1 1000, 1? guarded 1000");
        PolicyRequest again = node.ask(4000);
        node.told(new PolicyResponse(again.nonce(), 1, PolicyLog.OWN, null), 4100);
        assertThat(by(node, 4100)).isEqualTo("1 1000");
        // It stood still for long: whoever decides looks at the clock first, and finds the lease over.
        assertThat(by(node, 60_000)).isEqualTo("1? guarded 1000");
    }

    /** Danger: the one who is named as the leader was passed over for the next in turn, and most questions went to the wrong node. */
    @Test
    void itAsksWhoeverIsNamedAndPassesOverWhoDoesNotAnswer() {
        PolicyFollower node = new PolicyFollower(
                "n1",
                List.of("n0", "n1", "n2"),
                PolicySettingsTest.OWN,
                TIMES,
                RandomGeneratorFactory.of("L64X128MixRandom").create(1),
                0);
        List<String> asked = new ArrayList<>();
        node.ask(0);
        asked.add(node.whom());
        node.ask(1200);
        asked.add(node.whom());
        node.elsewhere("n2", 1202);
        assertThat(node.nextMs()).isEqualTo(1300);
        PolicyRequest ask = node.ask(1300);
        asked.add(node.whom());
        node.told(told(ask), 1310);
        node.ask(2500);
        asked.add(node.whom());
        node.elsewhere("", 2510);
        node.ask(3800);
        asked.add(node.whom());
        assertThat(asked).containsExactly("n2", "n0", "n2", "n2", "n2");
    }

    /**
     * Danger: cut off while a version was decided that it cannot go by, it got a lease on the version before alone, which outlasted
     * that version.
     */
    @Test
    void afterADecisionNobodyGetsALeaseOnTheVersionBeforeAlone() {
        PolicyFollower node = new PolicyFollower(
                "n1",
                List.of("n0", "n1", "n2"),
                PolicySettingsTest.OWN,
                TIMES,
                RandomGeneratorFactory.of("L64X128MixRandom").create(1),
                0);
        node.told(told(node.ask(0)), 10);
        apply(LogOperation.Kind.PROPOSE, 0, "{\"opTypes\":{\"sales\":{\"budgetMs\":3}}}", "first", "a");
        apply(LogOperation.Kind.DECIDE, 1, "", "", "");
        node.told(told(node.ask(1200)), 1210);
        assertThat(by(node, 1210)).isEqualTo("0? guarded 2000");
        assertThat(node.unfit()).startsWith("cannot go by version 1: ");
    }

    @Test
    void aNodeThatHearsNothingServesGuardedAfterAWhileAndOneThatCannotGoByItNotAtAll() {
        PolicyFollower node = new PolicyFollower(
                "n1",
                List.of("n0", "n1", "n2"),
                PolicySettingsTest.OWN,
                TIMES,
                RandomGeneratorFactory.of("L64X128MixRandom").create(1),
                0);
        node.ask(0);
        node.ask(4999);
        assertThat(by(node, 4999)).isEqualTo("-");
        node.ask(5000);
        assertThat(by(node, 5000)).isEqualTo("0? guarded 2000");
        apply(LogOperation.Kind.PROPOSE, 0, "{\"opTypes\":{\"sales\":{\"budgetMs\":3}}}", "first", "a");
        apply(LogOperation.Kind.DECIDE, 1, "", "", "");
        apply(LogOperation.Kind.HOLD, 1, "", "", "");
        node.told(told(node.ask(7000)), 7010);
        // It served by itself already, and is out of touch from now on.
        assertThat(by(node, 7010)).isEqualTo("0? guarded 2000");
        PolicyFollower fresh = new PolicyFollower(
                "n2",
                List.of("n0", "n1", "n2"),
                PolicySettingsTest.OWN,
                TIMES,
                RandomGeneratorFactory.of("L64X128MixRandom").create(1),
                0);
        fresh.told(told(fresh.ask(0)), 10);
        assertThat(by(fresh, 10)).isEqualTo("-");
        assertThat(node.unfit())
                .isEqualTo("cannot go by version 1: /opTypes/sales/budgetMs: this node has no such op type");
    }
}
