package spartrail.shard;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.xnio.IoFuture;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.XnioExecutor;
import org.xnio.conduits.ConduitStreamSourceChannel;
import spartrail.model.Attempt.Outcome;
import spartrail.model.IdMultiset;
import spartrail.model.MalformedMessageException;

/**
 * One connection to a server, with its queued batches and the parts that await responses. Runs on the I/O thread only.
 * By event and state:
 *
 * <pre>
 *                   CONNECTING              IDLE                 IN USE                      DRAINING
 * batch queued      waits                   read once, written   written if there is room    (never chosen)
 * connected         to IN USE               -                    -                           closed if no part pending
 * response          -                       malformed, closed    part ends; to IDLE after    closed after the last
 *                                                                the last part
 * closed by the     parts never ran,        closed               completely written parts may have run, others
 * server, reset     closed                                       never ran; closed
 * part withdrawn    not sent                -                    not sent, or cancelled if   the same, then closed
 *                                                                its frame has begun
 * server drains or  not sent, DRAINING      closed               parts whose frames have
 * was restarted                                                  not begun are not sent,
 *                                                                DRAINING
 * timeout           connect timeout:        idle time is over:   a frame or a response       the same
 *                   never ran, closed       closed               that stays incomplete:
 *                                                                closed
 * </pre>
 *
 * <p>CONNECTING means that there is no channel yet, IDLE that no part is in flight; both may be DRAINING as well.
 * {@link FrameWriter} has the conditions under which a frame may begin.
 */
final class ShardConnection {
    /**
     * A server may never answer parts that were cancelled. A connection with so many of them is drained, so that their
     * ids do not accumulate.
     */
    private static final int MAX_ABANDONED_PARTS = 1000;
    /** A server that sends without a pause must not keep the I/O thread from all other sockets. */
    private static final int MAX_READS_PER_POLL = 16;

    private final ShardPool pool;
    private final InetSocketAddress address;
    private final FrameWriter writer;
    private final ShardFrameCodec.Decoder decoder = new ShardFrameCodec.Decoder();
    private final Map<String, PartRequest> awaitingResponse = new HashMap<>();
    /**
     * Ids of the parts for which the node no longer waits, but which the server may still answer. Ids only, as a part
     * would keep the text of its query in memory.
     */
    private final IdMultiset abandoned = new IdMultiset();
    /** Ids of the parts that were answered last, at most as many as the limit of parts in flight. */
    private final Set<String> recentlyAnswered = new LinkedHashSet<>();

    private final FrameBoundaryCheck boundaryCheck = new FrameBoundaryCheck(new KnownParts());
    /** A complete response of which it is not known yet whether it ends where its frame does; null if there is none. */
    private ShardFrameCodec.PartResponse unconfirmed;

    private final IoFuture<StreamConnection> connecting;
    private final XnioExecutor.Key connectTimeout;
    /** Null until the connection is established. */
    private StreamConnection channel;
    /** Closes the connection if a frame is not completed or confirmed in time; null if there is none. */
    private XnioExecutor.Key partialFrameTimeout;

    private double lastUsedMs;
    private double lastReadMs;
    /** The connection accepts no further batches and closes once no part is in flight on it. */
    private boolean draining;

    private boolean closed;

    ShardConnection(ShardPool pool, InetSocketAddress address) {
        this.pool = pool;
        this.address = address;
        this.writer = new FrameWriter(pool, this);
        this.lastUsedMs = pool.clock.nowMs();
        // A machine that is gone does not answer, and without a timeout the parts queued here would wait for it.
        connectTimeout = pool.io.executeAfter(
                () -> {
                    if (channel == null) {
                        close("connect timeout");
                    }
                },
                Math.round(pool.settings.connectTimeoutMs()),
                TimeUnit.MILLISECONDS);
        connecting = pool.io.openStreamConnection(address, null, OptionMap.create(Options.TCP_NODELAY, true));
        connecting.addNotifier((future, attachment) -> pool.io.execute(() -> onConnected(future)), null);
    }

    private void onConnected(IoFuture<? extends StreamConnection> future) {
        connectTimeout.remove();
        if (future.getStatus() != IoFuture.Status.DONE) {
            close("connect failed");
            return;
        }
        try {
            StreamConnection connected = future.get();
            if (closed) {
                IoUtils.safeClose(connected);
                return;
            }
            channel = connected;
            channel.getSourceChannel().setReadListener(this::onReadable);
            channel.getSinkChannel().setWriteListener(sink -> write());
            channel.getSourceChannel().resumeReads();
            write();
        } catch (IOException e) {
            close("connect failed");
        }
    }

    /**
     * Whether the connection is still open. An idle connection is read first: the server's close may be unread in the
     * socket, and a frame written after it would be reset, with parts that may have run.
     */
    boolean isAlive() {
        if (channel != null && !closed && partsInFlight() == 0) {
            onReadable(channel.getSourceChannel());
        }
        return !closed;
    }

    /** The number of parts in flight on this connection, queued ones included. */
    int partsInFlight() {
        return awaitingResponse.size() + writer.partCount();
    }

    /** Whether no part is in flight and the connection was last used before this time. */
    boolean isIdleSince(double ms) {
        return partsInFlight() == 0 && writer.isIdle() && lastUsedMs < ms;
    }

    /** Queues a batch, and writes it as soon as its frame may begin. */
    void enqueue(PartBatch batch) {
        lastUsedMs = pool.clock.nowMs();
        for (PartRequest part : batch.parts) {
            part.connection = this;
            part.queuedMs = lastUsedMs;
        }
        writer.enqueue(batch);
        write();
    }

    /** Whether it can accept so many more parts within the limit. */
    boolean hasCapacityFor(int parts, int limit) {
        return !draining && partsInFlight() + parts <= limit;
    }

    /** Stops accepting batches, and closes the connection once no part is in flight. */
    void drain() {
        draining = true;
        closeIfDrained();
    }

    /** Closes a drained connection in a later task, so that the part that is being withdrawn ends first. */
    private void closeLaterIfDrained() {
        if (draining) {
            pool.io.execute(this::closeIfDrained);
        }
    }

    private void closeIfDrained() {
        if (draining && partsInFlight() == 0) {
            close(null);
        }
    }

    /** Stops waiting for a part; returns true if it was not sent, as its frame has not begun. */
    boolean withdraw(PartRequest part, boolean timedOut) {
        // On a dead connection no error appears, and all later parts would time out too. So a connection on which
        // nothing was received between the queueing of a part and its timeout is drained.
        draining |= timedOut && channel != null && lastReadMs < part.queuedMs;
        if (part.stage == PartRequest.Stage.QUEUED) {
            writer.remove(part);
            closeLaterIfDrained();
            return true;
        }
        awaitingResponse.remove(part.id, part);
        abandoned.add(part.id);
        draining |= abandoned.distinctIds() > MAX_ABANDONED_PARTS;
        if (pool.settings.cancelling() && !closed) {
            writer.enqueueCancellation(part.id);
            write();
        }
        closeLaterIfDrained();
        return false;
    }

    /** Ends the parts whose frames have not begun as not sent. */
    void dropQueued() {
        writer.removeQueued().forEach(part -> pool.endPart(part, Outcome.NOT_SENT, null));
    }

    /** Writes as much as possible. */
    void write() {
        if (closed || channel == null) {
            return;
        }
        try {
            if (!writer.write(channel.getSinkChannel())) {
                close("a frame was not completely written before its deadline");
            }
        } catch (IOException e) {
            close("write failed");
        }
    }

    /** Called when a frame was completely written: that of this batch, or a cancellation if it is null. */
    void onFrameWritten(PartBatch batch) {
        lastUsedMs = pool.clock.nowMs();
        if (batch == null) {
            return;
        }
        for (PartRequest part : batch.parts) {
            if (part.stage == PartRequest.Stage.WRITING) {
                part.stage = PartRequest.Stage.WRITTEN;
                awaitingResponse.put(part.id, part);
            }
        }
    }

    private void onReadable(ConduitStreamSourceChannel source) {
        try {
            boolean completed = false;
            for (int reads = 0; !closed && reads < MAX_READS_PER_POLL; reads++) {
                ByteBuffer buffer = pool.readBuffer.clear();
                int count = source.read(buffer);
                if (count < 0) {
                    close("closed by the server");
                } else if (count == 0) {
                    break;
                } else {
                    decoder.append(buffer.flip());
                    completed |= readResponses();
                    closeIfDrained();
                }
            }
            checkPartialFrame(source, completed);
        } catch (MalformedMessageException e) {
            closeMalformed(e.getMessage());
        } catch (IOException e) {
            close("read failed");
        } catch (RuntimeException e) {
            pool.log(System.Logger.Level.ERROR, "server " + address + ": connection closed after exception " + e);
            close(null);
        }
    }

    /** Processes the complete responses; returns whether there were any. */
    private boolean readResponses() throws MalformedMessageException {
        boolean completed = false;
        ShardFrameCodec.PartResponse response = nextResponse();
        while (response != null) {
            onResponse(response);
            completed = true;
            response = nextResponse();
        }
        return completed;
    }

    /** Returns the next complete response that ends where its frame does, or null if that is still unknown. */
    private ShardFrameCodec.PartResponse nextResponse() throws MalformedMessageException {
        ShardFrameCodec.PartResponse next = unconfirmed == null ? decoder.nextResponse() : unconfirmed;
        unconfirmed = null;
        if (next == null) {
            return null;
        }
        PartRequest part = awaitingResponse.get(next.id());
        byte[] text = part == null ? new byte[0] : part.text;
        switch (boundaryCheck.check(next.value(), text, decoder.bytesBehind(), mayAnswerOthers(next.id()))) {
            case CONSISTENT -> {
                return next;
            }
            case UNDECIDED -> unconfirmed = next;
            default -> throw new MalformedMessageException("the length of a frame reaches into the next frame");
        }
        return null;
    }

    /** Whether the server may answer another part than this one. */
    private boolean mayAnswerOthers(String id) {
        int others = awaitingResponse.size() - (awaitingResponse.containsKey(id) ? 1 : 0);
        return others > 0 || abandoned.distinctIds() > (abandoned.contains(id) ? 1 : 0);
    }

    /** All parts that the server may answer on this connection, or has answered lately. */
    private final class KnownParts implements FrameBoundaryCheck.KnownParts {
        @Override
        public boolean contains(String id) {
            return awaitingResponse.containsKey(id) || abandoned.contains(id) || recentlyAnswered.contains(id);
        }

        @Override
        public boolean containsPrefix(String prefix) {
            return Stream.of(awaitingResponse.keySet(), abandoned.distinct(), recentlyAnswered)
                    .flatMap(Set::stream)
                    .anyMatch(id -> id.startsWith(prefix));
        }
    }

    /**
     * Requires that a partial frame is completed and an unconfirmed one confirmed in time, and that no bytes arrive while
     * no part is in flight.
     * Otherwise a frame whose length is too large would absorb all responses after it, and surplus bytes after a good
     * response would be taken for the head of the next one.
     */
    private void checkPartialFrame(ConduitStreamSourceChannel source, boolean completed)
            throws MalformedMessageException {
        boolean partial = !closed && (decoder.hasPartialFrame() || unconfirmed != null);
        if (partial && partsInFlight() == 0) {
            throw new MalformedMessageException("bytes were received while no response was awaited");
        }
        if (partialFrameTimeout != null && (completed || !partial)) {
            partialFrameTimeout.remove();
            partialFrameTimeout = null;
        }
        if (partial && partialFrameTimeout == null) {
            partialFrameTimeout = pool.io.executeAfter(
                    () -> onPartialFrameTimeout(source),
                    Math.round(pool.settings.connectTimeoutMs()),
                    TimeUnit.MILLISECONDS);
        }
    }

    /** Reads the socket before it closes the connection: after a pause of the process, the rest may be unread there. */
    private void onPartialFrameTimeout(ConduitStreamSourceChannel source) {
        XnioExecutor.Key timeout = partialFrameTimeout;
        onReadable(source);
        if (!closed && partialFrameTimeout == timeout) {
            closeMalformed("a frame was not completed or confirmed before the connect timeout");
        }
    }

    private void onResponse(ShardFrameCodec.PartResponse response) throws MalformedMessageException {
        lastUsedMs = pool.clock.nowMs();
        lastReadMs = lastUsedMs;
        PartRequest part = awaitingResponse.remove(response.id());
        if (part == null) {
            onUnawaitedResponse(response.id());
            return;
        }
        rememberAnswered(part.id);
        switch (response.status()) {
            case OK -> pool.endPart(part, Outcome.ANSWERED, response.value());
            case ERROR -> pool.endPart(part, Outcome.ERROR, null);
            default -> pool.endPart(part, Outcome.FULL, null);
        }
    }

    /** Late and duplicate responses are ignored. Any other unknown id is a corrupted one of a part in flight. */
    private void onUnawaitedResponse(String partId) throws MalformedMessageException {
        if (abandoned.remove(partId)) {
            rememberAnswered(partId);
            pool.ruleOutLateResponse(partId);
        } else if (!recentlyAnswered.contains(partId)) {
            throw new MalformedMessageException("a response has the id of no part in flight");
        }
    }

    private void rememberAnswered(String id) {
        recentlyAnswered.remove(id);
        recentlyAnswered.add(id);
        if (recentlyAnswered.size() > pool.settings.partsPerConnection()) {
            recentlyAnswered.remove(recentlyAnswered.iterator().next());
        }
    }

    /**
     * Closes the connection after a malformed frame. The start of the next frame is unknown, so no part in flight can
     * be answered any more. All of them may have run; ending them now instead of at their timeouts leaves time for a
     * retry on another server.
     */
    private void closeMalformed(String reason) {
        pool.logMalformedFrame("server " + address + " sent a malformed frame, connection closed: " + reason);
        close(null, Outcome.NOT_SENT, Outcome.MALFORMED);
    }

    /** Closes the connection; logs the reason if there are parts in flight. A null reason is not logged. */
    void close(String reason) {
        close(reason, Outcome.CONNECT_FAILED, Outcome.RESET);
    }

    /**
     * Closes the connection and ends its parts. Parts of completely written frames may have run. The others never ran,
     * as a server does not act on an incomplete frame.
     */
    private void close(String reason, Outcome outcomeIfUnsent, Outcome outcomeIfSent) {
        if (closed) {
            return;
        }
        closed = true;
        connectTimeout.remove();
        if (partialFrameTimeout != null) {
            partialFrameTimeout.remove();
        }
        if (channel == null) {
            connecting.cancel();
        } else {
            IoUtils.safeClose(channel);
        }
        pool.remove(address, this);
        List<PartRequest> unsent = writer.removeUnsent();
        List<PartRequest> sent = new ArrayList<>(awaitingResponse.values());
        awaitingResponse.clear();
        if (reason != null && unsent.size() + sent.size() > 0) {
            pool.log(
                    System.Logger.Level.DEBUG,
                    "server " + address + ": connection closed, " + reason + "; " + unsent.size() + " parts never ran, "
                            + sent.size() + " may have run");
        }
        unsent.forEach(part -> pool.endPart(part, outcomeIfUnsent, null));
        sent.forEach(part -> pool.endPart(part, outcomeIfSent, null));
        abandoned.removeAll().forEach(pool::ruleOutLateResponse);
    }
}
