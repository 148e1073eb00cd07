package spartrail.lab.scale;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.PrintStream;
import java.util.List;
import java.util.Locale;
import spartrail.lab.file.Document;

/** The measured points of a scale test and the curve that is fitted to them. */
public record ScaleResult(ScaleTest test, int replicasPerShard, List<Fit.Point> points, Fit fit) {
    /**
     * The figure at the target size: measured if that size was run, otherwise computed by the fit; NaN if the fit does
     * not hold.
     */
    public double atTarget() {
        return points.stream()
                .filter(point -> point.size() == test.target())
                .mapToDouble(Fit.Point::figure)
                .findFirst()
                .orElseGet(() -> fit.holds() ? fit.at().applyAsDouble(test.target()) : Double.NaN);
    }

    /** The largest size that was run. */
    public double largestRun() {
        return points.stream().mapToDouble(Fit.Point::size).max().orElse(0);
    }

    /** Prints the points as a Markdown table, and the fit. */
    public void print(PrintStream out) {
        out.printf(
                Locale.ROOT,
                "%n%s: %s%s%n%n| %s | %s | fit | residual |%n|---|---|---|---|%n",
                test.name(),
                test.summary(),
                replicasPerShard > 0 ? ", subsets of " + replicasPerShard : "",
                test.size(),
                test.unit());
        for (int i = 0; i < points.size(); i++) {
            Fit.Point point = points.get(i);
            out.printf(
                    Locale.ROOT,
                    "| %.0f | %.4g | %.4g | %+.0f%% |%n",
                    point.size(),
                    point.figure(),
                    fit.at().applyAsDouble(point.size()),
                    100 * fit.residuals().get(i));
        }
        String fitted = fit.holds() ? "Fit: " + fit.formula() : "No fit holds (nearest: " + fit.formula() + ")";
        out.printf("%n%s. At the target, %d %s: %s%n", fitted, test.target(), test.size(), describeTarget());
    }

    private String describeTarget() {
        if (Double.isNaN(atTarget())) {
            return String.format(Locale.ROOT, "not extrapolated (largest size run %.0f).", largestRun());
        }
        String origin = largestRun() >= test.target() ? "measured" : "by the fit";
        return String.format(
                Locale.ROOT, "%.4g %s (%s; largest size run %.0f).", atTarget(), test.unit(), origin, largestRun());
    }

    /** The result as JSON. */
    public ObjectNode json() {
        ObjectNode node = Document.JSON
                .createObjectNode()
                .put("test", test.name())
                .put("size", test.size())
                .put("unit", test.unit())
                .put("replicasPerShard", replicasPerShard)
                .put("fit", fit.formula())
                .put("error", fit.error())
                .put("target", test.target())
                .put("holds", fit.holds())
                .put("atTarget", atTarget())
                .put("largestRun", largestRun());
        var array = node.putArray("points");
        for (int i = 0; i < points.size(); i++) {
            array.addObject()
                    .put("size", points.get(i).size())
                    .put("figure", points.get(i).figure())
                    .put("residual", fit.residuals().get(i));
        }
        return node;
    }
}
