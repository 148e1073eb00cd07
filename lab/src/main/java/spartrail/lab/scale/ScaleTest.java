package spartrail.lab.scale;

import java.util.List;

/**
 * A figure measured as a function of one size.
 *
 * @param size what is counted
 * @param unit of the figure
 * @param sizes the default sizes
 * @param target size of the deployment that the system has to support
 */
public record ScaleTest(
        String name,
        String summary,
        String size,
        String unit,
        List<Integer> sizes,
        int target,
        Measurement measurement) {
    /** Measures the figure at one size. */
    public interface Measurement {
        /** The figure at this size. */
        double at(int size) throws Exception;
    }
}
