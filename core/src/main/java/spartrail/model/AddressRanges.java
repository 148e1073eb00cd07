package spartrail.model;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

/** Ranges of IPv4 addresses such as 10.0.0.0/8, and whether an endpoint such as 10.1.2.3:7400 lies in one of them. */
public final class AddressRanges implements Predicate<String> {
    private record Range(long address, long mask) {}

    private final List<Range> ranges = new ArrayList<>();

    /** An IllegalArgumentException names the place and what was found there. */
    public AddressRanges(List<?> cidrBlocks, String place) {
        for (Object text : cidrBlocks) {
            String[] parts = String.valueOf(text).split("/");
            long address = parts.length == 2 ? address(parts[0]) : -1;
            if (address < 0 || !parts[1].matches("[0-9]|[12][0-9]|3[0-2]")) {
                throw new IllegalArgumentException(
                        place + ": found '" + text + "', a range such as 10.0.0.0/8 is expected");
            }
            int bits = Integer.parseInt(parts[1]);
            long mask = bits == 0 ? 0 : 0xffffffffL << 32 - bits & 0xffffffffL;
            ranges.add(new Range(address & mask, mask));
        }
    }

    @Override
    public boolean test(String endpoint) {
        long address = address(endpoint.substring(0, Math.max(0, endpoint.lastIndexOf(':'))));
        return address >= 0 && ranges.stream().anyMatch(range -> (address & range.mask) == range.address);
    }

    private static long address(String text) {
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
