package spartrail.subset;

import java.util.List;

/**
 * What a change of the list does to the subset, by the servers' names.
 *
 * @param joined now in it, and not before
 * @param displaced live servers that were in it and are not any more
 */
public record SubsetChange(List<String> joined, List<String> displaced) {}
