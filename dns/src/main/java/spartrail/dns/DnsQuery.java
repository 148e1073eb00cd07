package spartrail.dns;

import java.net.InetSocketAddress;

/**
 * One query to one name server, which is to be sent now.
 *
 * @param number identifies the query in its resolver
 * @param id the id in the header of the message
 * @param message the encoded message; over TCP the transport prepends its length (RFC 1035, section 4.2.2)
 * @param timeoutMs after what time without a response the transport reports a timeout
 */
public record DnsQuery(
        long number,
        String name,
        int type,
        InetSocketAddress server,
        boolean isTcp,
        int id,
        byte[] message,
        double timeoutMs) {}
