package spartrail.peers;

/** A message and the address that it goes to. */
public record Outgoing(String address, Message message) {}
