package spartrail.dns;

import org.xbill.DNS.DClass;
import org.xbill.DNS.Flags;
import org.xbill.DNS.Message;
import org.xbill.DNS.Opcode;
import org.xbill.DNS.Record;
import org.xbill.DNS.Section;

/**
 * Checks whether a message is the response to a query (RFC 5452, section 9). Tests override checks to show that each is
 * needed.
 */
class ResponseValidator {
    /** Whether the message is truncated; its records look like a shorter list and must not be used. */
    boolean isTruncated(Message message) {
        return message.getHeader().getFlag(Flags.TC);
    }

    boolean hasId(DnsQuery query, Message message) {
        return message.getHeader().getID() == query.id();
    }

    /** Whether the message is a response to exactly the question of the query. */
    boolean answersQuestion(DnsQuery query, Message message) {
        Record question = message.getQuestion();
        return message.getHeader().getFlag(Flags.QR)
                && message.getHeader().getOpcode() == Opcode.QUERY
                && question != null
                && message.getSection(Section.QUESTION).size() == 1
                && question.getType() == query.type()
                && question.getDClass() == DClass.IN
                && question.getName().toString().equalsIgnoreCase(query.name());
    }
}
