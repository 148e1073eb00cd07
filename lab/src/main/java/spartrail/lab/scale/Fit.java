package spartrail.lab.scale;

import java.util.List;
import java.util.Locale;
import java.util.function.DoubleUnaryOperator;

/**
 * A curve fitted to measured points: a line or a power of the size, whichever has the smaller relative residuals.
 *
 * @param at computes the fitted figure at a size
 * @param residuals relative deviations of the curve from the points
 * @param hasNonzeroPoint false if all points are 0: then no curve is accepted
 */
public record Fit(String formula, DoubleUnaryOperator at, List<Double> residuals, boolean hasNonzeroPoint) {
    /** A measured figure at a size. */
    public record Point(double size, double figure) {}

    /** If the residual of a point is larger, the figure does not follow the curve and nothing is extrapolated. */
    private static final double MAX_RESIDUAL = 0.25;

    /** Fits a line and, if all figures are positive, a power to points of two or more sizes; returns the better fit. */
    public static Fit of(List<Point> points) {
        Fit line = fitLine(points);
        boolean positive = points.stream().allMatch(point -> point.figure > 0);
        Fit power = positive ? fitPower(points) : line;
        return power.error() < line.error() ? power : line;
    }

    /** Whether no residual is larger than {@link #MAX_RESIDUAL}. */
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

    /**
     * Fits a line; points are weighted by the inverse square of the figure, so that small sizes count as much as large
     * ones.
     */
    private static Fit fitLine(List<Point> points) {
        double[] coefficients = fitCoefficients(points, false);
        return createFit(
                String.format(Locale.ROOT, "%.4g + %.4g * size", coefficients[0], coefficients[1]),
                size -> coefficients[0] + coefficients[1] * size,
                points);
    }

    private static Fit fitPower(List<Point> points) {
        double[] coefficients = fitCoefficients(points, true);
        double factor = Math.exp(coefficients[0]);
        return createFit(
                String.format(Locale.ROOT, "%.4g * size^%.3f", factor, coefficients[1]),
                size -> factor * Math.pow(size, coefficients[1]),
                points);
    }

    private static Fit createFit(String formula, DoubleUnaryOperator at, List<Point> points) {
        List<Double> residuals = points.stream()
                .map(point -> relativeResidual(at.applyAsDouble(point.size), point.figure))
                .toList();
        return new Fit(formula, at, residuals, points.stream().anyMatch(point -> point.figure != 0));
    }

    private static double relativeResidual(double fitted, double figure) {
        return figure == 0 ? fitted : (fitted - figure) / figure;
    }

    private static double[] fitCoefficients(List<Point> points, boolean logarithms) {
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
