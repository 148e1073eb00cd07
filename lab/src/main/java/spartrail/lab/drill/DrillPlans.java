package spartrail.lab.drill;

import java.nio.charset.StandardCharsets;
import java.util.List;
import spartrail.lab.file.Document;
import spartrail.lab.plan.LoadPlan;

/** Builds small load plans for drills and tests. */
public final class DrillPlans {
    private DrillPlans() {}

    /** A plan with evenly spaced requests of one op type. */
    public static LoadPlan even(double perS, double durationMs, double clientMs, int connections, long seed) {
        return parse("{'seed':" + seed + ",'gaps':{'kind':'even'},'lagBoundMs':50,'connections':{'most':" + connections
                + "},'phases':[{'name':'all','lastsMs':" + durationMs + ",'rate':{'shape':'steady','perS':" + perS
                + "}}],'streams':[{'opTypes':[{'name':'orders'}],'shards':{'of':8,'least':2},'clientMs':" + clientMs
                + "}]}");
    }

    /** Parses a load plan from JSON in which single quotes stand for double quotes. */
    public static LoadPlan parse(String text) {
        return LoadPlan.of(Document.parse("plan", text.replace('\'', '"').getBytes(StandardCharsets.UTF_8), "load"));
    }

    /** A copy of the plan that sends its load to this address. */
    public static LoadPlan at(LoadPlan plan, String address) {
        int colon = address.lastIndexOf(':');
        return plan.withTargets(List.of(
                new LoadPlan.Target(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)), "")));
    }
}
