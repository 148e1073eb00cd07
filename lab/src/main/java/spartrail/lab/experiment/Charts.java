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

/** Draws runs: over time, by server, by load; each chart as SVG and PNG. */
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

    private static XYChart chart(String title, String y) {
        XYChart chart = new XYChartBuilder()
                .width(WIDTH)
                .height(HEIGHT)
                .title(title)
                .xAxisTitle("seconds")
                .yAxisTitle(y)
                .build();
        chart.getStyler().setLegendPosition(Styler.LegendPosition.OutsideS);
        chart.getStyler().setLegendLayout(Styler.LegendLayout.Horizontal);
        return chart;
    }

    private static void line(XYChart chart, String name, List<Double> x, List<Double> y) {
        if (!x.isEmpty()) {
            chart.addSeries(name, x, y).setMarker(SeriesMarkers.NONE);
        }
    }

    private static void events(XYChart chart, JsonNode report, double top) {
        for (JsonNode event : report.path("events")) {
            double atS = event.get("atMs").asDouble() / 1000;
            chart.addAnnotation(new AnnotationLine(atS, true, false));
            chart.addAnnotation(new AnnotationText(event.get("what").asText(), atS, top, false));
        }
    }

    /** Percentiles, throughput and goodput of one run over its time. */
    static List<String> run(JsonNode report, Path folder, String name) throws IOException {
        List<Double> x = new ArrayList<>();
        Map<String, List<Double>> rows = new TreeMap<>();
        double widthS = report.get("slices").size() > 1
                ? report.get("slices").get(1).get("atMs").asDouble() / 1000
                : 1;
        for (JsonNode slice : report.get("slices")) {
            x.add(slice.get("atMs").asDouble() / 1000);
            for (String field : List.of("intended", "served", "pushedBack")) {
                rows.computeIfAbsent(field, key -> new ArrayList<>())
                        .add(slice.get(field).asDouble() / widthS);
            }
            for (String field : List.of("p50Ms", "p99Ms")) {
                rows.computeIfAbsent(field, key -> new ArrayList<>())
                        .add(slice.get(field).asDouble());
            }
        }
        XYChart latency = chart("Latency from the intended time, " + name, "milliseconds");
        line(latency, "p50", x, rows.getOrDefault("p50Ms", List.of()));
        line(latency, "p99", x, rows.getOrDefault("p99Ms", List.of()));
        events(
                latency,
                report,
                rows.getOrDefault("p99Ms", List.of(1.0)).stream()
                        .max(Double::compare)
                        .orElse(1.0));
        save(latency, folder, name + "-latency");
        XYChart rate = chart("Multigets a second, " + name, "a second");
        line(rate, "meant to be sent", x, rows.getOrDefault("intended", List.of()));
        line(rate, "served", x, rows.getOrDefault("served", List.of()));
        line(rate, "pushed back", x, rows.getOrDefault("pushedBack", List.of()));
        events(
                rate,
                report,
                rows.getOrDefault("intended", List.of(1.0)).stream()
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

    /** Served share and p99 by the multiple of the load, a line a version. */
    static List<String> saturation(List<ExperimentStore.Run> runs, Path folder) throws IOException {
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
        XYChart goodput = chart("Goodput by load", "served a second");
        XYChart p99 = chart("Latency of the served, p99, by load", "milliseconds");
        goodput.setXAxisTitle("multiple of the load");
        p99.setXAxisTitle("multiple of the load");
        versions.forEach((version, byTimes) -> {
            List<Double> x = new ArrayList<>(byTimes.keySet());
            List<Double> good = new ArrayList<>();
            List<Double> slow = new ArrayList<>();
            byTimes.values().forEach(reports -> {
                good.add(reports.stream()
                        .mapToDouble(report -> report.at("/served/count").asDouble()
                                * 1000
                                / report.get("lastedMs").asDouble())
                        .average()
                        .orElse(0));
                slow.add(reports.stream()
                        .mapToDouble(
                                report -> report.at("/served/latencyMs/p99").asDouble())
                        .average()
                        .orElse(0));
            });
            goodput.addSeries(version, x, good);
            p99.addSeries(version, x, slow);
        });
        save(goodput, folder, "saturation-goodput");
        save(p99, folder, "saturation-p99");
        return List.of("saturation-goodput", "saturation-p99");
    }

    /** One page that needs no network: the tables and the charts beside it. */
    static void page(Path folder, String title, String tables, List<String> charts) throws IOException {
        StringBuilder page = new StringBuilder("<!doctype html>\n<html lang=\"en\"><meta charset=\"utf-8\"><title>"
                + escaped(title) + "</title>\n<style>body{font-family:sans-serif;max-width:60em;margin:2em auto}"
                + "pre{overflow-x:auto}img{max-width:100%}</style>\n<h1>" + escaped(title) + "</h1>\n<pre>"
                + escaped(tables) + "</pre>\n");
        charts.forEach(chart ->
                page.append(String.format(Locale.ROOT, "<p><img src=\"%s.png\" alt=\"%s\"></p>%n", chart, chart)));
        Files.writeString(folder.resolve("index.html"), page.append("</html>\n"));
    }

    private static String escaped(String text) {
        return text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;");
    }
}
