package spartrail.dns;

import java.util.ArrayList;
import java.util.List;
import org.xbill.DNS.CNAMERecord;
import org.xbill.DNS.DClass;
import org.xbill.DNS.Message;
import org.xbill.DNS.Name;
import org.xbill.DNS.Record;
import org.xbill.DNS.Section;

/** Follows the aliases (CNAME records) in a response from a name to its records of the requested type. */
final class AliasChain {
    private static final int MAX_LENGTH = 8;

    private final int type;
    private final List<Record> records = new ArrayList<>();
    private Name name;
    private int length;
    private double ttlMs;
    private boolean isTooLong;

    /** Continues the chain at the point that the entry has reached. */
    AliasChain(CacheEntry entry) {
        this.type = entry.type();
        this.name = entry.chainName;
        this.length = entry.chainLength;
        this.ttlMs = entry.chainTtlMs;
    }

    /** The records of the requested type; empty if the chain ends at a name that the response does not contain. */
    List<Record> records() {
        return records;
    }

    /** The name that the chain has reached. */
    Name name() {
        return name;
    }

    int length() {
        return length;
    }

    /** The minimum TTL of the records of the chain. */
    double ttlMs() {
        return ttlMs;
    }

    /** Whether the chain has more than the maximum number of aliases. */
    boolean isTooLong() {
        return isTooLong;
    }

    void follow(Message message) {
        boolean hasMoved = true;
        while (hasMoved && !isTooLong) {
            hasMoved = followOnce(message);
        }
    }

    /** Collects records of the current name or follows its alias; returns whether an alias has been followed. */
    private boolean followOnce(Message message) {
        for (Record record : message.getSection(Section.ANSWER)) {
            if (record.getDClass() != DClass.IN || !record.getName().equals(name)) {
                continue;
            }
            if (record.getType() == type) {
                records.add(record);
                ttlMs = Ttl.minMs(ttlMs, record);
            } else if (record instanceof CNAMERecord alias) {
                return followAlias(alias);
            }
        }
        return false;
    }

    private boolean followAlias(CNAMERecord alias) {
        if (length >= MAX_LENGTH) {
            isTooLong = true;
            return false;
        }
        length++;
        name = alias.getTarget();
        ttlMs = Ttl.minMs(ttlMs, alias);
        return true;
    }
}
