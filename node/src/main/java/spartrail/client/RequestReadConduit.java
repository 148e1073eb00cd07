package spartrail.client;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.ClosedChannelException;
import java.nio.channels.FileChannel;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.conduits.AbstractStreamSourceConduit;
import org.xnio.conduits.ConduitReadableByteChannel;
import org.xnio.conduits.Conduits;
import org.xnio.conduits.StreamSourceConduit;
import spartrail.client.ClientCounters.CloseReason;
import spartrail.intake.DepartedClient;
import spartrail.model.NodeClock;

/**
 * Controls and observes what is read on a client's connection. Undertow reads requests in the connection's turns only.
 * It reports a request only once its head is complete, and a body only once it is complete, so this class observes the
 * first byte of a request, the memory of an incomplete one and the times at which its bytes arrived.
 */
final class RequestReadConduit extends AbstractStreamSourceConduit<StreamSourceConduit> {
    private final ClientConnections connections;
    private final RequestScheduler scheduler;
    private final ClientConnection client;
    private final NodeClock clock;
    private final ReadAhead readAhead;

    RequestReadConduit(
            ClientConnections connections, RequestScheduler scheduler, ClientConnection client, NodeClock clock) {
        super(client.source);
        this.connections = connections;
        this.scheduler = scheduler;
        this.client = client;
        this.clock = clock;
        this.readAhead = new ReadAhead(client.source);
    }

    /** Reads a request, or what is discarded at a close; 0 if the turn of this connection is yet to come. */
    @Override
    public int read(ByteBuffer into) throws IOException {
        if (!scheduler.mayRead(client.turn, next::wakeupReads)) {
            next.suspendReads();
            return 0;
        }
        boolean beginsRequest = client.state == ClientConnection.State.NEW || client.isIdle();
        int start = into.position();
        int limit = into.limit();
        into.limit(start + Math.min(into.remaining(), connections.maxReadBytes(client)));
        int count = readNow(into);
        into.limit(limit);
        scheduler.countRead(client.turn, Math.max(0, count));
        if (count > 0 && beginsRequest && isDeserted(into.duplicate().flip().position(start))) {
            connections.closeNow(client, CloseReason.LEFT_BY_CLIENT);
            into.position(start);
            return -1;
        }
        return count;
    }

    /**
     * Whether the client has closed its connection behind requests of which these are the first bytes, and which need no
     * answer then. Reads what has arrived.
     */
    private boolean isDeserted(ByteBuffer first) throws IOException {
        if (!DepartedClient.mayDiscard(first)) {
            return false;
        }
        boolean hasEnded = readAhead.readToEnd(connections.readAheadBuffer(client));
        if (!hasEnded && !readAhead.isEmpty()) {
            client.unreadSinceMs = clock.nowMs();
            connections.countReadAhead(client, readAhead.size());
        }
        return hasEnded;
    }

    @Override
    public long read(ByteBuffer[] into, int offset, int length) throws IOException {
        for (int i = offset; i < offset + length; i++) {
            if (into[i].hasRemaining()) {
                return read(into[i]);
            }
        }
        return 0;
    }

    /** Undertow discards the rest of a request by this method. */
    @Override
    public long transferTo(long count, ByteBuffer throughBuffer, StreamSinkChannel target) throws IOException {
        return Conduits.transfer(this, count, throughBuffer, target);
    }

    @Override
    public long transferTo(long position, long count, FileChannel target) throws IOException {
        return target.transferFrom(new ConduitReadableByteChannel(this), position, count);
    }

    /** Reads are resumed by the connection's turn if that is awaited. */
    @Override
    public void resumeReads() {
        if (!client.turn.isAwaited()) {
            super.resumeReads();
        }
    }

    /** As {@link #resumeReads}. */
    @Override
    public void wakeupReads() {
        if (!client.turn.isAwaited()) {
            super.wakeupReads();
        }
    }

    /** Reads at once, what is received behind a request. */
    int readNow(ByteBuffer into) throws IOException {
        if (client.isReceiving()) {
            countIncomplete();
        }
        int start = into.position();
        boolean isReadAhead = !readAhead.isEmpty();
        int count = isReadAhead ? takeReadAhead(into) : super.read(into);
        if (count > 0 && client.state != ClientConnection.State.CLOSING) {
            onRead(into, start);
        }
        if (into.hasRemaining() && !isReadAhead) {
            client.unreadSinceMs = Double.NaN;
        }
        return count;
    }

    private int takeReadAhead(ByteBuffer into) {
        int count = readAhead.read(into);
        connections.countReadAhead(client, readAhead.size());
        return count;
    }

    /** Counts the incomplete request; that may close this connection, as there may be no memory for it. */
    private void countIncomplete() throws ClosedChannelException {
        connections.countIncomplete(client);
        if (!client.channel.isOpen()) {
            throw new ClosedChannelException();
        }
    }

    private void onRead(ByteBuffer buffer, int start) {
        if (client.state == ClientConnection.State.NEW || client.isIdle()) {
            connections.onRequestStart(client);
        }
        if (client.isReceiving()) {
            client.framing.add(buffer.duplicate().flip().position(start));
        }
        int count = buffer.position() - start;
        client.arrivals.add(count, client.hasUnreadBytes() ? client.unreadSinceMs : clock.nowMs());
        if (client.state == ClientConnection.State.HEAD) {
            client.requestBytes.addToHead(count, countLines(buffer, start));
        } else if (client.isSendingBody()) {
            client.requestBytes.addToBody(count);
        }
    }

    private static int countLines(ByteBuffer buffer, int start) {
        int lines = 0;
        for (int i = start; i < buffer.position(); i++) {
            lines += buffer.get(i) == '\n' ? 1 : 0;
        }
        return lines;
    }
}
