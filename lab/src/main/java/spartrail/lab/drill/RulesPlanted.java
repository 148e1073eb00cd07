package spartrail.lab.drill;

import java.nio.charset.StandardCharsets;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.atomic.AtomicBoolean;
import spartrail.lab.file.Document;
import spartrail.lab.fleet.CrookedFront;
import spartrail.lab.fleet.Fleet;
import spartrail.lab.fleet.FleetPlan;
import spartrail.lab.load.LoadSession;
import spartrail.lab.load.Watcher;
import spartrail.lab.plan.LoadPlan;
import spartrail.lab.rules.RuleChecker;
import spartrail.lab.rules.RuleChecker.Rule;
import spartrail.lab.rules.Terms;

/** A stand-in front node breaks each rule on purpose; the checker must name that rule, and no other. */
final class RulesPlanted implements Drill {
    private static final Map<CrookedFront.Fault, Set<Rule>> EXPECTED = expected();

    private static Map<CrookedFront.Fault, Set<Rule>> expected() {
        Map<CrookedFront.Fault, Set<Rule>> map = new java.util.EnumMap<>(CrookedFront.Fault.class);
        map.put(CrookedFront.Fault.NOTHING, Set.of());
        map.put(CrookedFront.Fault.ANSWERS_TWICE, Set.of(Rule.ONE_ANSWER));
        map.put(CrookedFront.Fault.NEVER_ANSWERS, Set.of(Rule.ONE_ANSWER));
        map.put(CrookedFront.Fault.REPEATS, Set.of(Rule.NO_EFFECT_TWICE));
        map.put(CrookedFront.Fault.PUSHES_BACK_WHAT_RAN, Set.of(Rule.NO_EFFECT_TWICE));
        map.put(CrookedFront.Fault.SENDS_TO_DRAINED, Set.of(Rule.DRAINED));
        map.put(CrookedFront.Fault.FLOODS_COLD, Set.of(Rule.COLD));
        map.put(CrookedFront.Fault.CALLS_PART_WHOLE, Set.of(Rule.LEAST_SHARE));
        map.put(CrookedFront.Fault.UNDER_LEAST_SHARE, Set.of(Rule.LEAST_SHARE));
        map.put(CrookedFront.Fault.COPIES, Set.of(Rule.BUDGET));
        map.put(CrookedFront.Fault.CHANGES_VALUES, Set.of(Rule.VALUES));
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
        for (CrookedFront.Fault fault : CrookedFront.Fault.values()) {
            Set<Rule> broken = play(fault, seed);
            findings.equal(fault.name(), new TreeSet<>(EXPECTED.get(fault)), new TreeSet<>(broken));
        }
    }

    private static Set<Rule> play(CrookedFront.Fault fault, long seed) throws Exception {
        boolean drains = fault == CrookedFront.Fault.SENDS_TO_DRAINED;
        boolean cold = fault == CrookedFront.Fault.FLOODS_COLD;
        FleetPlan plan = FleetPlan.of(Document.parse(
                "fleet",
                ("{'seed':" + seed
                                + ",'layout':{'shards':4,'cells':2,'reach':2},'kinds':{'std':{'cores':4,'workMs':1,'coldFrom':0.1,"
                                + "'warmMs':60000,'tipMultiple':2,'tipMs':300}},'servers':[{'kind':'std','count':2}]}")
                        .replace('\'', '"')
                        .getBytes(StandardCharsets.UTF_8),
                "fleet"));
        boolean single = fault == CrookedFront.Fault.REPEATS || fault == CrookedFront.Fault.PUSHES_BACK_WHAT_RAN;
        Terms terms = new Terms(
                Map.of("orders", new Terms.Op(single ? Terms.Repeat.NON_RETRIABLE : Terms.Repeat.RETRIABLE, 0, 1, 0.9)),
                500,
                50,
                single ? 100 : 4,
                true,
                Double.POSITIVE_INFINITY,
                0,
                0);
        RuleChecker checker = new RuleChecker(terms);
        double clientMs = fault == CrookedFront.Fault.NEVER_ANSWERS ? 300 : 5000;
        LoadPlan load = Plans.parse("{'seed':" + seed + ",'lingerMs':200,'phases':[{'lastsMs':" + (drains ? 3000 : 800)
                + ",'rate':{'shape':'steady','perS':" + (cold ? 1500 : 100)
                + "}}],'streams':[{'opTypes':[{'name':'orders'}],"
                + "'shards':{'of':4,'least':2},'work':{'meanMs':" + (cold ? 5 : 1) + "},'clientMs':" + clientMs
                + "}]}");
        AtomicBoolean told = new AtomicBoolean();
        try (Fleet fleet = new Fleet(plan, checker);
                CrookedFront front = new CrookedFront(fleet, fault)) {
            if (cold) {
                fleet.order("restart s-0 1 2");
                Thread.sleep(50);
            }
            try (LoadSession session = new LoadSession(
                    Plans.at(load, front.address()), load.arrivals(), load.lastsMs(), Watcher.class.cast(checker))) {
                if (drains) {
                    fleet.order("drain s-0");
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
