package spartrail.model;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

/**
 * A list of ranges of IPv4 addresses such as 10.0.0.0/8. Tests whether an endpoint such as 10.1.2.3:7400 is in one of
 * them.
 */
public final class AddressRanges implements Predicate<String> {
    private static final int ADDRESS_BITS = 32;
    private static final long ALL_ONES = 0xffffffffL;

    private record Range(long address, long mask) {}

    private final List<Range> ranges = new ArrayList<>();

    /**
     * Parses CIDR blocks.
     *
     * @param location the location of the blocks in the configuration file, for the error message
     * @throws IllegalArgumentException if a block is invalid; the message gives the location and the text found
     */
    public AddressRanges(List<?> cidrBlocks, String location) {
        for (Object text : cidrBlocks) {
            String[] parts = String.valueOf(text).split("/");
            long address = parts.length == 2 ? parseAddress(parts[0]) : -1;
            if (address < 0 || !parts[1].matches("[0-9]|[12][0-9]|3[0-2]")) {
                throw new IllegalArgumentException(
                        location + ": found '" + text + "', a range such as 10.0.0.0/8 is expected");
            }
            long mask = toMask(Integer.parseInt(parts[1]));
            ranges.add(new Range(address & mask, mask));
        }
    }

    private static long toMask(int prefixLength) {
        return prefixLength == 0 ? 0 : ALL_ONES << ADDRESS_BITS - prefixLength & ALL_ONES;
    }

    @Override
    public boolean test(String endpoint) {
        long address = parseAddress(endpoint.substring(0, Math.max(0, endpoint.lastIndexOf(':'))));
        return address >= 0 && ranges.stream().anyMatch(range -> (address & range.mask) == range.address);
    }

    /** Returns the address as a number, or -1 if the text is not an IPv4 address. */
    private static long parseAddress(String text) {
        if (!text.matches("[0-9]{1,3}(\\.[0-9]{1,3}){3}")) {
            return -1;
        }
        long address = 0;
        for (String octet : text.split("\\.")) {
            address = address << 8 | Math.min(255, Integer.parseInt(octet));
        }
        return address;
    }
}
