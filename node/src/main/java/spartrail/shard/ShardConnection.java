package spartrail.shard;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
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
import org.xnio.conduits.ConduitStreamSinkChannel;
import org.xnio.conduits.ConduitStreamSourceChannel;
import spartrail.model.Attempt.Outcome;
import spartrail.model.MalformedMessageException;

/**
 * One connection to a server: calls that wait to be written, and parts that wait for answers. By event and state:
 *
 * <pre>
 *                     OPENING               IDLE                  IN USE                          RETIRED
 * call given          waits                 read once, written    written if there is room        (never chosen)
 * comes up            OPENING to IN USE     -                     -                               goes if nothing is out
 * answer              -                     MALFORMED, closed     part ended; IDLE after the last part ended; closed after the last
 * end, reset          never ran             closed                written: may have run; not written or in part: never ran
 * part taken back     unsent                -                     unsent, or A frame if it began  the same, then closed
 * server drains,
 * is another process  unsent, RETIRED       closed                what has not begun is unsent, RETIRED
 * unused, too long    no connection in time closed                a frame or an answer that stops half-way ends it
 * </pre>
 *
 * <p>A frame begins only if its parts may still leave, nothing is known to have changed about servers that the loop has
 * not seen ({@link ShardPool#hold}), and the sockets were looked at lately ({@link ShardPool#blind}).
 */
final class ShardConnection {
    private final ShardPool pool;
    private final InetSocketAddress address;
    private final Deque<PartBatch> queuedBatches = new ArrayDeque<>();
    private final Deque<ByteBuffer> cancellationFrames = new ArrayDeque<>();
    /** The call whose frame is being written, and what is left of the frame; no call for a frame that gives up. */
    private PartBatch currentBatch;

    private ByteBuffer currentFrame;
    private final Map<String, PartRequest> awaitingResponse = new HashMap<>();
    /** The parts that were last out and are no longer, at most as many as may be out. */
    private final Set<String> recentlyEnded = new LinkedHashSet<>();
    /** When a frame that has begun should long be there whole. */
    private XnioExecutor.Key partialFrameTimeout;

    private final ShardFrameCodec.Decoder decoder = new ShardFrameCodec.Decoder();

    private final IoFuture<StreamConnection> connecting;
    private final XnioExecutor.Key connectTimeout;
    private StreamConnection connection;
    private boolean closed;
    private double lastUsedMs;
    private double lastReadMs;
    /** It gets no further calls, and goes once nothing is out on it. */
    private boolean draining;

    ShardConnection(ShardPool pool, InetSocketAddress address) {
        this.pool = pool;
        this.address = address;
        this.lastUsedMs = pool.clock.nowMs();
        // Danger: a machine that vanished says nothing, and what waits for its connection would wait on.
        connectTimeout = pool.io.executeAfter(
                () -> {
                    if (connection == null) {
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
            StreamConnection opened = future.get();
            if (closed) {
                IoUtils.safeClose(opened);
                return;
            }
            connection = opened;
            connection.getSourceChannel().setReadListener(this::onReadable);
            connection.getSinkChannel().setWriteListener(channel -> write());
            connection.getSourceChannel().resumeReads();
            write();
        } catch (IOException e) {
            close("cannot connect");
        }
    }

    /**
     * Whether it still leads to the server, as far as the system has heard. Danger: a server's own close waits in the
     * socket, and a frame written behind it is reset and may have run.
     */
    boolean isAlive() {
        if (connection != null && !closed && load() == 0) {
            onReadable(connection.getSourceChannel());
        }
        return !closed;
    }

    /** Parts that it has in hand, of the number that it may carry. */
    int load() {
        int load = awaitingResponse.size();
        for (PartBatch batch : queuedBatches) {
            load += batch.parts.size();
        }
        if (currentBatch != null) {
            for (PartRequest part : currentBatch.parts) {
                load += part.stage == PartRequest.Stage.WRITING ? 1 : 0;
            }
        }
        return load;
    }

    boolean isIdleSince(double ms) {
        return load() == 0 && currentFrame == null && cancellationFrames.isEmpty() && lastUsedMs < ms;
    }

    void enqueue(PartBatch batch) {
        lastUsedMs = pool.clock.nowMs();
        for (PartRequest part : batch.parts) {
            part.connection = this;
            part.queuedMs = lastUsedMs;
        }
        queuedBatches.add(batch);
        write();
    }

    boolean hasCapacityFor(int parts, int limit) {
        return !draining && load() + parts <= limit;
    }

    void drain() {
        draining = true;
        closeIfDrained();
    }

    /** Not at once: the part that is being taken back has its end first. */
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

    /** Nothing more is waited for; a frame that has not begun does not leave. True where the part never left. */
    boolean withdraw(PartRequest part, boolean timedOut) {
        // Danger: a connection that no longer leads anywhere says nothing, and would swallow all that comes
        // after. One that was silent for the whole wait for a part gets no more.
        draining |= timedOut && connection != null && lastReadMs < part.queuedMs;
        if (part.stage == PartRequest.Stage.QUEUED) {
            part.batch.parts.remove(part);
            if (part.batch.parts.isEmpty()) {
                queuedBatches.remove(part.batch);
            }
            closeLaterIfDrained();
            return true;
        }
        awaitingResponse.remove(part.id, part);
        rememberEnded(part.id);
        if (pool.settings.cancelling() && !closed) {
            cancellationFrames.add(ShardFrameCodec.encodeCancellation(part.id));
            write();
        }
        closeLaterIfDrained();
        return false;
    }

    /** Whatever has not begun to leave goes back unsent. */
    void dropQueued() {
        List<PartBatch> batches = new ArrayList<>(queuedBatches);
        queuedBatches.clear();
        batches.forEach(batch -> List.copyOf(batch.parts).forEach(part -> pool.endPart(part, Outcome.NOT_SENT, null)));
    }

    /** Writes on where it may. */
    void write() {
        if (closed || connection == null) {
            return;
        }
        ConduitStreamSinkChannel sink = connection.getSinkChannel();
        try {
            while (prepareNextFrame()) {
                if (currentBatch != null && currentFrame.position() > 0 && isAnyPartLate(currentBatch)) {
                    // Danger: the rest of a frame leaves when a server reads again, long after what it was decided for.
                    close("a frame stopped half-way until it could no longer leave");
                    return;
                }
                sink.write(currentFrame);
                if (currentFrame.hasRemaining()) {
                    requeueUnbegun();
                    sink.resumeWrites();
                    return;
                }
                currentFrame = null;
                lastUsedMs = pool.clock.nowMs();
                if (currentBatch != null) {
                    for (PartRequest part : currentBatch.parts) {
                        if (part.stage == PartRequest.Stage.WRITING) {
                            part.stage = PartRequest.Stage.WRITTEN;
                            awaitingResponse.put(part.id, part);
                        }
                    }
                    currentBatch = null;
                }
            }
            if (!sink.flush()) {
                sink.resumeWrites();
            } else {
                sink.suspendWrites();
            }
        } catch (IOException e) {
            close("broken while writing");
        }
    }

    private boolean isAnyPartLate(PartBatch batch) {
        return batch.parts.stream().anyMatch(part -> pool.clock.nowMs() > part.beginByMs);
    }

    /** A call of which no byte has left has not begun. */
    private void requeueUnbegun() {
        if (currentBatch != null && currentFrame.position() == 0) {
            currentBatch.parts.removeIf(part -> part.stage != PartRequest.Stage.WRITING);
            currentBatch.parts.forEach(part -> part.stage = PartRequest.Stage.QUEUED);
            if (!currentBatch.parts.isEmpty()) {
                queuedBatches.addFirst(currentBatch);
            }
            currentBatch = null;
            currentFrame = null;
        }
    }

    /** Begins the next frame if none is being written. */
    private boolean prepareNextFrame() {
        if (currentFrame != null) {
            return true;
        }
        currentFrame = cancellationFrames.poll();
        while (currentFrame == null && !queuedBatches.isEmpty() && pool.mayBeginFrame(queuedBatches.peek())) {
            PartBatch batch = queuedBatches.poll();
            double nowMs = pool.clock.nowMs();
            List<PartRequest> expired =
                    batch.parts.stream().filter(part -> !part.mayBegin(nowMs)).toList();
            batch.parts.removeAll(expired);
            expired.forEach(part -> pool.endPart(part, Outcome.NOT_SENT, null));
            if (!batch.parts.isEmpty()) {
                currentBatch = batch;
                batch.parts.forEach(part -> part.stage = PartRequest.Stage.WRITING);
                currentFrame = ShardFrameCodec.encodeBatch(batch.parts, nowMs);
            }
        }
        return currentFrame != null;
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
                    for (ShardFrameCodec.PartResponse response = decoder.nextResponse();
                            response != null;
                            response = decoder.nextResponse()) {
                        onResponse(response);
                        completed = true;
                    }
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

    /**
     * What has begun to come is to be there soon, and nothing is to come where nothing is waited for. Danger: a
     * frame that announces more than comes swallows all answers behind it; what is behind a good answer becomes
     * the head of the next one.
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
                    () -> {
                        // Danger: of a node that stood still the rest may wait in the socket.
                        XnioExecutor.Key timeout = partialFrameTimeout;
                        onReadable(source);
                        if (!closed && partialFrameTimeout == timeout) {
                            closeMalformed("a frame that does not end");
                        }
                    },
                    Math.round(pool.settings.connectTimeoutMs()),
                    TimeUnit.MILLISECONDS);
        }
    }

    private void onResponse(ShardFrameCodec.PartResponse response) throws MalformedMessageException {
        lastUsedMs = pool.clock.nowMs();
        lastReadMs = lastUsedMs;
        PartRequest part = awaitingResponse.remove(response.id());
        if (part == null) {
            // Late or doubled answers concern nobody any more; another is the spoilt one of a part that is out.
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
     * Where frames begin is no longer known, so nothing that is out here can be answered any more. All of it may
     * have run; that it ends now and not at its time-out leaves time for another server.
     */
    private void closeMalformed(String reason) {
        pool.logMalformedFrame("server " + address + ": unusable frame, connection closed: " + reason);
        close(null, Outcome.NOT_SENT, Outcome.MALFORMED);
    }

    void close(String reason) {
        close(reason, Outcome.CONNECT_FAILED, Outcome.RESET);
    }

    /**
     * The connection is over: what was written whole may have run, the rest never did. Danger: a frame that
     * was written in part is no call to the server, so none of its parts ran.
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
        if (connection == null) {
            connecting.cancel();
        } else {
            IoUtils.safeClose(connection);
        }
        pool.remove(address, this);
        List<PartRequest> unsent = new ArrayList<>();
        if (currentBatch != null) {
            unsent.addAll(currentBatch.parts);
        }
        queuedBatches.forEach(batch -> unsent.addAll(batch.parts));
        List<PartRequest> sent = new ArrayList<>(awaitingResponse.values());
        queuedBatches.clear();
        awaitingResponse.clear();
        currentBatch = null;
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
