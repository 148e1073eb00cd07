package spartrail.dns;

import org.xbill.DNS.Message;
import org.xbill.DNS.Record;
import org.xbill.DNS.SOARecord;
import org.xbill.DNS.Section;

/** How long records are valid. */
final class Ttl {
    private static final double MS_PER_S = 1000.0;

    private Ttl() {}

    /** The lesser of what has been found so far and the TTL of the record. */
    static double leastMs(double leastMs, Record record) {
        return Math.min(leastMs, MS_PER_S * Math.max(0, record.getTTL()));
    }

    /** The lesser of the SOA's TTL and its minimum (RFC 2308, section 5); the other value where there is no SOA. */
    static double negativeMs(Message message, double withoutSoaMs) {
        for (Record record : message.getSection(Section.AUTHORITY)) {
            if (record instanceof SOARecord soa) {
                return MS_PER_S * Math.max(0, Math.min(soa.getTTL(), soa.getMinimum()));
            }
        }
        return withoutSoaMs;
    }
}
