package spartrail.lab.experiment;

import com.fasterxml.jackson.databind.JsonNode;
import java.awt.Color;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import org.knowm.xchart.AnnotationLine;
import org.knowm.xchart.AnnotationText;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.CategoryChart;
import org.knowm.xchart.CategoryChartBuilder;
import org.knowm.xchart.VectorGraphicsEncoder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.internal.chartpart.Chart;
import org.knowm.xchart.style.Styler;
import org.knowm.xchart.style.markers.SeriesMarkers;

/** Draws charts of runs over time, by server and by load, each as SVG and PNG, and writes the page that shows them. */
final class Charts {
    private static final int WIDTH = 900;
    private static final int HEIGHT = 420;

    private Charts() {}

    private static void save(Chart<?, ?> chart, Path folder, String name) throws IOException {
        chart.getStyler().setChartBackgroundColor(Color.WHITE);
        VectorGraphicsEncoder.saveVectorGraphic(
                chart, folder.resolve(name).toString(), VectorGraphicsEncoder.VectorGraphicsFormat.SVG);
        BitmapEncoder.saveBitmap(chart, folder.resolve(name).toString(), BitmapEncoder.BitmapFormat.PNG);
    }

    private static XYChart createChart(String title, String yTitle) {
        XYChart chart = new XYChartBuilder()
                .width(WIDTH)
                .height(HEIGHT)
                .title(title)
                .xAxisTitle("seconds")
                .yAxisTitle(yTitle)
                .build();
        chart.getStyler().setLegendPosition(Styler.LegendPosition.OutsideS);
        chart.getStyler().setLegendLayout(Styler.LegendLayout.Horizontal);
        return chart;
    }

    private static void addLine(XYChart chart, String name, List<Double> x, List<Double> y) {
        if (!x.isEmpty()) {
            chart.addSeries(name, x, y).setMarker(SeriesMarkers.NONE);
        }
    }

    private static void markEvents(XYChart chart, JsonNode report, double labelY) {
        for (JsonNode event : report.path("events")) {
            double atS = event.get("atMs").asDouble() / 1000;
            chart.addAnnotation(new AnnotationLine(atS, true, false));
            chart.addAnnotation(new AnnotationText(event.get("what").asText(), atS, labelY, false));
        }
    }

    /**
     * Draws latency percentiles and rates of one run over time, and parts by server; returns the names of the charts.
     */
    static List<String> drawRun(JsonNode report, Path folder, String name) throws IOException {
        List<Double> x = new ArrayList<>();
        Map<String, List<Double>> valuesByField = new TreeMap<>();
        double sliceS = report.get("slices").size() > 1
                ? report.get("slices").get(1).get("atMs").asDouble() / 1000
                : 1;
        for (JsonNode slice : report.get("slices")) {
            x.add(slice.get("atMs").asDouble() / 1000);
            for (String field : List.of("intended", "served", "pushedBack")) {
                valuesByField
                        .computeIfAbsent(field, key -> new ArrayList<>())
                        .add(slice.get(field).asDouble() / sliceS);
            }
            for (String field : List.of("p50Ms", "p99Ms")) {
                valuesByField
                        .computeIfAbsent(field, key -> new ArrayList<>())
                        .add(slice.get(field).asDouble());
            }
        }
        XYChart latency = createChart("Latency from the intended time, " + name, "milliseconds");
        addLine(latency, "p50", x, valuesByField.getOrDefault("p50Ms", List.of()));
        addLine(latency, "p99", x, valuesByField.getOrDefault("p99Ms", List.of()));
        markEvents(
                latency,
                report,
                valuesByField.getOrDefault("p99Ms", List.of(1.0)).stream()
                        .max(Double::compare)
                        .orElse(1.0));
        save(latency, folder, name + "-latency");
        XYChart rate = createChart("Multigets per second, " + name, "per second");
        addLine(rate, "intended", x, valuesByField.getOrDefault("intended", List.of()));
        addLine(rate, "served", x, valuesByField.getOrDefault("served", List.of()));
        addLine(rate, "pushed back", x, valuesByField.getOrDefault("pushedBack", List.of()));
        markEvents(
                rate,
                report,
                valuesByField.getOrDefault("intended", List.of(1.0)).stream()
                        .max(Double::compare)
                        .orElse(1.0));
        save(rate, folder, name + "-rate");
        CategoryChart load = new CategoryChartBuilder()
                .width(WIDTH)
                .height(HEIGHT)
                .title("Parts by server, " + name)
                .xAxisTitle("server")
                .yAxisTitle("parts")
                .build();
        load.getStyler().setLegendVisible(false);
        List<String> servers = new ArrayList<>();
        List<Double> parts = new ArrayList<>();
        report.path("servers").fields().forEachRemaining(server -> {
            servers.add(server.getKey());
            parts.add(server.getValue().path("parts").asDouble());
        });
        load.addSeries("parts", servers, parts);
        save(load, folder, name + "-servers");
        return List.of(name + "-latency", name + "-rate", name + "-servers");
    }

    /**
     * Draws goodput and p99 latency by the multiple of the load, one line for each version and number of nodes; returns
     * the names of the charts. Draws nothing if no such line has two points.
     */
    static List<String> drawSaturation(List<ExperimentStore.Run> runs, Path folder) throws IOException {
        Map<String, Map<Double, List<JsonNode>>> versions = new TreeMap<>();
        for (ExperimentStore.Run run : runs) {
            if (run.report() != null) {
                versions.computeIfAbsent(
                                run.cell().version() + ", " + run.cell().nodes() + " nodes", key -> new TreeMap<>())
                        .computeIfAbsent(run.cell().times(), key -> new ArrayList<>())
                        .add(run.report());
            }
        }
        if (versions.values().stream().allMatch(byTimes -> byTimes.size() < 2)) {
            return List.of();
        }
        XYChart goodput = createChart("Goodput by load", "served per second");
        XYChart p99 = createChart("Latency of served multigets, p99, by load", "milliseconds");
        goodput.setXAxisTitle("multiple of the load");
        p99.setXAxisTitle("multiple of the load");
        versions.forEach((version, byTimes) -> {
            List<Double> x = new ArrayList<>(byTimes.keySet());
            List<Double> goodputs = new ArrayList<>();
            List<Double> p99s = new ArrayList<>();
            byTimes.values().forEach(reports -> {
                goodputs.add(reports.stream()
                        .mapToDouble(report -> report.at("/served/count").asDouble()
                                * 1000
                                / report.get("lastedMs").asDouble())
                        .average()
                        .orElse(0));
                p99s.add(reports.stream()
                        .mapToDouble(
                                report -> report.at("/served/latencyMs/p99").asDouble())
                        .average()
                        .orElse(0));
            });
            goodput.addSeries(version, x, goodputs);
            p99.addSeries(version, x, p99s);
        });
        save(goodput, folder, "saturation-goodput");
        save(p99, folder, "saturation-p99");
        return List.of("saturation-goodput", "saturation-p99");
    }

    /** Writes index.html: the tables, and the charts as images of the same folder, so that it can be read offline. */
    static void writePage(Path folder, String title, String tables, List<String> charts) throws IOException {
        StringBuilder page = new StringBuilder("<!doctype html>\n<html lang=\"en\"><meta charset=\"utf-8\"><title>"
                + escapeHtml(title) + "</title>\n<style>body{font-family:sans-serif;max-width:60em;margin:2em auto}"
                + "pre{overflow-x:auto}img{max-width:100%}</style>\n<h1>" + escapeHtml(title) + "</h1>\n<pre>"
                + escapeHtml(tables) + "</pre>\n");
        charts.forEach(chart ->
                page.append(String.format(Locale.ROOT, "<p><img src=\"%s.png\" alt=\"%s\"></p>%n", chart, chart)));
        Files.writeString(folder.resolve("index.html"), page.append("</html>\n"));
    }

    private static String escapeHtml(String text) {
        return text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;");
    }
}
