package spartrail.lab.scale;

import java.util.List;

/**
 * One figure that grows with one size.
 *
 * @param size what is counted
 * @param unit of the figure
 * @param sizes measured where none are asked for
 * @param target size of the fleet that the system has to carry
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
        double at(int size) throws Exception;
    }
}
