package spartrail.peers;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import spartrail.peers.PeerMessage.Kind;

/**
 * Addresses that this node probes without knowing which node listens there. Seeds are probed forever, with a backoff
 * while they do not answer; addresses learned from messages are probed {@value #MAX_ATTEMPTS} times. The list is
 * bounded, because messages with forged names would otherwise fill the memory and displace the seeds. Each interval
 * iterates over all contacts, at most {@value #MAX_CONTACTS}, and for each seed over all peers.
 */
final class ContactList {
    /** Maximum number of contacts that are probed in one probe interval. */
    static final int CONTACTS_PER_INTERVAL = 4;

    private static final int MAX_CONTACTS = 64;
    private static final int MAX_ATTEMPTS = 4;
    private static final int MAX_BACKOFF_INTERVALS = 16;
    private static final int MAX_BACKOFF_DOUBLINGS = 4;

    /** An address to probe, with the state of its backoff. */
    private static final class Contact {
        private final String address;
        private final boolean seed;
        private long nonce;
        private int attempts;
        private double nextAttemptMs;

        private Contact(String address, boolean seed) {
            this.address = address;
            this.seed = seed;
        }
    }

    private final MembershipContext context;
    private final LocalPeer local;
    private final PeerTable table;
    private final Outbox outbox;
    private final Map<String, Contact> contacts = new LinkedHashMap<>();

    ContactList(MembershipContext context, LocalPeer local, PeerTable table, Outbox outbox) {
        this.context = context;
        this.local = local;
        this.table = table;
        this.outbox = outbox;
    }

    /** Replaces the seeds; this node's own address is skipped. */
    void setSeeds(List<String> addresses) {
        contacts.values().removeIf(contact -> contact.seed && !addresses.contains(contact.address));
        for (String address : addresses) {
            Contact known = contacts.get(address);
            boolean isNew = known == null || !known.seed;
            if (!address.equals(local.address()) && isNew && contacts.size() < MAX_CONTACTS) {
                contacts.put(address, new Contact(address, true));
            }
        }
    }

    /** Probes the contacts that are due; returns false if some of them have to wait for the next interval. */
    boolean probeDueContacts() {
        int remaining = CONTACTS_PER_INTERVAL;
        for (Contact contact : List.copyOf(contacts.values())) {
            if (remaining == 0) {
                return false;
            }
            if (contact.nextAttemptMs > context.nowMs() || contact.seed && table.hasPresentPeerAt(contact.address)) {
                continue;
            }
            if (!contact.seed && contact.attempts >= MAX_ATTEMPTS) {
                contacts.remove(contact.address);
                continue;
            }
            remaining--;
            probe(contact);
        }
        return true;
    }

    private void probe(Contact contact) {
        contact.attempts++;
        contact.nonce = context.random().nextLong();
        int doublings = Math.min(MAX_BACKOFF_DOUBLINGS, contact.attempts - 1);
        double backoffMs = context.timings().probeIntervalMs() * Math.min(MAX_BACKOFF_INTERVALS, 1 << doublings);
        contact.nextAttemptMs =
                context.nowMs() + backoffMs * (0.5 + context.random().nextDouble());
        outbox.send(contact.address, Kind.PING, "", contact.nonce, null, List.of());
    }

    /** Adds an address to probe; returns false if it is already listed or the list is full. */
    boolean add(String address) {
        if (contacts.containsKey(address)) {
            return false;
        }
        if (contacts.size() >= MAX_CONTACTS) {
            context.increment(MembershipCounter.CONTACTS_REFUSED);
            return false;
        }
        contacts.put(address, new Contact(address, false));
        return true;
    }

    void probe(String address) {
        probe(contacts.get(address));
    }

    /** Handles an acknowledgement; returns whether its nonce belongs to the last probe of a contact. */
    boolean acceptAck(long nonce) {
        for (Contact contact : contacts.values()) {
            if (contact.attempts > 0 && contact.nonce == nonce) {
                contact.attempts = 1;
                if (!contact.seed) {
                    contacts.remove(contact.address);
                }
                return true;
            }
        }
        return false;
    }

    /** Number of contacts whose address belongs to no known peer. */
    int unknownCount() {
        return (int) contacts.values().stream()
                .filter(contact -> !table.hasPeerAt(contact.address))
                .count();
    }
}
