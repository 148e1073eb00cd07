package spartrail.lab.rules;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import spartrail.lab.rules.PolicyRules.MultigetDecision;

/** The rules must detect deliberate breaches in a history, and none in a clean one. */
class PolicyRulesTest {
    private static final PolicyRules.Bounds BOUNDS = new PolicyRules.Bounds(3000, 4000, 10_000);

    private static MultigetDecision decision(double atMs, int node, String label) {
        return new MultigetDecision((long) (atMs * 1e6), node, 0, label);
    }

    /** Two nodes and the versions 0, 1 and 3; version 2 was refused. Node 1 was unreachable from 30 s to 40 s. */
    private static List<MultigetDecision> cleanHistory() {
        List<MultigetDecision> all = new ArrayList<>();
        for (double ms = 0; ms < 60_000; ms += 100) {
            String label = ms < 10_000 ? "0" : ms < 13_000 ? "0|1" : ms < 50_000 ? "1" : ms < 53_000 ? "1|3" : "3";
            all.add(decision(ms, 0, label));
            all.add(decision(ms + 7, 1, ms >= 33_000 && ms < 40_000 ? "1?" : label));
        }
        return all;
    }

    private static String brokenRules(List<MultigetDecision> decisions, Consumer<PolicyRules> moreEvents) {
        PolicyRules rules = new PolicyRules(BOUNDS);
        rules.onVersionHeld(1);
        rules.onVersionHeld(3);
        rules.onProposalRejected(2, "REFUSED");
        rules.onUnreachable(1, 30_000_000_000L, 40_000_000_000L);
        rules.onProposalEnd("p1", 0, 8_000_000_000L);
        rules.onPolicyChange(0, "0");
        rules.onPolicyChange(0, "1");
        moreEvents.accept(rules);
        rules.judge(decisions);
        return rules.counts().keySet().toString();
    }

    private static String brokenRulesWith(MultigetDecision added) {
        List<MultigetDecision> all = cleanHistory();
        all.add(added);
        return brokenRules(all, rules -> {});
    }

    @Test
    void cleanHistoryHasNoBreachAndEachDeliberateBreachIsDetected() {
        assertThat(brokenRules(cleanHistory(), rules -> {})).isEqualTo("[]");
        assertThat(brokenRulesWith(decision(20_000.5, 0, "0")))
                .contains("(a) one order")
                .contains("(c) one version at an instant");
        assertThat(brokenRulesWith(decision(13_500.5, 1, "0"))).contains("(c) one version at an instant");
        assertThat(brokenRulesWith(decision(20_000.5, 0, "4"))).contains("(a) one order");
        assertThat(brokenRulesWith(decision(20_000.5, 0, "2"))).contains("(b) refused is never");
        assertThat(brokenRulesWith(decision(20_000.5, 0, "1|2"))).contains("(b) refused is never");
        assertThat(brokenRulesWith(decision(20_000.5, 0, "1|3"))).contains("(c) one version at an instant");
        assertThat(brokenRulesWith(decision(33_006, 1, "1"))).isEqualTo("[(e) out of touch it stops]");
        assertThat(brokenRules(cleanHistory(), rules -> rules.onPolicyChange(0, "3")))
                .isEqualTo("[]");
        assertThat(brokenRules(cleanHistory(), rules -> {
                    rules.onPolicyChange(1, "0");
                    rules.onPolicyChange(1, "3");
                }))
                .isEqualTo("[(a) one order]");
        assertThat(brokenRules(cleanHistory(), rules -> {
                    rules.onPolicyChange(1, "0");
                    rules.onPolicyChange(1, "0?");
                    rules.onPolicyChange(1, "3");
                }))
                .isEqualTo("[]");
        assertThat(brokenRules(cleanHistory(), rules -> rules.onProposalEnd("p2", 0, 11_000_000_000L)))
                .isEqualTo("[(f) every proposal ends]");
    }
}
