package spartrail.lab.scale;

import java.util.List;
import java.util.Locale;
import java.util.function.DoubleUnaryOperator;

/**
 * A curve through measured points: a line or a power, whichever leaves the smaller relative residuals.
 *
 * @param at the fitted figure at a size
 * @param hasNonzeroPoint false if all points are 0: then there is no curve
 */
public record Fit(String formula, DoubleUnaryOperator at, List<Double> residuals, boolean hasNonzeroPoint) {
    /** A measured figure at a size. */
    public record Point(double size, double figure) {}

    /** If a point is further off than this, the figure does not follow the curve and nothing is extrapolated. */
    private static final double MAX_RESIDUAL = 0.25;

    /** The better curve through two or more points of different sizes. */
    public static Fit of(List<Point> points) {
        Fit line = line(points);
        boolean positive = points.stream().allMatch(point -> point.figure > 0);
        Fit power = positive ? power(points) : line;
        return power.error() < line.error() ? power : line;
    }

    /** Whether every point is near the curve. */
    public boolean holds() {
        return hasNonzeroPoint && residuals.stream().allMatch(residual -> Math.abs(residual) <= MAX_RESIDUAL);
    }

    /** Root of the mean square of the residuals. */
    public double error() {
        return Math.sqrt(residuals.stream()
                .mapToDouble(residual -> residual * residual)
                .average()
                .orElse(0));
    }

    /** Weighted by the inverse square of the figure, so that small sizes count as much as large ones. */
    private static Fit line(List<Point> points) {
        double[] line = regression(points, false);
        return fit(
                String.format(Locale.ROOT, "%.4g + %.4g * size", line[0], line[1]),
                size -> line[0] + line[1] * size,
                points);
    }

    private static Fit power(List<Point> points) {
        double[] line = regression(points, true);
        double factor = Math.exp(line[0]);
        return fit(
                String.format(Locale.ROOT, "%.4g * size^%.3f", factor, line[1]),
                size -> factor * Math.pow(size, line[1]),
                points);
    }

    private static Fit fit(String formula, DoubleUnaryOperator at, List<Point> points) {
        List<Double> residuals = points.stream()
                .map(point -> residual(at.applyAsDouble(point.size), point.figure))
                .toList();
        return new Fit(formula, at, residuals, points.stream().anyMatch(point -> point.figure != 0));
    }

    private static double residual(double fitted, double figure) {
        return figure == 0 ? fitted : (fitted - figure) / figure;
    }

    private static double[] regression(List<Point> points, boolean logarithms) {
        double weights = 0;
        double x = 0;
        double y = 0;
        double xx = 0;
        double xy = 0;
        for (Point point : points) {
            double size = logarithms ? Math.log(point.size) : point.size;
            double figure = logarithms ? Math.log(point.figure) : point.figure;
            double weight = logarithms || figure == 0 ? 1 : 1 / (figure * figure);
            weights += weight;
            x += weight * size;
            y += weight * figure;
            xx += weight * size * size;
            xy += weight * size * figure;
        }
        double slope = (weights * xy - x * y) / (weights * xx - x * x);
        return new double[] {(y - slope * x) / weights, slope};
    }
}
