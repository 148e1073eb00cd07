package spartrail.endpoint;

import java.net.InetSocketAddress;
import java.util.regex.Pattern;

/** Addresses of the form host:port. */
public final class EndpointAddress {
    private static final Pattern HOST = Pattern.compile("[0-9.]+|\\[[0-9a-fA-F:.]+]|localhost");
    private static final int PORTS = 65_536;

    private EndpointAddress() {}

    /** The address that a text names, without a look-up of names; an IllegalArgumentException where it is none. */
    public static InetSocketAddress parse(String text) {
        int colon = text.lastIndexOf(':');
        String host = text.substring(0, Math.max(0, colon));
        int port = port(text.substring(colon + 1));
        if (HOST.matcher(host).matches() && port >= 0 && port < PORTS) {
            return new InetSocketAddress(host, port);
        }
        throw new IllegalArgumentException("no address of the form host:port: " + text);
    }

    /** The port, or -1 where the text is no number. */
    private static int port(String text) {
        try {
            return Integer.parseInt(text);
        } catch (NumberFormatException e) {
            return -1;
        }
    }
}
