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

/** A stand-in front node breaks each rule on purpose; the checker must name that rule, and no other. */
final class RuleMutationDrill implements Drill {
    private static final Map<FaultyFrontNode.Fault, Set<Rule>> EXPECTED = expected();

    private static Map<FaultyFrontNode.Fault, Set<Rule>> expected() {
        Map<FaultyFrontNode.Fault, Set<Rule>> map = new java.util.EnumMap<>(FaultyFrontNode.Fault.class);
        map.put(FaultyFrontNode.Fault.NOTHING, Set.of());
        map.put(FaultyFrontNode.Fault.ANSWERS_TWICE, Set.of(Rule.ONE_ANSWER));
        map.put(FaultyFrontNode.Fault.NEVER_ANSWERS, Set.of(Rule.ONE_ANSWER));
        map.put(FaultyFrontNode.Fault.REPEATS, Set.of(Rule.NO_EFFECT_TWICE));
        map.put(FaultyFrontNode.Fault.PUSHES_BACK_WHAT_RAN, Set.of(Rule.NO_EFFECT_TWICE));
        map.put(FaultyFrontNode.Fault.SENDS_TO_DRAINED, Set.of(Rule.DRAINED));
        map.put(FaultyFrontNode.Fault.FLOODS_COLD, Set.of(Rule.COLD));
        map.put(FaultyFrontNode.Fault.CALLS_PART_WHOLE, Set.of(Rule.LEAST_SHARE));
        map.put(FaultyFrontNode.Fault.UNDER_LEAST_SHARE, Set.of(Rule.LEAST_SHARE));
        map.put(FaultyFrontNode.Fault.COPIES, Set.of(Rule.BUDGET));
        map.put(FaultyFrontNode.Fault.CHANGES_VALUES, Set.of(Rule.VALUES));
        return map;
    }

    @Override
    public String name() {
        return "rules-planted";
    }

    @Override
    public String summary() {
        return "a crooked front node breaks one rule at a time: the checker must catch each, and nothing else";
    }

    @Override
    public String about() {
        return "rule checker";
    }

    @Override
    public void run(long seed, Findings findings) throws Exception {
        for (FaultyFrontNode.Fault fault : FaultyFrontNode.Fault.values()) {
            Set<Rule> broken = play(fault, seed);
            findings.equal(fault.name(), new TreeSet<>(EXPECTED.get(fault)), new TreeSet<>(broken));
        }
    }

    private static Set<Rule> play(FaultyFrontNode.Fault fault, long seed) throws Exception {
        boolean drains = fault == FaultyFrontNode.Fault.SENDS_TO_DRAINED;
        boolean cold = fault == FaultyFrontNode.Fault.FLOODS_COLD;
        FleetPlan plan = FleetPlan.of(Document.parse(
                "fleet",
                ("{'seed':" + seed
                                + ",'layout':{'shards':4,'cells':2,'reach':2},'kinds':{'std':{'cores':4,'workMs':1,'coldFrom':0.1,"
                                + "'warmMs':60000,'tipMultiple':2,'tipMs':300}},'servers':[{'kind':'std','count':2}]}")
                        .replace('\'', '"')
                        .getBytes(StandardCharsets.UTF_8),
                "fleet"));
        boolean single = fault == FaultyFrontNode.Fault.REPEATS || fault == FaultyFrontNode.Fault.PUSHES_BACK_WHAT_RAN;
        RuleLimits terms = new RuleLimits(
                Map.of(
                        "orders",
                        new RuleLimits.Op(
                                single ? RuleLimits.Repeat.NON_RETRIABLE : RuleLimits.Repeat.RETRIABLE, 0, 1, 0.9)),
                500,
                50,
                single ? 100 : 4,
                true,
                Double.POSITIVE_INFINITY,
                0,
                0);
        RuleChecker checker = new RuleChecker(terms);
        double clientMs = fault == FaultyFrontNode.Fault.NEVER_ANSWERS ? 300 : 5000;
        LoadPlan load =
                DrillPlans.parse("{'seed':" + seed + ",'lingerMs':200,'phases':[{'lastsMs':" + (drains ? 3000 : 800)
                        + ",'rate':{'shape':'steady','perS':" + (cold ? 1500 : 100)
                        + "}}],'streams':[{'opTypes':[{'name':'orders'}],"
                        + "'shards':{'of':4,'least':2},'work':{'meanMs':" + (cold ? 5 : 1) + "},'clientMs':" + clientMs
                        + "}]}");
        AtomicBoolean told = new AtomicBoolean();
        try (Fleet fleet = new Fleet(plan, checker);
                FaultyFrontNode front = new FaultyFrontNode(fleet, fault)) {
            if (cold) {
                fleet.runCommand("restart s-0 1 2");
                Thread.sleep(50);
            }
            try (LoadSession session = new LoadSession(
                    DrillPlans.at(load, front.address()),
                    load.arrivals(),
                    load.durationMs(),
                    LoadListener.class.cast(checker))) {
                if (drains) {
                    fleet.runCommand("drain s-0");
                }
                told.set(session.await(30_000));
            }
        }
        Set<Rule> broken = new LinkedHashSet<>();
        checker.verdicts().stream()
                .filter(verdict -> verdict.broken() > 0)
                .forEach(verdict -> broken.add(verdict.rule()));
        if (cold) {
            // A server that falls over takes along what it had in hand; only that it was pushed over is asked here.
            broken.remove(Rule.ONE_ANSWER);
            broken.remove(Rule.DRAINED);
        }
        return broken;
    }
}
