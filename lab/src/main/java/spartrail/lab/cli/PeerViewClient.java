package spartrail.lab.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.SocketTimeoutException;
import spartrail.lab.file.Document;
import spartrail.lab.file.InvalidInputException;
import spartrail.peers.transport.DatagramFrame;
import spartrail.peers.transport.MalformedDatagramException;
import spartrail.peers.transport.SocketAddresses;

/** Fetches from a running node its view of the other nodes, page by page. */
final class PeerViewClient {
    private static final int MAX_ATTEMPTS = 5;
    private static final int RESPONSE_TIMEOUT_MS = 400;
    private static final int MAX_DATAGRAM_BYTES = 65_536;
    private static final int MAX_PAGES = 2000;

    private final InetSocketAddress node;
    private final String fleet;

    PeerViewClient(String at, String fleet) {
        if (!SocketAddresses.isValid(at)) {
            throw new InvalidInputException(
                    "--at: found '" + at + "', the gossip address of a node, such as 127.0.0.1:7400, is expected");
        }
        this.node = new InetSocketAddress(
                at.substring(0, at.indexOf(':')), Integer.parseInt(at.substring(at.indexOf(':') + 1)));
        this.fleet = fleet;
    }

    /** Fetches the complete view: the fields of the first page, with the peers of all pages in {@code peers}. */
    ObjectNode fetchView() throws IOException {
        try (DatagramSocket socket = new DatagramSocket(
                0, node.getAddress().isLoopbackAddress() ? InetAddress.getLoopbackAddress() : null)) {
            socket.setSoTimeout(RESPONSE_TIMEOUT_MS);
            ObjectNode view = (ObjectNode) fetchPage(socket, 0);
            ArrayNode peers = view.putArray("peers");
            int next = view.get("next").asInt();
            for (int pages = 0; next >= 0 && pages < MAX_PAGES; pages++) {
                JsonNode page = fetchPage(socket, next);
                page.get("peers").forEach(peers::add);
                next = page.get("next").asInt();
            }
            view.remove("next");
            return view;
        }
    }

    private JsonNode fetchPage(DatagramSocket socket, int from) throws IOException {
        byte[] request = DatagramFrame.encodeText(fleet, DatagramFrame.ADMIN_REQUEST_CHANNEL, "show " + from);
        for (int i = 0; i < MAX_ATTEMPTS; i++) {
            socket.send(new DatagramPacket(request, request.length, node));
            DatagramPacket response = new DatagramPacket(new byte[MAX_DATAGRAM_BYTES], MAX_DATAGRAM_BYTES);
            try {
                socket.receive(response);
                DatagramFrame frame =
                        DatagramFrame.decode(response.getData(), response.getLength(), fleet, MAX_DATAGRAM_BYTES);
                JsonNode page = Document.JSON.readTree(String.valueOf(frame.payload()));
                // A late response to an earlier attempt may carry a different page; only the first page has "name".
                boolean isRequestedPage = from == 0 ? page.has("name") : !page.has("name");
                if (frame.channel() == DatagramFrame.ADMIN_RESPONSE_CHANNEL && isRequestedPage) {
                    return page;
                }
            } catch (SocketTimeoutException | MalformedDatagramException e) {
                // The next attempt sends the request again.
            }
        }
        throw new IOException("no response from " + node + " as fleet '" + fleet + "' after " + MAX_ATTEMPTS
                + " attempts: check that the node was started with --peers, that the fleet's name is right, and that"
                + " the node lists this address among its operators");
    }
}
