package spartrail.lab.cluster;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import spartrail.lab.cluster.ClusterHistory.Line;

/**
 * Draws a history as SVG: one row per node over time, with faults as bands and, below each row, the number of nodes
 * that this node counted as present.
 */
public final class TimelineChart {
    private static final int WIDTH = 1100;
    private static final int LEFT_MARGIN = 60;
    private static final int ROW_HEIGHT = 44;
    private static final int TOP_MARGIN = 30;
    private static final int BAND_HEIGHT = 16;
    private static final int MIN_LABEL_GAP = 14;
    /** The event that begins a band, the event that ends it, and the band's colour. */
    private static final String[][] BANDS = {
        {"killed", "started", "#555555"},
        {"stopped", "goes on", "#e69f00"},
        {"slowed", "quick again", "#f0e442"},
        {"cut", "cut ends", "#d55e00"},
        {"one-way", "one-way ends", "#cc79a7"},
        {"link", "link ends", "#56b4e9"},
        {"flooded", "flood ends", "#009e73"}
    };

    private TimelineChart() {}

    public static String of(List<Line> lines, int nodes) {
        long beginNs = lines.isEmpty() ? 0 : lines.get(0).ns();
        double spanNs =
                lines.isEmpty() ? 1 : Math.max(1, lines.get(lines.size() - 1).ns() - beginNs);
        StringBuilder svg = new StringBuilder(String.format(
                Locale.ROOT,
                "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%d\" "
                        + "height=\"%d\" font-family=\"sans-serif\" font-size=\"11\">%n<rect width=\"100%%\" height=\"100%%\" fill=\"white\"/>%n",
                WIDTH + LEFT_MARGIN + 20,
                TOP_MARGIN + nodes * ROW_HEIGHT + 40));
        Map<String, Double> bandStarts = new HashMap<>();
        for (Line line : lines) {
            double x = LEFT_MARGIN + WIDTH * (line.ns() - beginNs) / spanNs;
            if (line.node() < 0) {
                for (String[] band : BANDS) {
                    for (JsonNode name : line.tree().path("nodes")) {
                        String key = name.asText() + band[0];
                        if (line.event().equals(band[0])) {
                            bandStarts.put(key, x);
                        } else if (line.event().equals(band[1]) && bandStarts.containsKey(key)) {
                            drawBand(svg, name.asText(), bandStarts.remove(key), x, band);
                        }
                    }
                }
            }
        }
        for (String[] band : BANDS) {
            bandStarts.forEach((key, x) -> {
                if (key.endsWith(band[0])) {
                    drawBand(svg, key.substring(0, key.length() - band[0].length()), x, LEFT_MARGIN + WIDTH, band);
                }
            });
        }
        for (int node = 0; node < nodes; node++) {
            drawRow(svg, lines, node, beginNs, spanNs);
        }
        for (int i = 0; i <= 10; i++) {
            svg.append(String.format(
                    Locale.ROOT,
                    "<text x=\"%.1f\" y=\"%d\" fill=\"#333\">%.1f s</text>%n",
                    LEFT_MARGIN + WIDTH * i / 10.0,
                    TOP_MARGIN + nodes * ROW_HEIGHT + 18,
                    spanNs * i / 1e10));
        }
        return svg.append("</svg>\n").toString();
    }

    private static void drawBand(StringBuilder svg, String name, double from, double to, String[] band) {
        int node = Integer.parseInt(name.substring(1));
        svg.append(String.format(
                Locale.ROOT,
                "<rect x=\"%.1f\" y=\"%d\" width=\"%.1f\" height=\"%d\" fill=\"%s\" fill-opacity=\"0.6\">"
                        + "<title>%s %s</title></rect>%n",
                from,
                TOP_MARGIN + node * ROW_HEIGHT,
                Math.max(1, to - from),
                BAND_HEIGHT,
                band[2],
                name,
                band[0]));
    }

    /** Draws a node's view over time: a number at each change, in red while the node is in doubt about its own view. */
    private static void drawRow(StringBuilder svg, List<Line> lines, int node, long beginNs, double spanNs) {
        int y = TOP_MARGIN + node * ROW_HEIGHT;
        svg.append(String.format(
                Locale.ROOT,
                "<text x=\"4\" y=\"%d\">n%d</text><line x1=\"%d\" y1=\"%d\" x2=\"%d\" y2=\"%d\" "
                        + "stroke=\"#bbb\"/>%n",
                y + 12,
                node,
                LEFT_MARGIN,
                y + BAND_HEIGHT + 2,
                LEFT_MARGIN + WIDTH,
                y + BAND_HEIGHT + 2));
        List<Line> views = lines.stream()
                .filter(line -> line.node() == node && line.event().equals("view"))
                .toList();
        String last = "";
        for (int i = 0; i < views.size(); i++) {
            double x = LEFT_MARGIN + WIDTH * (views.get(i).ns() - beginNs) / spanNs;
            double nextX = i + 1 < views.size()
                    ? LEFT_MARGIN + WIDTH * (views.get(i + 1).ns() - beginNs) / spanNs
                    : Double.MAX_VALUE;
            boolean isInDoubt = !views.get(i).tree().get("doubt").asText().isEmpty();
            String text = views.get(i).tree().get("there").asText() + (isInDoubt ? "?" : "");
            // Of several labels too close to each other to be read, only the last one is drawn.
            if (!text.equals(last) && nextX - x > MIN_LABEL_GAP) {
                svg.append(String.format(
                        Locale.ROOT,
                        "<text x=\"%.1f\" y=\"%d\" fill=\"%s\">%s</text>%n",
                        x,
                        y + BAND_HEIGHT + 14,
                        isInDoubt ? "#c00" : "#060",
                        text));
                last = text;
            }
        }
    }
}
