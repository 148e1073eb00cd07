package spartrail.peers.transport;

import java.net.InetSocketAddress;

/** Converts node addresses from and to text, such as 10.0.3.7:7400. Host names are not supported. */
public final class SocketAddresses {
    private static final int MAX_PORT = 65_535;

    private SocketAddresses() {}

    /** Whether the text is an IPv4 address and a port. */
    public static boolean isValid(String text) {
        return text.matches("[0-9]{1,3}(\\.[0-9]{1,3}){3}:[0-9]{1,5}")
                && Integer.parseInt(text.substring(text.indexOf(':') + 1)) <= MAX_PORT;
    }

    static InetSocketAddress parse(String address) {
        int colon = address.lastIndexOf(':');
        return new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
    }

    static String format(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }
}
