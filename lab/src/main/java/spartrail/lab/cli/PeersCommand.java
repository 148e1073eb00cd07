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

/** Asks a running node what it knows of the others, page by page. */
final class PeersCommand {
    private static final int TRIES = 5;
    private static final int WAIT_MS = 400;
    private static final int LONGEST = 65_536;
    private static final int MOST_PAGES = 2000;

    private final InetSocketAddress node;
    private final String fleet;

    PeersCommand(String at, String fleet) {
        if (!SocketAddresses.isValid(at)) {
            throw new InvalidInputException(
                    "--at: found '" + at + "', the node's address for talk, such as 127.0.0.1:7400, is expected");
        }
        this.node = new InetSocketAddress(
                at.substring(0, at.indexOf(':')), Integer.parseInt(at.substring(at.indexOf(':') + 1)));
        this.fleet = fleet;
    }

    /** The whole view: its head, and all peers under {@code peers}. */
    ObjectNode view() throws IOException {
        try (DatagramSocket socket = new DatagramSocket(
                0, node.getAddress().isLoopbackAddress() ? InetAddress.getLoopbackAddress() : null)) {
            socket.setSoTimeout(WAIT_MS);
            ObjectNode view = (ObjectNode) page(socket, 0);
            ArrayNode peers = view.putArray("peers");
            int next = view.get("next").asInt();
            for (int pages = 0; next >= 0 && pages < MOST_PAGES; pages++) {
                JsonNode page = page(socket, next);
                page.get("peers").forEach(peers::add);
                next = page.get("next").asInt();
            }
            view.remove("next");
            return view;
        }
    }

    private JsonNode page(DatagramSocket socket, int from) throws IOException {
        byte[] question = DatagramFrame.encodeText(fleet, DatagramFrame.ADMIN_REQUEST_CHANNEL, "show " + from);
        for (int i = 0; i < TRIES; i++) {
            socket.send(new DatagramPacket(question, question.length, node));
            DatagramPacket reply = new DatagramPacket(new byte[LONGEST], LONGEST);
            try {
                socket.receive(reply);
                DatagramFrame frame = DatagramFrame.decode(reply.getData(), reply.getLength(), fleet, LONGEST);
                JsonNode page = Document.JSON.readTree(String.valueOf(frame.payload()));
                // A late reply to an earlier try is another page.
                boolean asked = from == 0 ? page.has("name") : !page.has("name");
                if (frame.channel() == DatagramFrame.ADMIN_RESPONSE_CHANNEL && asked) {
                    return page;
                }
            } catch (SocketTimeoutException | MalformedDatagramException e) {
                // Asked once more.
            }
        }
        throw new IOException(
                "no answer from " + node + " as fleet '" + fleet + "': is it started with --peers, is the fleet's name"
                        + " right, and is this address among its operators?");
    }
}
