package spartrail.peers.transport;

/**
 * Reasons for dropping a datagram instead of accepting or sending it. The labels appear in replies to operators and
 * never change.
 */
enum DropCounter {
    READ_FAILED("datagrams not read"),
    SENDER_NOT_ALLOWED("datagrams from addresses not allowed"),
    UNKNOWN_CHANNEL("frames of unknown lanes"),
    MESSAGE_TOO_LARGE("messages too large to send"),
    RECIPIENT_NOT_ALLOWED("addresses not allowed");

    private final String label;

    DropCounter(String label) {
        this.label = label;
    }

    String label() {
        return label;
    }
}
