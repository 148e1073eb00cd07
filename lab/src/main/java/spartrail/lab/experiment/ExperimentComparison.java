package spartrail.lab.experiment;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.ToDoubleFunction;

/** Holds two groups of runs against each other, metric by metric, with intervals from resampling; no I/O. */
public final class ExperimentComparison {
    /** A figure of a run and whether more of it is better. */
    public record Metric(String name, boolean moreIsBetter, ToDoubleFunction<JsonNode> of) {}

    /** What can be said: the difference (second less first), its 95% interval, and in a word. */
    public record Line(
            String metric, double first, double second, double difference, double low, double high, String verdict) {}

    /** Mean with its 95% interval. */
    public record Mean(double mean, double low, double high) {}

    public static final List<Metric> METRICS = List.of(
            new Metric(
                    "clients served, share",
                    true,
                    tree -> tree.at("/clients/served").asDouble()
                            / Math.max(
                                    1,
                                    tree.at("/clients/served").asDouble()
                                            + tree.at("/clients/unserved").asDouble())),
            new Metric(
                    "tries served whole, share",
                    true,
                    tree -> tree.at("/kinds/WHOLE").asDouble()
                            / Math.max(1, tree.get("tries").asDouble())),
            new Metric(
                    "tries pushed back, share",
                    false,
                    tree -> tree.at("/kinds/PUSHED_BACK").asDouble()
                            / Math.max(1, tree.get("tries").asDouble())),
            new Metric("served p50, ms", false, tree -> tree.at("/served/latencyMs/p50")
                    .asDouble()),
            new Metric("served p99, ms", false, tree -> tree.at("/served/latencyMs/p99")
                    .asDouble()),
            new Metric("until served p99, ms", false, tree -> tree.at("/clients/untilServedMs/p99")
                    .asDouble()),
            new Metric("node CPU a try, ms", false, tree -> {
                double cpuMs = 0;
                for (JsonNode node : tree.path("nodes")) {
                    cpuMs += node.get("cpuMs").asDouble();
                }
                return cpuMs / Math.max(1, tree.get("tries").asDouble());
            }));

    private static final int RESAMPLES = 10_000;

    private ExperimentComparison() {}

    /** Runs of the same seed are pairs; a difference is told only where the interval leaves out no difference. */
    public static List<Line> lines(Map<Long, JsonNode> first, Map<Long, JsonNode> second) {
        List<Long> seeds = first.keySet().stream().filter(second::containsKey).toList();
        List<Line> lines = new ArrayList<>();
        for (Metric metric : METRICS) {
            double[] differences = new double[seeds.size()];
            double sumFirst = 0;
            double sumSecond = 0;
            for (int i = 0; i < seeds.size(); i++) {
                double one = metric.of().applyAsDouble(first.get(seeds.get(i)));
                double other = metric.of().applyAsDouble(second.get(seeds.get(i)));
                differences[i] = other - one;
                sumFirst += one;
                sumSecond += other;
            }
            Mean mean = mean(differences);
            String verdict = "cannot be told";
            if (seeds.size() >= 3 && (mean.low() > 0 || mean.high() < 0)) {
                verdict = mean.mean() > 0 == metric.moreIsBetter() ? "better" : "worse";
            }
            int count = Math.max(1, seeds.size());
            lines.add(new Line(
                    metric.name(), sumFirst / count, sumSecond / count, mean.mean(), mean.low(), mean.high(), verdict));
        }
        return lines;
    }

    /** Mean and percentile interval by the bootstrap, from a fixed seed: the same values give the same interval. */
    public static Mean mean(double[] values) {
        if (values.length == 0) {
            return new Mean(Double.NaN, Double.NaN, Double.NaN);
        }
        SplittableRandom chance = new SplittableRandom(20_260_624);
        double[] means = new double[RESAMPLES];
        for (int i = 0; i < RESAMPLES; i++) {
            double sum = 0;
            for (int j = 0; j < values.length; j++) {
                sum += values[chance.nextInt(values.length)];
            }
            means[i] = sum / values.length;
        }
        Arrays.sort(means);
        return new Mean(
                Arrays.stream(values).average().orElse(0),
                means[(int) (RESAMPLES * 0.025)],
                means[(int) (RESAMPLES * 0.975)]);
    }

    /** Groups of runs by what they have in common, each by seed. */
    public static Map<String, Map<Long, JsonNode>> groups(List<ExperimentStore.Run> runs) {
        Map<String, Map<Long, JsonNode>> groups = new LinkedHashMap<>();
        for (ExperimentStore.Run run : runs) {
            if (run.report() != null) {
                groups.computeIfAbsent(run.cell().group(), group -> new LinkedHashMap<>())
                        .put(run.cell().seed(), run.report());
            }
        }
        return groups;
    }

    /** A table of all groups: each metric's mean with its interval, and how the rules fared. */
    public static String table(List<ExperimentStore.Run> runs) {
        StringBuilder out = new StringBuilder();
        groups(runs).forEach((group, reports) -> {
            long kept = reports.values().stream()
                    .filter(report -> report.at("/rules/kept").asBoolean())
                    .count();
            long fit = reports.values().stream()
                    .filter(report -> report.get("fit").asBoolean())
                    .count();
            out.append(String.format(
                    Locale.ROOT, "%s: %d runs, rules kept in %d, fit %d%n", group, reports.size(), kept, fit));
            for (Metric metric : METRICS) {
                Mean mean =
                        mean(reports.values().stream().mapToDouble(metric.of()).toArray());
                out.append(String.format(
                        Locale.ROOT,
                        "  %-28s %10.4f  (%.4f to %.4f)%n",
                        metric.name(),
                        mean.mean(),
                        mean.low(),
                        mean.high()));
            }
        });
        long broken = runs.stream().filter(run -> run.report() == null).count();
        if (broken > 0) {
            out.append(broken).append(" runs were broken off\n");
        }
        return out.toString();
    }

    public static String table(String first, String second, List<Line> lines, int pairs) {
        StringBuilder out = new StringBuilder(
                String.format(Locale.ROOT, "%d pairs of the same seed; first: %s; second: %s%n", pairs, first, second));
        out.append(String.format(
                Locale.ROOT,
                "%-28s %10s %10s %10s  %-22s %s%n",
                "",
                "first",
                "second",
                "difference",
                "95% of resamples",
                "the second is"));
        lines.forEach(line -> out.append(String.format(
                Locale.ROOT,
                "%-28s %10.4f %10.4f %10.4f  %-22s %s%n",
                line.metric(),
                line.first(),
                line.second(),
                line.difference(),
                String.format(Locale.ROOT, "%.4f to %.4f", line.low(), line.high()),
                line.verdict())));
        return out.toString();
    }
}
