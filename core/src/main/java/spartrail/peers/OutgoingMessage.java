package spartrail.peers;

/** A message and the address that it goes to. */
public record OutgoingMessage(String address, PeerMessage message) {}
