package spartrail.lab.load;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Locale;
import org.HdrHistogram.Histogram;
import spartrail.lab.file.Document;
import spartrail.lab.plan.LoadPlan;

/** The report of a run as a JSON tree, and as tables made from that tree. Times are in milliseconds. */
public final class LoadReport {
    public static final double[] PERCENTILES = {50, 90, 99, 99.9, 100};

    private LoadReport() {}

    public static ObjectNode tree(LoadPlan plan, Recorder recorder, String stopReason, double lastedMs) {
        ObjectNode tree = Document.JSON.createObjectNode();
        double lagP99 = recorder.lag.getValueAtPercentile(99) / 1000.0;
        boolean fit = lagP99 <= plan.lagBoundMs() && stopReason == null;
        tree.put("fit", fit);
        if (!fit) {
            tree.put(
                    "unfitWhy",
                    stopReason != null
                            ? stopReason
                            : String.format(
                                    Locale.ROOT,
                                    "the generator itself was %.3f ms late at the 99th percentile, its bound is %.3f ms",
                                    lagP99,
                                    plan.lagBoundMs()));
        }
        tree.put("seed", plan.seed());
        tree.put("lastedMs", roundTo3Digits(lastedMs));
        tree.put("tries", recorder.all());
        tree.put("perS", roundTo3Digits(recorder.all() * 1000 / Math.max(1, lastedMs)));
        tree.set("lagMs", percentiles(recorder.lag));
        ObjectNode all = tree.putObject("allTries");
        all.set("latencyMs", percentiles(recorder.total(kind -> true, true)));
        all.set("serviceMs", percentiles(recorder.total(kind -> true, false)));
        ObjectNode served = tree.putObject("served");
        served.put("count", recorder.count(AttemptResult.WHOLE) + recorder.count(AttemptResult.PARTIAL));
        served.set("latencyMs", percentiles(recorder.total(AttemptResult::isServed, true)));
        served.set("serviceMs", percentiles(recorder.total(AttemptResult::isServed, false)));
        ObjectNode clients = tree.putObject("clients");
        clients.put("served", recorder.served.getTotalCount());
        clients.put("unserved", recorder.unserved);
        clients.set("untilServedMs", percentiles(recorder.served));
        clients.put("triesMean", roundTo3Digits(recorder.tries.getTotalCount() == 0 ? 0 : recorder.tries.getMean()));
        clients.put("triesMost", recorder.tries.getMaxValue());
        ObjectNode kinds = tree.putObject("kinds");
        for (AttemptResult kind : AttemptResult.values()) {
            kinds.put(kind.name(), recorder.count(kind));
        }
        ObjectNode connections = tree.putObject("connections");
        connections.put("opened", recorder.connectionsOpened);
        connections.put("closedUnused", recorder.connectionsClosedIdle);
        connections.put("sentOnceMore", recorder.resent);
        connections.put("bytesNobodyAskedFor", recorder.unexpectedResponses);
        connections.put("waitedForTheCap", recorder.waitsForConnection);
        ArrayNode groups = tree.putArray("groups");
        recorder.groups.forEach((group, times) -> {
            ObjectNode line = groups.addObject();
            line.put("phase", plan.phases().get(group.phase()).name());
            line.put("opType", group.opType());
            line.put("kind", group.kind().name());
            line.put("count", times.latency.getTotalCount());
            line.set("latencyMs", percentiles(times.latency));
            line.set("serviceMs", percentiles(times.service));
        });
        ArrayNode slices = tree.putArray("slices");
        double atMs = 0;
        for (Recorder.Slice slice : recorder.slices()) {
            ObjectNode line = slices.addObject();
            line.put("atMs", roundTo3Digits(atMs));
            line.put("intended", slice.intended);
            line.put(
                    "served",
                    slice.kinds.getOrDefault(AttemptResult.WHOLE, 0L)
                            + slice.kinds.getOrDefault(AttemptResult.PARTIAL, 0L));
            line.put("pushedBack", slice.kinds.getOrDefault(AttemptResult.PUSHED_BACK, 0L));
            line.put("p50Ms", slice.latency.getValueAtPercentile(50) / 1000.0);
            line.put("p99Ms", slice.latency.getValueAtPercentile(99) / 1000.0);
            atMs += recorder.sliceMs();
        }
        return tree;
    }

    static ObjectNode percentiles(Histogram histogram) {
        ObjectNode node = Document.JSON.createObjectNode();
        for (double percentile : PERCENTILES) {
            node.put(
                    percentileName(percentile),
                    histogram.getTotalCount() == 0 ? 0 : histogram.getValueAtPercentile(percentile) / 1000.0);
        }
        return node;
    }

    public static String percentileName(double percentile) {
        return percentile == 100
                ? "max"
                : "p"
                        + (percentile == (long) percentile
                                ? Long.toString((long) percentile)
                                : Double.toString(percentile));
    }

    private static double roundTo3Digits(double value) {
        return Math.round(value * 1000) / 1000.0;
    }

    /** The report as plain-text tables. */
    public static String text(ObjectNode tree) {
        StringBuilder out = new StringBuilder();
        if (!tree.get("fit").asBoolean()) {
            out.append("UNFIT: ").append(tree.get("unfitWhy").asText()).append('\n');
        }
        out.append(String.format(
                Locale.ROOT,
                "%d tries in %.1f s (%.1f a second), %d served; clients served %d, unserved %d%n",
                tree.get("tries").asLong(),
                tree.get("lastedMs").asDouble() / 1000,
                tree.get("perS").asDouble(),
                tree.at("/served/count").asLong(),
                tree.at("/clients/served").asLong(),
                tree.at("/clients/unserved").asLong()));
        out.append(String.format(Locale.ROOT, "%-28s %9s", "milliseconds", "count"));
        for (double percentile : PERCENTILES) {
            out.append(String.format(Locale.ROOT, " %10s", percentileName(percentile)));
        }
        out.append('\n');
        appendLine(out, "own lag", tree.get("tries").asLong(), tree.get("lagMs"));
        appendLine(out, "all, from intended", tree.get("tries").asLong(), tree.at("/allTries/latencyMs"));
        appendLine(out, "all, from last byte", tree.get("tries").asLong(), tree.at("/allTries/serviceMs"));
        appendLine(out, "served, from intended", tree.at("/served/count").asLong(), tree.at("/served/latencyMs"));
        for (var group : tree.get("groups")) {
            appendLine(
                    out,
                    group.get("phase").asText() + " " + group.get("opType").asText() + " "
                            + group.get("kind").asText(),
                    group.get("count").asLong(),
                    group.get("latencyMs"));
        }
        StringBuilder counts = new StringBuilder();
        tree.get("connections").fields().forEachRemaining(field -> counts.append(counts.length() == 0 ? "" : ", ")
                .append(field.getKey())
                .append(' ')
                .append(field.getValue().asLong()));
        return out.append("connections: ").append(counts).append('\n').toString();
    }

    private static void appendLine(
            StringBuilder out, String name, long count, com.fasterxml.jackson.databind.JsonNode times) {
        out.append(String.format(Locale.ROOT, "%-28s %9d", name, count));
        for (double percentile : PERCENTILES) {
            out.append(String.format(
                    Locale.ROOT,
                    " %10.3f",
                    times.get(percentileName(percentile)).asDouble()));
        }
        out.append('\n');
    }
}
