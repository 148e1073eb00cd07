package spartrail.lab.cluster;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import spartrail.lab.cluster.ClusterHistory.Line;

/** A history as a picture: a row for each node over time, faults as bands, below each row how many it held to be there. */
public final class TimelineChart {
    private static final int WIDTH = 1100;
    private static final int LEFT = 60;
    private static final int ROW = 44;
    private static final int TOP = 30;
    private static final int BAND = 16;
    private static final int APART = 14;
    /** What begins a band, what ends it, and its colour. */
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
                WIDTH + LEFT + 20,
                TOP + nodes * ROW + 40));
        Map<String, Double> open = new HashMap<>();
        for (Line line : lines) {
            double x = LEFT + WIDTH * (line.ns() - beginNs) / spanNs;
            if (line.node() < 0) {
                for (String[] band : BANDS) {
                    for (JsonNode name : line.tree().path("nodes")) {
                        String key = name.asText() + band[0];
                        if (line.what().equals(band[0])) {
                            open.put(key, x);
                        } else if (line.what().equals(band[1]) && open.containsKey(key)) {
                            band(svg, name.asText(), open.remove(key), x, band);
                        }
                    }
                }
            }
        }
        for (String[] band : BANDS) {
            open.forEach((key, x) -> {
                if (key.endsWith(band[0])) {
                    band(svg, key.substring(0, key.length() - band[0].length()), x, LEFT + WIDTH, band);
                }
            });
        }
        for (int node = 0; node < nodes; node++) {
            row(svg, lines, node, beginNs, spanNs);
        }
        for (int i = 0; i <= 10; i++) {
            svg.append(String.format(
                    Locale.ROOT,
                    "<text x=\"%.1f\" y=\"%d\" fill=\"#333\">%.1f s</text>%n",
                    LEFT + WIDTH * i / 10.0,
                    TOP + nodes * ROW + 18,
                    spanNs * i / 1e10));
        }
        return svg.append("</svg>\n").toString();
    }

    private static void band(StringBuilder svg, String name, double from, double to, String[] band) {
        int node = Integer.parseInt(name.substring(1));
        svg.append(String.format(
                Locale.ROOT,
                "<rect x=\"%.1f\" y=\"%d\" width=\"%.1f\" height=\"%d\" fill=\"%s\" fill-opacity=\"0.6\">"
                        + "<title>%s %s</title></rect>%n",
                from,
                TOP + node * ROW,
                Math.max(1, to - from),
                BAND,
                band[2],
                name,
                band[0]));
    }

    /** Its view over time: a number where it changes, red while it doubts itself. */
    private static void row(StringBuilder svg, List<Line> lines, int node, long beginNs, double spanNs) {
        int y = TOP + node * ROW;
        svg.append(String.format(
                Locale.ROOT,
                "<text x=\"4\" y=\"%d\">n%d</text><line x1=\"%d\" y1=\"%d\" x2=\"%d\" y2=\"%d\" "
                        + "stroke=\"#bbb\"/>%n",
                y + 12,
                node,
                LEFT,
                y + BAND + 2,
                LEFT + WIDTH,
                y + BAND + 2));
        List<Line> views = lines.stream()
                .filter(line -> line.node() == node && line.what().equals("view"))
                .toList();
        String last = "";
        for (int i = 0; i < views.size(); i++) {
            double x = LEFT + WIDTH * (views.get(i).ns() - beginNs) / spanNs;
            double nextX =
                    i + 1 < views.size() ? LEFT + WIDTH * (views.get(i + 1).ns() - beginNs) / spanNs : Double.MAX_VALUE;
            boolean doubts = !views.get(i).tree().get("doubt").asText().isEmpty();
            String text = views.get(i).tree().get("there").asText() + (doubts ? "?" : "");
            // Of several too close to be read the last one stands.
            if (!text.equals(last) && nextX - x > APART) {
                svg.append(String.format(
                        Locale.ROOT,
                        "<text x=\"%.1f\" y=\"%d\" fill=\"%s\">%s</text>%n",
                        x,
                        y + BAND + 14,
                        doubts ? "#c00" : "#060",
                        text));
                last = text;
            }
        }
    }
}
