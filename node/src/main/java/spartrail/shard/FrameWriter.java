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
 * The writing side of a connection: cancellations first, then batches in the order of queueing, one frame at a time.
 * Runs on the I/O thread only.
 *
 * <p>A frame begins only if {@link FrameGate} permits it. Parts that may no longer be sent are removed from it and end
 * as not sent. Once the first byte of a frame has been written, either the rest follows or the connection is closed.
 */
final class FrameWriter {
    private final ShardPool pool;
    private final ShardConnection connection;
    private final Deque<PartBatch> queuedBatches = new ArrayDeque<>();
    private final Deque<ByteBuffer> cancellationFrames = new ArrayDeque<>();
    /** The batch whose frame is being written; null for a cancellation. */
    private PartBatch currentBatch;
    /** The rest of the frame that is being written; null if there is none. */
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

    /** The number of parts that are queued or in a partially written frame. */
    int partCount() {
        int count = 0;
        for (PartBatch batch : queuedBatches) {
            count += batch.parts.size();
        }
        if (currentBatch != null) {
            for (PartRequest part : currentBatch.parts) {
                count += part.stage == PartRequest.Stage.WRITING ? 1 : 0;
            }
        }
        return count;
    }

    /** Whether no frame is being written and no cancellation is queued. */
    boolean isIdle() {
        return currentFrame == null && cancellationFrames.isEmpty();
    }

    /** Removes a queued part. */
    void remove(PartRequest part) {
        part.batch.parts.remove(part);
        if (part.batch.parts.isEmpty()) {
            queuedBatches.remove(part.batch);
        }
    }

    /** Removes and returns all queued parts. */
    List<PartRequest> removeQueued() {
        List<PartRequest> parts = new ArrayList<>();
        queuedBatches.forEach(batch -> parts.addAll(batch.parts));
        queuedBatches.clear();
        return parts;
    }

    /** Removes and returns, when the connection is closed, all parts of frames that were not completely written. */
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
     * Writes as many frames as possible. Returns false if a frame is partially written and its deadline has passed: its
     * rest would be sent when the server reads again, long after the deadline of its parts.
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

    /** Queues the current batch again if none of its bytes were written, so that its parts can still be withdrawn. */
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

    /** Begins the next frame if none is being written; false if there is none that may begin. */
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
