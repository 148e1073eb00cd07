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

    private static List<Double> arrivalTimes(LoadPlan plan) {
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
            arrivalTimes(plan("even", rate, 1)).forEach(ms -> seen.append(String.format(Locale.ROOT, " %.1f", ms)));
            seen.append('\n');
        }
        Table.same("shapes", seen.toString());
    }

    @Test
    void gapsHaveTheStatedMeanAndVariation() {
        for (String[] line : new String[][] {{"even", "0.0"}, {"poisson", "1.0"}, {"gamma", "2.0"}}) {
            List<Double> times = arrivalTimes(plan(line[0], "{'shape':'steady','perS':5000}", 7));
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

    /** All arrivals as text, since arrays within the records compare by identity. */
    private static String arrivalsAsText(LoadPlan plan) {
        StringBuilder text = new StringBuilder();
        Iterator<Arrival> arrivals = plan.arrivals();
        while (arrivals.hasNext()) {
            Arrival arrival = arrivals.next();
            text.append(arrival.number())
                    .append(' ')
                    .append(arrival.atMs())
                    .append(' ')
                    .append(arrival.opType())
                    .append(' ')
                    .append(arrival.key())
                    .append(' ')
                    .append(java.util.Arrays.toString(arrival.shards()))
                    .append(' ')
                    .append(java.util.Arrays.toString(arrival.weights()))
                    .append(' ')
                    .append(arrival.workMs())
                    .append(' ')
                    .append(arrival.text())
                    .append(arrival.id(1))
                    .append('\n');
        }
        return text.toString();
    }

    @Test
    void arrivalsAreAPureFunctionOfFileAndSeed() {
        String rate = "{'shape':'wave','meanPerS':50,'swingPerS':40,'periodMs':700}";
        assertThat(arrivalsAsText(plan("poisson", rate, 3)))
                .isEqualTo(arrivalsAsText(plan("poisson", rate, 3)))
                .isNotEqualTo(arrivalsAsText(plan("poisson", rate, 4)));
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
        plan.arrivals().forEachRemaining(arrival -> {
            boolean run = arrival.stream().name.equals("run");
            count[0] += arrival.newConnection() ? 1 : 0;
            count[1] += run ? 0 : 1;
            count[2] += !run && arrival.phase() == 0 ? 1 : 0;
            count[3] += arrival.opType().equals("y") ? 1 : 0;
            if (run) {
                (arrival.phase() == 0 ? hotA : hotB).merge(arrival.key(), 1, Integer::sum);
                assertThat(arrival.shards())
                        .containsExactly(
                                arrival.shards()[0], (arrival.shards()[0] + 1) % 10, (arrival.shards()[0] + 2) % 10);
            }
            assertThat(java.util.Arrays.stream(arrival.shards()).distinct().count())
                    .isEqualTo(arrival.shards().length);
            assertThat(java.util.Arrays.stream(arrival.weights()).sum()).isBetween(0.999, 1.001);
        });
        assertThat(count[0]).as("arrivals of the crowd").isEqualTo(50);
        assertThat(count[1])
                .as("arrivals of stream far: a quarter of the second phase")
                .isBetween(400, 600);
        assertThat(count[2]).as("arrivals of stream far outside its phase").isZero();
        assertThat(count[3])
                .as("arrivals with op type y: three quarters of those of x and y")
                .isBetween(2400, 2800);
        String hottest = java.util.Collections.max(hotA.entrySet(), java.util.Map.Entry.comparingByValue())
                .getKey();
        assertThat(hotA.get(hottest))
                .as("the hot key of the first phase")
                .isGreaterThan(10 * hotB.getOrDefault(hottest, 0));
    }

    @Test
    void anInvalidPlanIsReportedInOneLineWithItsPlace() throws Exception {
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
