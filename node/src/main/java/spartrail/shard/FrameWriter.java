package spartrail.shard;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.xnio.conduits.ConduitStreamSinkChannel;
import spartrail.model.Attempt.Outcome;

/**
 * The writing side of a connection: cancellations first, then batches in the order in which they were queued, one frame at a time. All
 * of it runs on the I/O thread.
 *
 * <p>A frame begins only if the pool lets it ({@link FrameGate}) and its parts may still leave; parts that may not are left out and end
 * as not sent. Once its first byte has left, the rest follows in any case, or the connection ends.
 */
final class FrameWriter {
    private final ShardPool pool;
    private final ShardConnection connection;
    private final Deque<PartBatch> queuedBatches = new ArrayDeque<>();
    private final Deque<ByteBuffer> cancellationFrames = new ArrayDeque<>();
    /** The batch whose frame is being written; null for a cancellation. */
    private PartBatch currentBatch;
    /** What is left of the frame that is being written; null where there is none. */
    private ByteBuffer currentFrame;

    FrameWriter(ShardPool pool, ShardConnection connection) {
        this.pool = pool;
        this.connection = connection;
    }

    void enqueue(PartBatch batch) {
        queuedBatches.add(batch);
    }

    void enqueueCancellation(String partId) {
        cancellationFrames.add(ShardFrameCodec.encodeCancellation(partId));
    }

    /** Parts that are queued, or in a frame of which not all has been written. */
    int load() {
        int load = 0;
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

    /** Nothing is being written, and no cancellation waits to be. */
    boolean isIdle() {
        return currentFrame == null && cancellationFrames.isEmpty();
    }

    /** Takes back a queued part. */
    void remove(PartRequest part) {
        part.batch.parts.remove(part);
        if (part.batch.parts.isEmpty()) {
            queuedBatches.remove(part.batch);
        }
    }

    /** Takes back all parts that are queued. */
    List<PartRequest> removeQueued() {
        List<PartRequest> parts = new ArrayList<>();
        queuedBatches.forEach(batch -> parts.addAll(batch.parts));
        queuedBatches.clear();
        return parts;
    }

    /** At the end of the connection: all parts that the server has not had completely, so that none of them ran. */
    List<PartRequest> removeUnsent() {
        List<PartRequest> parts = new ArrayList<>();
        if (currentBatch != null) {
            parts.addAll(currentBatch.parts);
        }
        parts.addAll(removeQueued());
        currentBatch = null;
        return parts;
    }

    /**
     * Writes on where it may. False where a frame stopped half-way until it could no longer leave: its rest would leave when the server
     * reads again, long after what it was decided for.
     */
    boolean write(ConduitStreamSinkChannel sink) throws IOException {
        while (prepareNextFrame()) {
            if (currentBatch != null && currentFrame.position() > 0 && isAnyPartLate(currentBatch)) {
                return false;
            }
            sink.write(currentFrame);
            if (currentFrame.hasRemaining()) {
                requeueUnbegun();
                sink.resumeWrites();
                return true;
            }
            currentFrame = null;
            connection.onFrameWritten(currentBatch);
            currentBatch = null;
        }
        if (sink.flush()) {
            sink.suspendWrites();
        } else {
            sink.resumeWrites();
        }
        return true;
    }

    private boolean isAnyPartLate(PartBatch batch) {
        return batch.parts.stream().anyMatch(part -> pool.clock.nowMs() > part.beginByMs);
    }

    /** A batch of which no byte has left has not begun. */
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

    /** Begins the next frame if none is being written; false where there is none that may begin. */
    private boolean prepareNextFrame() {
        if (currentFrame != null) {
            return true;
        }
        currentFrame = cancellationFrames.poll();
        while (currentFrame == null && !queuedBatches.isEmpty() && pool.mayBeginFrame(queuedBatches.peek())) {
            beginBatch(queuedBatches.poll());
        }
        return currentFrame != null;
    }

    private void beginBatch(PartBatch batch) {
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
}
