package spartrail.dns;

import java.net.InetSocketAddress;

/**
 * One query to one name server, to be sent now.
 *
 * @param number unique in its resolver
 * @param id the id in the message
 * @param message its bytes; over TCP the transport puts the length before them (RFC 1035, section 4.2.2)
 * @param timeoutMs the transport gives up after so long and reports it
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
