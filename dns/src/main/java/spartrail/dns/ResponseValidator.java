package spartrail.dns;

import org.xbill.DNS.DClass;
import org.xbill.DNS.Flags;
import org.xbill.DNS.Message;
import org.xbill.DNS.Opcode;
import org.xbill.DNS.Record;
import org.xbill.DNS.Section;

/** Whether a message is the response to a query (RFC 5452, section 9). A test replaces it to show that each check matters. */
class ResponseValidator {
    /** Whether the list of records was cut: it looks like a shorter one and must not be used. */
    boolean isTruncated(Message message) {
        return message.getHeader().getFlag(Flags.TC);
    }

    boolean hasId(DnsQuery query, Message message) {
        return message.getHeader().getID() == query.id();
    }

    /** Whether the message answers the question of the query, and no other. */
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
