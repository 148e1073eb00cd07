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
    private final Deque<PartBatch> waiting = new ArrayDeque<>();
    private final Deque<ByteBuffer> giveUps = new ArrayDeque<>();
    /** The call whose frame is being written, and what is left of the frame; no call for a frame that gives up. */
    private PartBatch writing;

    private ByteBuffer left;
    private final Map<String, PartRequest> out = new HashMap<>();
    /** The parts that were last out and are no longer, at most as many as may be out. */
    private final Set<String> settled = new LinkedHashSet<>();
    /** When a frame that has begun should long be there whole. */
    private XnioExecutor.Key lateFrame;

    private final ShardFrameCodec.Reader frames = new ShardFrameCodec.Reader();

    private final IoFuture<StreamConnection> opening;
    private final XnioExecutor.Key openTimer;
    private StreamConnection connection;
    private boolean closed;
    private double usedMs;
    private double readMs;
    /** It gets no further calls, and goes once nothing is out on it. */
    private boolean retired;

    ShardConnection(ShardPool pool, InetSocketAddress address) {
        this.pool = pool;
        this.address = address;
        this.usedMs = pool.clock.nowMs();
        // Danger: a machine that vanished says nothing, and what waits for its connection would wait on.
        openTimer = pool.io.executeAfter(
                () -> {
                    if (connection == null) {
                        end("no connection in time");
                    }
                },
                Math.round(pool.bounds.connectTimeoutMs()),
                TimeUnit.MILLISECONDS);
        opening = pool.io.openStreamConnection(address, null, OptionMap.create(Options.TCP_NODELAY, true));
        opening.addNotifier((future, attachment) -> pool.io.execute(() -> opened(future)), null);
    }

    private void opened(IoFuture<? extends StreamConnection> future) {
        openTimer.remove();
        if (future.getStatus() != IoFuture.Status.DONE) {
            end("cannot connect");
            return;
        }
        try {
            StreamConnection opened = future.get();
            if (closed) {
                IoUtils.safeClose(opened);
                return;
            }
            connection = opened;
            connection.getSourceChannel().setReadListener(this::readable);
            connection.getSinkChannel().setWriteListener(channel -> write());
            connection.getSourceChannel().resumeReads();
            write();
        } catch (IOException e) {
            end("cannot connect");
        }
    }

    /**
     * Whether it still leads to the server, as far as the system has heard. Danger: a server's own close waits in the
     * socket, and a frame written behind it is reset and may have run.
     */
    boolean alive() {
        if (connection != null && !closed && load() == 0) {
            readable(connection.getSourceChannel());
        }
        return !closed;
    }

    /** Parts that it has in hand, of the number that it may carry. */
    int load() {
        int load = out.size();
        for (PartBatch call : waiting) {
            load += call.parts.size();
        }
        if (writing != null) {
            for (PartRequest part : writing.parts) {
                load += part.stage == PartRequest.Stage.BEGUN ? 1 : 0;
            }
        }
        return load;
    }

    boolean idleSince(double ms) {
        return load() == 0 && left == null && giveUps.isEmpty() && usedMs < ms;
    }

    void send(PartBatch call) {
        usedMs = pool.clock.nowMs();
        for (PartRequest part : call.parts) {
            part.connection = this;
            part.givenMs = usedMs;
        }
        waiting.add(call);
        write();
    }

    boolean takes(int parts, int most) {
        return !retired && load() + parts <= most;
    }

    void retire() {
        retired = true;
        goIfDone();
    }

    /** Not at once: the part that is being taken back has its end first. */
    private void goWhenDone() {
        if (retired) {
            pool.io.execute(this::goIfDone);
        }
    }

    private void goIfDone() {
        if (retired && load() == 0) {
            end(null);
        }
    }

    /** Nothing more is waited for; a frame that has not begun does not leave. True where the part never left. */
    boolean withdraw(PartRequest part, boolean timedOut) {
        // Danger: a connection that no longer leads anywhere says nothing, and would swallow all that comes
        // after. One that was silent for the whole wait for a part gets no more.
        retired |= timedOut && connection != null && readMs < part.givenMs;
        if (part.stage == PartRequest.Stage.WAITING) {
            part.call.parts.remove(part);
            if (part.call.parts.isEmpty()) {
                waiting.remove(part.call);
            }
            goWhenDone();
            return true;
        }
        out.remove(part.id, part);
        settle(part.id);
        if (pool.bounds.cancelling() && !closed) {
            giveUps.add(ShardFrameCodec.giveUp(part.id));
            write();
        }
        goWhenDone();
        return false;
    }

    /** Whatever has not begun to leave goes back unsent. */
    void dropWaiting() {
        List<PartBatch> calls = new ArrayList<>(waiting);
        waiting.clear();
        calls.forEach(call -> List.copyOf(call.parts).forEach(part -> pool.ended(part, Outcome.NOT_SENT, null)));
    }

    /** Writes on where it may. */
    void write() {
        if (closed || connection == null) {
            return;
        }
        ConduitStreamSinkChannel sink = connection.getSinkChannel();
        try {
            while (nextFrame()) {
                if (writing != null && left.position() > 0 && late(writing)) {
                    // Danger: the rest of a frame leaves when a server reads again, long after what it was decided for.
                    end("a frame stopped half-way until it could no longer leave");
                    return;
                }
                sink.write(left);
                if (left.hasRemaining()) {
                    unbegin();
                    sink.resumeWrites();
                    return;
                }
                left = null;
                usedMs = pool.clock.nowMs();
                if (writing != null) {
                    for (PartRequest part : writing.parts) {
                        if (part.stage == PartRequest.Stage.BEGUN) {
                            part.stage = PartRequest.Stage.WRITTEN;
                            out.put(part.id, part);
                        }
                    }
                    writing = null;
                }
            }
            if (!sink.flush()) {
                sink.resumeWrites();
            } else {
                sink.suspendWrites();
            }
        } catch (IOException e) {
            end("broken while writing");
        }
    }

    private boolean late(PartBatch call) {
        return call.parts.stream().anyMatch(part -> pool.clock.nowMs() > part.leaveByMs);
    }

    /** A call of which no byte has left has not begun. */
    private void unbegin() {
        if (writing != null && left.position() == 0) {
            writing.parts.removeIf(part -> part.stage != PartRequest.Stage.BEGUN);
            writing.parts.forEach(part -> part.stage = PartRequest.Stage.WAITING);
            if (!writing.parts.isEmpty()) {
                waiting.addFirst(writing);
            }
            writing = null;
            left = null;
        }
    }

    /** Begins the next frame if none is being written. */
    private boolean nextFrame() {
        if (left != null) {
            return true;
        }
        left = giveUps.poll();
        while (left == null && !waiting.isEmpty() && pool.mayBegin(waiting.peek())) {
            PartBatch call = waiting.poll();
            double nowMs = pool.clock.nowMs();
            List<PartRequest> stay =
                    call.parts.stream().filter(part -> !part.mayLeave(nowMs)).toList();
            call.parts.removeAll(stay);
            stay.forEach(part -> pool.ended(part, Outcome.NOT_SENT, null));
            if (!call.parts.isEmpty()) {
                writing = call;
                call.parts.forEach(part -> part.stage = PartRequest.Stage.BEGUN);
                left = ShardFrameCodec.call(call.parts, nowMs);
            }
        }
        return left != null;
    }

    private void readable(ConduitStreamSourceChannel source) {
        try {
            boolean whole = false;
            while (!closed) {
                ByteBuffer buffer = pool.readBuffer.clear();
                int got = source.read(buffer);
                if (got < 0) {
                    end("closed by the server");
                } else if (got == 0) {
                    break;
                } else {
                    frames.take(buffer.flip());
                    for (ShardFrameCodec.Answer answer = frames.next(); answer != null; answer = frames.next()) {
                        answered(answer);
                        whole = true;
                    }
                    goIfDone();
                }
            }
            awaitRest(source, whole);
        } catch (ShardFrameCodec.Garbled e) {
            garbled(e.getMessage());
        } catch (IOException e) {
            end("broken");
        } catch (RuntimeException e) {
            pool.log(System.Logger.Level.ERROR, "server " + address + ": connection closed after exception " + e);
            end(null);
        }
    }

    /**
     * What has begun to come is to be there soon, and nothing is to come where nothing is waited for. Danger: a
     * frame that announces more than comes swallows all answers behind it; what is behind a good answer becomes
     * the head of the next one.
     */
    private void awaitRest(ConduitStreamSourceChannel source, boolean whole) throws ShardFrameCodec.Garbled {
        boolean partial = !closed && frames.partial();
        if (partial && load() == 0) {
            throw new ShardFrameCodec.Garbled("more than was asked for");
        }
        if (lateFrame != null && (whole || !partial)) {
            lateFrame.remove();
            lateFrame = null;
        }
        if (partial && lateFrame == null) {
            lateFrame = pool.io.executeAfter(
                    () -> {
                        // Danger: of a node that stood still the rest may wait in the socket.
                        XnioExecutor.Key due = lateFrame;
                        readable(source);
                        if (!closed && lateFrame == due) {
                            garbled("a frame that does not end");
                        }
                    },
                    Math.round(pool.bounds.connectTimeoutMs()),
                    TimeUnit.MILLISECONDS);
        }
    }

    private void answered(ShardFrameCodec.Answer answer) throws ShardFrameCodec.Garbled {
        usedMs = pool.clock.nowMs();
        readMs = usedMs;
        PartRequest part = out.remove(answer.id());
        if (part == null) {
            // Late or doubled answers concern nobody any more; another is the spoilt one of a part that is out.
            if (!settled.contains(answer.id())) {
                throw new ShardFrameCodec.Garbled("an answer for a part that was not asked for");
            }
            return;
        }
        settle(part.id);
        switch (answer.end()) {
            case OK -> pool.ended(part, Outcome.ANSWERED, answer.value());
            case ERROR -> pool.ended(part, Outcome.ERROR, null);
            default -> pool.ended(part, Outcome.FULL, null);
        }
    }

    private void settle(String id) {
        settled.remove(id);
        settled.add(id);
        if (settled.size() > pool.bounds.partsPerConnection()) {
            settled.remove(settled.iterator().next());
        }
    }

    /**
     * Where frames begin is no longer known, so nothing that is out here can be answered any more. All of it may
     * have run; that it ends now and not at its time-out leaves time for another server.
     */
    private void garbled(String why) {
        pool.garbled("server " + address + ": unusable frame, connection closed: " + why);
        end(null, Outcome.NOT_SENT, Outcome.MALFORMED);
    }

    void end(String why) {
        end(why, Outcome.CONNECT_FAILED, Outcome.RESET);
    }

    /**
     * The connection is over: what was written whole may have run, the rest never did. Danger: a frame that
     * was written in part is no call to the server, so none of its parts ran.
     */
    private void end(String why, Outcome neverRan, Outcome mayHaveRun) {
        if (closed) {
            return;
        }
        closed = true;
        openTimer.remove();
        if (lateFrame != null) {
            lateFrame.remove();
        }
        if (connection == null) {
            opening.cancel();
        } else {
            IoUtils.safeClose(connection);
        }
        pool.forget(address, this);
        List<PartRequest> never = new ArrayList<>();
        if (writing != null) {
            never.addAll(writing.parts);
        }
        waiting.forEach(call -> never.addAll(call.parts));
        List<PartRequest> maybe = new ArrayList<>(out.values());
        waiting.clear();
        out.clear();
        writing = null;
        if (why != null && never.size() + maybe.size() > 0) {
            pool.log(
                    System.Logger.Level.DEBUG,
                    "server " + address + ": " + why + "; " + never.size() + " parts never ran, " + maybe.size()
                            + " may have");
        }
        never.forEach(part -> pool.ended(part, neverRan, null));
        maybe.forEach(part -> pool.ended(part, mayHaveRun, null));
    }
}
