package spartrail.lab.plan;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Locale;
import org.junit.jupiter.api.Test;
import spartrail.lab.Table;
import spartrail.lab.drill.DrillPlans;
import spartrail.lab.file.Document;
import spartrail.lab.file.InvalidInputException;

class LoadPlanTest {
    private static final String STREAM =
            "'streams':[{'opTypes':[{'name':'orders'}],'shards':{'of':8,'least':2,'most':5},"
                    + "'keys':{'count':100,'zipf':1.1},'work':{'meanMs':4,'variation':0.5},'clientMs':1000}]";

    private static LoadPlan plan(String gaps, String rate, long seed) {
        return DrillPlans.parse("{'seed':" + seed + ",'gaps':{'kind':'" + gaps
                + "','variation':2},'phases':[{'lastsMs':4000,'rate':" + rate + "}]," + STREAM + "}");
    }

    private static List<Double> times(LoadPlan plan) {
        List<Double> times = new ArrayList<>();
        plan.arrivals().forEachRemaining(arrival -> times.add(arrival.atMs()));
        return times;
    }

    @Test
    void evenlySpacedArrivalsFollowEachShape() throws Exception {
        String[] rates = {
            "{'shape':'steady','perS':2}",
            "{'shape':'ramp','fromPerS':0,'toPerS':4}",
            "{'shape':'step','levelsPerS':[1,4]}",
            "{'shape':'burst','onPerS':4,'onMs':500,'offMs':1500}",
            "{'shape':'wave','meanPerS':2,'swingPerS':2,'periodMs':4000}",
            "{'shape':'spike','peakPerS':4,'atMs':1000,'halfLifeMs':1000}",
            "{'sum':[{'shape':'steady','perS':1},{'shape':'burst','onPerS':2,'onMs':1000,'offMs':1000}]}"
        };
        StringBuilder seen = new StringBuilder();
        for (String rate : rates) {
            seen.append(rate).append('\n');
            times(plan("even", rate, 1)).forEach(ms -> seen.append(String.format(Locale.ROOT, " %.1f", ms)));
            seen.append('\n');
        }
        Table.same("shapes", seen.toString());
    }

    @Test
    void gapsHaveTheirMeanAndVariation() {
        for (String[] line : new String[][] {{"even", "0.0"}, {"poisson", "1.0"}, {"gamma", "2.0"}}) {
            List<Double> times = times(plan(line[0], "{'shape':'steady','perS':5000}", 7));
            double sum = 0;
            double squares = 0;
            for (int i = 1; i < times.size(); i++) {
                double gap = times.get(i) - times.get(i - 1);
                sum += gap;
                squares += gap * gap;
            }
            double mean = sum / (times.size() - 1);
            double variation = Math.sqrt(Math.max(0, squares / (times.size() - 1) - mean * mean)) / mean;
            assertThat(mean).as(line[0]).isBetween(0.19, 0.21);
            assertThat(variation)
                    .as(line[0])
                    .isBetween(Double.parseDouble(line[1]) - 0.1, Double.parseDouble(line[1]) + 0.1);
        }
    }

    /** An arrival as text, since arrays within the record compare by identity. */
    private static String all(LoadPlan plan) {
        StringBuilder text = new StringBuilder();
        Iterator<Arrival> arrivals = plan.arrivals();
        while (arrivals.hasNext()) {
            Arrival one = arrivals.next();
            text.append(one.number())
                    .append(' ')
                    .append(one.atMs())
                    .append(' ')
                    .append(one.opType())
                    .append(' ')
                    .append(one.key())
                    .append(' ')
                    .append(java.util.Arrays.toString(one.shards()))
                    .append(' ')
                    .append(java.util.Arrays.toString(one.weights()))
                    .append(' ')
                    .append(one.workMs())
                    .append(' ')
                    .append(one.text())
                    .append(one.id(1))
                    .append('\n');
        }
        return text.toString();
    }

    @Test
    void arrivalsAreAPureFunctionOfFileAndSeed() {
        String rate = "{'shape':'wave','meanPerS':50,'swingPerS':40,'periodMs':700}";
        assertThat(all(plan("poisson", rate, 3)))
                .isEqualTo(all(plan("poisson", rate, 3)))
                .isNotEqualTo(all(plan("poisson", rate, 4)));
    }

    @Test
    void streamsDrawTheStatedDistributions() {
        LoadPlan plan = DrillPlans.parse("{'phases':[{'name':'a','lastsMs':2000,'rate':{'shape':'steady','perS':1000}},"
                + "{'name':'b','lastsMs':2000,'rate':{'shape':'steady','perS':1000}}],'crowds':[{'atMs':500,'withinMs':100,"
                + "'clients':50}],'streams':[{'name':'run','share':3,'opTypes':[{'name':'x','share':1},{'name':'y','share':3}],"
                + "'shards':{'of':10,'least':3},'keys':{'count':1000,'zipf':1.2,'hotMovesEveryMs':2000},'clientMs':1},"
                + "{'name':'far','share':1,'phases':['b'],'opTypes':[{'name':'z'}],'shards':{'of':10,'least':1,'most':10,"
                + "'exponent':1,'spread':'scattered'},'weights':'drawn','clientMs':1}]}");
        int[] count = new int[6];
        java.util.Map<String, Integer> hotA = new java.util.HashMap<>();
        java.util.Map<String, Integer> hotB = new java.util.HashMap<>();
        plan.arrivals().forEachRemaining(one -> {
            boolean run = one.stream().name.equals("run");
            count[0] += one.newConnection() ? 1 : 0;
            count[1] += run ? 0 : 1;
            count[2] += !run && one.phase() == 0 ? 1 : 0;
            count[3] += one.opType().equals("y") ? 1 : 0;
            if (run) {
                (one.phase() == 0 ? hotA : hotB).merge(one.key(), 1, Integer::sum);
                assertThat(one.shards())
                        .containsExactly(one.shards()[0], (one.shards()[0] + 1) % 10, (one.shards()[0] + 2) % 10);
            }
            assertThat(java.util.Arrays.stream(one.shards()).distinct().count()).isEqualTo(one.shards().length);
            assertThat(java.util.Arrays.stream(one.weights()).sum()).isBetween(0.999, 1.001);
        });
        assertThat(count[0]).as("of the crowd").isEqualTo(50);
        assertThat(count[1]).as("a quarter of the second phase").isBetween(400, 600);
        assertThat(count[2]).as("out of its phase").isZero();
        assertThat(count[3]).as("three quarters of x and y").isBetween(2400, 2800);
        String hottest = java.util.Collections.max(hotA.entrySet(), java.util.Map.Entry.comparingByValue())
                .getKey();
        assertThat(hotA.get(hottest))
                .as("the hot key of the first phase")
                .isGreaterThan(10 * hotB.getOrDefault(hottest, 0));
    }

    @Test
    void aMistakeGivesOneLineWithItsPlace() throws Exception {
        String good = "{'phases':[{'lastsMs':1000,'rate':{'shape':'steady','perS':2}}]," + STREAM + "}";
        StringBuilder seen = new StringBuilder();
        for (String[] change : new String[][] {
            {"{'phases'", "{'phases"},
            {"'lastsMs':1000", "'lastsMs':-1"},
            {"'perS':2", "'perS':'two'"},
            {"'perS':2", "'perS':2,'colour':1"},
            {"'shape':'steady'", "'shape':'odd'"},
            {"'least':2", "'least':9"},
            {"'clientMs':1000", "'clientMs':1000,'phases':['noon']"},
            {"{'phases'", "{'targets':['10.0.0.1:80'],'phases'"},
            {"{'phases'", "{'crowds':[{'atMs':1,'withinMs':1," + "'clients':1,'stream':'none'}],'phases'"},
            {"{'shape':'steady','perS':2}", "{'shape':'wave','meanPerS':1,'swingPerS':2,'periodMs':5}"},
            {good, "[]"},
            {good, ""}
        }) {
            String text = good.replace(change[0], change[1]).replace('\'', '"');
            try {
                LoadPlan.of(Document.parse("plan.json", text.getBytes(StandardCharsets.UTF_8), "load"));
                seen.append("taken: ").append(text);
            } catch (InvalidInputException e) {
                seen.append(e.getMessage());
            }
            seen.append('\n');
        }
        Table.same("plan-mistakes", seen.toString());
    }
}
