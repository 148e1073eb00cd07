package spartrail.lab.drill;

import java.nio.charset.StandardCharsets;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.atomic.AtomicBoolean;
import spartrail.lab.file.Document;
import spartrail.lab.fleet.FaultyFrontNode;
import spartrail.lab.fleet.Fleet;
import spartrail.lab.fleet.FleetPlan;
import spartrail.lab.load.LoadListener;
import spartrail.lab.load.LoadSession;
import spartrail.lab.plan.LoadPlan;
import spartrail.lab.rules.RuleChecker;
import spartrail.lab.rules.RuleChecker.Rule;
import spartrail.lab.rules.RuleLimits;

/** An emulated front node breaks one rule at a time on purpose; the checker must report that rule and no other. */
final class RuleMutationDrill implements Drill {
    private static final Map<FaultyFrontNode.Fault, Set<Rule>> EXPECTED_RULES = buildExpectedRules();

    private static Map<FaultyFrontNode.Fault, Set<Rule>> buildExpectedRules() {
        Map<FaultyFrontNode.Fault, Set<Rule>> expectedRules = new java.util.EnumMap<>(FaultyFrontNode.Fault.class);
        expectedRules.put(FaultyFrontNode.Fault.NOTHING, Set.of());
        expectedRules.put(FaultyFrontNode.Fault.ANSWERS_TWICE, Set.of(Rule.ONE_ANSWER));
        expectedRules.put(FaultyFrontNode.Fault.NEVER_ANSWERS, Set.of(Rule.ONE_ANSWER));
        expectedRules.put(FaultyFrontNode.Fault.REPEATS, Set.of(Rule.NO_EFFECT_TWICE));
        expectedRules.put(FaultyFrontNode.Fault.PUSHES_BACK_WHAT_RAN, Set.of(Rule.NO_EFFECT_TWICE));
        expectedRules.put(FaultyFrontNode.Fault.SENDS_TO_DRAINED, Set.of(Rule.DRAINED));
        expectedRules.put(FaultyFrontNode.Fault.FLOODS_COLD, Set.of(Rule.COLD));
        expectedRules.put(FaultyFrontNode.Fault.CALLS_PART_WHOLE, Set.of(Rule.LEAST_SHARE));
        expectedRules.put(FaultyFrontNode.Fault.UNDER_LEAST_SHARE, Set.of(Rule.LEAST_SHARE));
        expectedRules.put(FaultyFrontNode.Fault.COPIES, Set.of(Rule.BUDGET));
        expectedRules.put(FaultyFrontNode.Fault.CHANGES_VALUES, Set.of(Rule.VALUES));
        return expectedRules;
    }

    @Override
    public String name() {
        return "rules-planted";
    }

    @Override
    public String summary() {
        return "a faulty front node breaks one rule at a time: the checker must report that rule and no other";
    }

    @Override
    public String subsystem() {
        return "rule checker";
    }

    @Override
    public void run(long seed, Findings findings) throws Exception {
        for (FaultyFrontNode.Fault fault : FaultyFrontNode.Fault.values()) {
            Set<Rule> brokenRules = runWithFault(fault, seed);
            findings.checkEqual(fault.name(), new TreeSet<>(EXPECTED_RULES.get(fault)), new TreeSet<>(brokenRules));
        }
    }

    private static Set<Rule> runWithFault(FaultyFrontNode.Fault fault, long seed) throws Exception {
        boolean hasDrain = fault == FaultyFrontNode.Fault.SENDS_TO_DRAINED;
        boolean isCold = fault == FaultyFrontNode.Fault.FLOODS_COLD;
        FleetPlan plan = FleetPlan.of(Document.parse(
                "fleet",
                ("{'seed':" + seed
                                + ",'layout':{'shards':4,'cells':2,'reach':2},'kinds':{'std':{'cores':4,'workMs':1,'coldFrom':0.1,"
                                + "'warmMs':60000,'tipMultiple':2,'tipMs':300}},'servers':[{'kind':'std','count':2}]}")
                        .replace('\'', '"')
                        .getBytes(StandardCharsets.UTF_8),
                "fleet"));
        boolean isNonRetriable =
                fault == FaultyFrontNode.Fault.REPEATS || fault == FaultyFrontNode.Fault.PUSHES_BACK_WHAT_RAN;
        RuleLimits limits = new RuleLimits(
                Map.of(
                        "orders",
                        new RuleLimits.Op(
                                isNonRetriable ? RuleLimits.Repeat.NON_RETRIABLE : RuleLimits.Repeat.RETRIABLE,
                                0,
                                1,
                                0.9)),
                500,
                50,
                isNonRetriable ? 100 : 4,
                true,
                Double.POSITIVE_INFINITY,
                0,
                0);
        RuleChecker checker = new RuleChecker(limits);
        double clientMs = fault == FaultyFrontNode.Fault.NEVER_ANSWERS ? 300 : 5000;
        LoadPlan load = DrillPlans.parse("{'seed':" + seed + ",'lingerMs':200,'phases':[{'lastsMs':"
                + (hasDrain ? 3000 : 800)
                + ",'rate':{'shape':'steady','perS':" + (isCold ? 1500 : 100)
                + "}}],'streams':[{'opTypes':[{'name':'orders'}],"
                + "'shards':{'of':4,'least':2},'work':{'meanMs':" + (isCold ? 5 : 1) + "},'clientMs':" + clientMs
                + "}]}");
        AtomicBoolean isCompleted = new AtomicBoolean();
        try (Fleet fleet = new Fleet(plan, checker);
                FaultyFrontNode front = new FaultyFrontNode(fleet, fault)) {
            if (isCold) {
                fleet.runCommand("restart s-0 1 2");
                Thread.sleep(50);
            }
            try (LoadSession session = new LoadSession(
                    DrillPlans.at(load, front.address()),
                    load.arrivals(),
                    load.durationMs(),
                    LoadListener.class.cast(checker))) {
                if (hasDrain) {
                    fleet.runCommand("drain s-0");
                }
                isCompleted.set(session.await(30_000));
            }
        }
        Set<Rule> brokenRules = new LinkedHashSet<>();
        checker.verdicts().stream()
                .filter(verdict -> verdict.broken() > 0)
                .forEach(verdict -> brokenRules.add(verdict.rule()));
        if (isCold) {
            // An overloaded server fails with its open requests, which breaks these rules too. Here only the report
            // of the overload itself is checked.
            brokenRules.remove(Rule.ONE_ANSWER);
            brokenRules.remove(Rule.DRAINED);
        }
        return brokenRules;
    }
}
