package spartrail.peers;

/** A message and its recipient's address. */
public record OutgoingMessage(String address, PeerMessage message) {}
