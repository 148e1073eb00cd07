package spartrail.endpoint;

import java.net.InetSocketAddress;
import java.util.regex.Pattern;

/** Parses addresses of the form host:port. */
public final class EndpointAddress {
    private static final Pattern HOST = Pattern.compile("[0-9.]+|\\[[0-9a-fA-F:.]+]|localhost");
    private static final int PORT_COUNT = 65_536;

    private EndpointAddress() {}

    /**
     * Parses an address without a DNS lookup; the host is an IP address or {@code localhost}.
     *
     * @throws IllegalArgumentException if the text is not an address of this form
     */
    public static InetSocketAddress parse(String text) {
        int colon = text.lastIndexOf(':');
        String host = text.substring(0, Math.max(0, colon));
        int port = parsePort(text.substring(colon + 1));
        if (HOST.matcher(host).matches() && port >= 0 && port < PORT_COUNT) {
            return new InetSocketAddress(host, port);
        }
        throw new IllegalArgumentException(
                "found '" + text + "', an address host:port with an IP address or localhost as host is expected");
    }

    /** The port, or -1 if the text is not a number. */
    private static int parsePort(String text) {
        try {
            return Integer.parseInt(text);
        } catch (NumberFormatException e) {
            return -1;
        }
    }
}
