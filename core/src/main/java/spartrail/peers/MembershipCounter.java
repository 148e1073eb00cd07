package spartrail.peers;

/** Counters of rejected, dropped and suspicious events. The labels appear in replies to operators and never change. */
enum MembershipCounter {
    PROCESS_PAUSES("stood still"),
    CONTACTS_REFUSED("contacts refused"),
    MALFORMED_DESCRIPTORS("unusable cards"),
    STALE_MESSAGES("stale messages"),
    FORMER_INCARNATION_MESSAGES("messages of former lives"),
    UNKNOWN_SENDER_MESSAGES("messages of unknown senders"),
    ANSWERS_REJECTED("answers held back"),
    UNEXPECTED_ACKS("answers to nothing asked"),
    PING_REQUESTS_REJECTED("errands refused"),
    PEERS_REJECTED("peers refused"),
    REPORTED_AS_LEFT("told that it has left"),
    REFUTATIONS("refuted"),
    NAME_CONFLICTS_LOST("stepped back"),
    EVENTS_DROPPED("events left out");

    private final String label;

    MembershipCounter(String label) {
        this.label = label;
    }

    String label() {
        return label;
    }
}
