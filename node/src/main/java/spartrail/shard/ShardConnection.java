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
import org.xnio.IoFuture;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.XnioExecutor;
import org.xnio.conduits.ConduitStreamSourceChannel;
import spartrail.model.Attempt.Outcome;
import spartrail.model.MalformedMessageException;

/**
 * One connection to a server: batches that wait to be written, and parts that wait for responses. All of it runs on the I/O thread. By
 * event and state:
 *
 * <pre>
 *                      CONNECTING                 IDLE                    IN USE                         DRAINING
 * batch queued         waits                      read once, written      written if there is room       (never chosen)
 * connected            on to IN USE               -                       -                              closed if nothing is in flight
 * response             -                          malformed, closed       part ended; IDLE after the     closed after the last
 *                                                                         last part ended
 * end, reset           never ran, closed          closed                  written: may have run; not written or in part: never ran; closed
 * part withdrawn       unsent                     -                       unsent, or cancelled if its    the same, then closed
 *                                                                         frame began
 * server drains, is    unsent, DRAINING           closed                  what has not begun is unsent,
 * another process                                                         DRAINING
 * idle, or too long    no connection in time:     closed                  a frame or a response that     the same
 *                      never ran, closed                                  stops half-way closes it
 * </pre>
 *
 * <p>CONNECTING is it without a channel, IDLE with no part in flight; both may be DRAINING as well. When a frame may begin stands at
 * {@link FrameWriter}.
 */
final class ShardConnection {
    private final ShardPool pool;
    private final InetSocketAddress address;
    private final FrameWriter writer;
    private final ShardFrameCodec.Decoder decoder = new ShardFrameCodec.Decoder();
    private final Map<String, PartRequest> awaitingResponse = new HashMap<>();
    /** Ids of the parts that ended last, at most as many as may be in flight. */
    private final Set<String> recentlyEnded = new LinkedHashSet<>();

    private final IoFuture<StreamConnection> connecting;
    private final XnioExecutor.Key connectTimeout;
    /** Null until it is connected. */
    private StreamConnection channel;
    /** By then a frame that has begun to come should long be there; null where none has begun. */
    private XnioExecutor.Key partialFrameTimeout;

    private double lastUsedMs;
    private double lastReadMs;
    /** It gets no further batches, and closes once nothing is in flight on it. */
    private boolean draining;

    private boolean closed;

    ShardConnection(ShardPool pool, InetSocketAddress address) {
        this.pool = pool;
        this.address = address;
        this.writer = new FrameWriter(pool, this);
        this.lastUsedMs = pool.clock.nowMs();
        // A machine that vanished says nothing, and what waits for its connection would wait on.
        connectTimeout = pool.io.executeAfter(
                () -> {
                    if (channel == null) {
                        close("no connection in time");
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
            close("cannot connect");
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
            close("cannot connect");
        }
    }

    /**
     * Whether it still leads to the server, as far as the system has heard. The server's own close may wait in the socket, and a frame
     * written behind it would be reset and may have run.
     */
    boolean isAlive() {
        if (channel != null && !closed && load() == 0) {
            onReadable(channel.getSourceChannel());
        }
        return !closed;
    }

    /** Parts in flight, of the number that it may carry. */
    int load() {
        return awaitingResponse.size() + writer.load();
    }

    /** Nothing is in flight, and it was last used before this time. */
    boolean isIdleSince(double ms) {
        return load() == 0 && writer.isIdle() && lastUsedMs < ms;
    }

    /** Writes a batch as soon as it may begin. */
    void enqueue(PartBatch batch) {
        lastUsedMs = pool.clock.nowMs();
        for (PartRequest part : batch.parts) {
            part.connection = this;
            part.queuedMs = lastUsedMs;
        }
        writer.enqueue(batch);
        write();
    }

    /** Whether it takes so many more parts without passing the limit. */
    boolean hasCapacityFor(int parts, int limit) {
        return !draining && load() + parts <= limit;
    }

    /** Takes no further batches, and closes once nothing is in flight. */
    void drain() {
        draining = true;
        closeIfDrained();
    }

    /** Not at once: the part that is being withdrawn ends first. */
    private void closeLaterIfDrained() {
        if (draining) {
            pool.io.execute(this::closeIfDrained);
        }
    }

    private void closeIfDrained() {
        if (draining && load() == 0) {
            close(null);
        }
    }

    /** The part is not waited for any more; a frame that has not begun does not leave. True where the part never left. */
    boolean withdraw(PartRequest part, boolean timedOut) {
        // A connection that no longer leads anywhere says nothing, and would swallow all that comes after. One that
        // was silent from when a part was queued to its timeout is drained.
        draining |= timedOut && channel != null && lastReadMs < part.queuedMs;
        if (part.stage == PartRequest.Stage.QUEUED) {
            writer.remove(part);
            closeLaterIfDrained();
            return true;
        }
        awaitingResponse.remove(part.id, part);
        rememberEnded(part.id);
        if (pool.settings.cancelling() && !closed) {
            writer.enqueueCancellation(part.id);
            write();
        }
        closeLaterIfDrained();
        return false;
    }

    /** Parts that have not begun to leave end as not sent. */
    void dropQueued() {
        writer.removeQueued().forEach(part -> pool.endPart(part, Outcome.NOT_SENT, null));
    }

    /** Writes on where it may. */
    void write() {
        if (closed || channel == null) {
            return;
        }
        try {
            if (!writer.write(channel.getSinkChannel())) {
                close("a frame stopped half-way until it could no longer leave");
            }
        } catch (IOException e) {
            close("broken while writing");
        }
    }

    /** The last byte of a frame has left; of a batch, or of a cancellation where it is null. */
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
            while (!closed) {
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
            close("broken");
        } catch (RuntimeException e) {
            pool.log(System.Logger.Level.ERROR, "server " + address + ": connection closed after exception " + e);
            close(null);
        }
    }

    /** Takes the responses that are complete; whether there were any. */
    private boolean readResponses() throws MalformedMessageException {
        boolean any = false;
        ShardFrameCodec.PartResponse response = decoder.nextResponse();
        while (response != null) {
            onResponse(response);
            any = true;
            response = decoder.nextResponse();
        }
        return any;
    }

    /**
     * What has begun to come is to be there soon, and nothing is to come where nothing is waited for. Otherwise a frame that announces
     * more than comes would swallow all responses behind it, and what is behind a good response would become the head of the next one.
     */
    private void checkPartialFrame(ConduitStreamSourceChannel source, boolean completed)
            throws MalformedMessageException {
        boolean partial = !closed && decoder.hasPartialFrame();
        if (partial && load() == 0) {
            throw new MalformedMessageException("more than was asked for");
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

    /** Of a process that was paused the rest may wait in the socket, so that is read first. */
    private void onPartialFrameTimeout(ConduitStreamSourceChannel source) {
        XnioExecutor.Key timeout = partialFrameTimeout;
        onReadable(source);
        if (!closed && partialFrameTimeout == timeout) {
            closeMalformed("a frame that does not end");
        }
    }

    private void onResponse(ShardFrameCodec.PartResponse response) throws MalformedMessageException {
        lastUsedMs = pool.clock.nowMs();
        lastReadMs = lastUsedMs;
        PartRequest part = awaitingResponse.remove(response.id());
        if (part == null) {
            // Late or duplicated responses concern nobody any more; another one is the spoilt one of a part in flight.
            if (!recentlyEnded.contains(response.id())) {
                throw new MalformedMessageException("an answer for a part that was not asked for");
            }
            return;
        }
        rememberEnded(part.id);
        switch (response.status()) {
            case OK -> pool.endPart(part, Outcome.ANSWERED, response.value());
            case ERROR -> pool.endPart(part, Outcome.ERROR, null);
            default -> pool.endPart(part, Outcome.FULL, null);
        }
    }

    private void rememberEnded(String id) {
        recentlyEnded.remove(id);
        recentlyEnded.add(id);
        if (recentlyEnded.size() > pool.settings.partsPerConnection()) {
            recentlyEnded.remove(recentlyEnded.iterator().next());
        }
    }

    /**
     * Where frames begin is no longer known, so nothing that is in flight here can be answered any more. All of it may have run; that it
     * ends now and not at its timeout leaves time for another server.
     */
    private void closeMalformed(String reason) {
        pool.logMalformedFrame("server " + address + ": unusable frame, connection closed: " + reason);
        close(null, Outcome.NOT_SENT, Outcome.MALFORMED);
    }

    /** Closes it; the reason goes to the log where parts end by it, null for none. */
    void close(String reason) {
        close(reason, Outcome.CONNECT_FAILED, Outcome.RESET);
    }

    /**
     * What was written completely may have run, the rest never did: a frame that was written in part is no request to the server, so none
     * of its parts ran.
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
                    "server " + address + ": " + reason + "; " + unsent.size() + " parts never ran, " + sent.size()
                            + " may have");
        }
        unsent.forEach(part -> pool.endPart(part, outcomeIfUnsent, null));
        sent.forEach(part -> pool.endPart(part, outcomeIfSent, null));
    }
}
