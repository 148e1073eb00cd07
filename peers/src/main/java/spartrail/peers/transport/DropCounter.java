package spartrail.peers.transport;

/** Why datagrams were neither taken nor sent. The labels stand in replies to operators and never change. */
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
