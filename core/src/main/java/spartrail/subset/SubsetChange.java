package spartrail.subset;

import java.util.List;

/**
 * The effect of a list change on the subset, as names of servers.
 *
 * @param joined servers that are in the subset now and were not before
 * @param displaced live servers that were in the subset before and are not any more
 */
public record SubsetChange(List<String> joined, List<String> displaced) {}
