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

/** Compares two groups of runs, metric by metric, with confidence intervals by the bootstrap; no I/O. */
public final class ExperimentComparison {
    /** A figure that is computed from the report of a run, and whether a higher figure is better. */
    public record Metric(String name, boolean higherIsBetter, ToDoubleFunction<JsonNode> figure) {}

    /**
     * One metric of two groups: both means, their difference (second minus first) with its 95% interval, and the
     * verdict.
     */
    public record Line(
            String metric, double first, double second, double difference, double low, double high, String verdict) {}

    /** Mean with its 95% interval. */
    public record Mean(double mean, double low, double high) {}

    public static final List<Metric> METRICS = List.of(
            new Metric(
                    "clients served, share",
                    true,
                    report -> report.at("/clients/served").asDouble()
                            / Math.max(
                                    1,
                                    report.at("/clients/served").asDouble()
                                            + report.at("/clients/unserved").asDouble())),
            new Metric(
                    "tries served whole, share",
                    true,
                    report -> report.at("/kinds/WHOLE").asDouble()
                            / Math.max(1, report.get("tries").asDouble())),
            new Metric(
                    "tries pushed back, share",
                    false,
                    report -> report.at("/kinds/PUSHED_BACK").asDouble()
                            / Math.max(1, report.get("tries").asDouble())),
            new Metric("served p50, ms", false, report -> report.at("/served/latencyMs/p50")
                    .asDouble()),
            new Metric("served p99, ms", false, report -> report.at("/served/latencyMs/p99")
                    .asDouble()),
            new Metric("until served p99, ms", false, report -> report.at("/clients/untilServedMs/p99")
                    .asDouble()),
            new Metric("node CPU a try, ms", false, report -> {
                double cpuMs = 0;
                for (JsonNode node : report.path("nodes")) {
                    cpuMs += node.get("cpuMs").asDouble();
                }
                return cpuMs / Math.max(1, report.get("tries").asDouble());
            }));

    private static final int RESAMPLES = 10_000;

    private ExperimentComparison() {}

    /**
     * Pairs the runs of the same seed. The verdict is better or worse only with three pairs or more and if the 95%
     * interval of the difference excludes 0.
     */
    public static List<Line> lines(Map<Long, JsonNode> first, Map<Long, JsonNode> second) {
        List<Long> seeds = first.keySet().stream().filter(second::containsKey).toList();
        List<Line> lines = new ArrayList<>();
        for (Metric metric : METRICS) {
            double[] differences = new double[seeds.size()];
            double sumFirst = 0;
            double sumSecond = 0;
            for (int i = 0; i < seeds.size(); i++) {
                double firstFigure = metric.figure().applyAsDouble(first.get(seeds.get(i)));
                double secondFigure = metric.figure().applyAsDouble(second.get(seeds.get(i)));
                differences[i] = secondFigure - firstFigure;
                sumFirst += firstFigure;
                sumSecond += secondFigure;
            }
            Mean mean = mean(differences);
            String verdict = "cannot be told";
            if (seeds.size() >= 3 && (mean.low() > 0 || mean.high() < 0)) {
                verdict = mean.mean() > 0 == metric.higherIsBetter() ? "better" : "worse";
            }
            int count = Math.max(1, seeds.size());
            lines.add(new Line(
                    metric.name(), sumFirst / count, sumSecond / count, mean.mean(), mean.low(), mean.high(), verdict));
        }
        return lines;
    }

    /**
     * The mean and its percentile interval by the bootstrap. The random seed is fixed: the same values give the same
     * interval.
     */
    public static Mean mean(double[] values) {
        if (values.length == 0) {
            return new Mean(Double.NaN, Double.NaN, Double.NaN);
        }
        SplittableRandom random = new SplittableRandom(20_260_624);
        double[] means = new double[RESAMPLES];
        for (int i = 0; i < RESAMPLES; i++) {
            double sum = 0;
            for (int j = 0; j < values.length; j++) {
                sum += values[random.nextInt(values.length)];
            }
            means[i] = sum / values.length;
        }
        Arrays.sort(means);
        return new Mean(
                Arrays.stream(values).average().orElse(0),
                means[(int) (RESAMPLES * 0.025)],
                means[(int) (RESAMPLES * 0.975)]);
    }

    /** The reports of completed runs by version, number of nodes and load, then by seed. */
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

    /** A table of all groups: each metric's mean with its interval, and in how many runs the rules were kept. */
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
                Mean mean = mean(
                        reports.values().stream().mapToDouble(metric.figure()).toArray());
                out.append(String.format(
                        Locale.ROOT,
                        "  %-28s %10.4f  (%.4f to %.4f)%n",
                        metric.name(),
                        mean.mean(),
                        mean.low(),
                        mean.high()));
            }
        });
        long brokenOff = runs.stream().filter(run -> run.report() == null).count();
        if (brokenOff > 0) {
            out.append(brokenOff).append(" runs were broken off\n");
        }
        return out.toString();
    }

    /** A table of the comparison of two groups. */
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
