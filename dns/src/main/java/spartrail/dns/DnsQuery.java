package spartrail.dns;

import java.net.InetSocketAddress;

/**
 * One question to one name server, to be sent now.
 *
 * @param message its bytes; over TCP the transport puts the length before them (RFC 1035, section 4.2.2)
 * @param timeOutMs the transport gives up after so long and says so
 */
public record DnsQuery(
        long number,
        String name,
        int type,
        InetSocketAddress server,
        boolean tcp,
        int id,
        byte[] message,
        double timeOutMs) {}
