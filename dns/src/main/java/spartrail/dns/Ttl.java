package spartrail.dns;

import org.xbill.DNS.Message;
import org.xbill.DNS.Record;
import org.xbill.DNS.SOARecord;
import org.xbill.DNS.Section;

/** Calculates how long records are valid. */
final class Ttl {
    private static final double MS_PER_S = 1000.0;

    private Ttl() {}

    /** The minimum of {@code minSoFarMs} and the TTL of the record. */
    static double minMs(double minSoFarMs, Record record) {
        return Math.min(minSoFarMs, MS_PER_S * Math.max(0, record.getTTL()));
    }

    /**
     * The minimum of the SOA's TTL and its MINIMUM field (RFC 2308, section 5); {@code withoutSoaMs} if there is no
     * SOA.
     */
    static double negativeMs(Message message, double withoutSoaMs) {
        for (Record record : message.getSection(Section.AUTHORITY)) {
            if (record instanceof SOARecord soa) {
                return MS_PER_S * Math.max(0, Math.min(soa.getTTL(), soa.getMinimum()));
            }
        }
        return withoutSoaMs;
    }
}
