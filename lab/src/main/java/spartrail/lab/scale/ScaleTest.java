package spartrail.lab.scale;

import java.util.List;

/**
 * The measurement of one figure as a function of one size.
 *
 * @param size name of the size, such as servers
 * @param unit of the figure
 * @param sizes the sizes that are run by default
 * @param target the size in the deployment that the system has to support
 */
public record ScaleTest(
        String name,
        String summary,
        String size,
        String unit,
        List<Integer> sizes,
        int target,
        Measurement measurement) {
    /** A function from a size to the measured figure. */
    public interface Measurement {
        /** Measures the figure at this size. */
        double at(int size) throws Exception;
    }
}
