package spartrail.front;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import spartrail.coordination.Coordinator;
import spartrail.model.Decisions;
import spartrail.model.Multiget;
import spartrail.model.NodeClock;
import spartrail.model.OpType;
import spartrail.model.Part;
import spartrail.model.Send;
import spartrail.provisioning.DeploymentFile;

/**
 * What a node does before it says that it is ready. Danger: a JVM is slow at what it has not often done, and with
 * part of a core it spends the first seconds of service on compiling, while clients' time runs out. So a module
 * that is thrown away decides on multigets that nobody asked for, and the door turns away requests that are none.
 * Nothing of it reaches a server, and it ends after a set time however far it has come.
 */
final class Rehearsal {
    private static final double LONGEST_MS = 700;
    private static final int MULTIGETS = 600;
    private static final int REQUESTS = 60;

    private final NodeClock clock;
    private final double endMs;

    Rehearsal(NodeClock clock) {
        this.clock = clock;
        this.endMs = clock.nowMs() + LONGEST_MS;
    }

    /** Decisions only. */
    void decide(DeploymentFile deployment) {
        play(deployment, null);
    }

    /** Requests and decisions by turns, so that neither takes the time of both. */
    void play(DeploymentFile deployment, InetSocketAddress door) {
        List<OpType> opTypes = deployment.opTypes();
        Coordinator coordinator = deployment.coordinator(opTypes);
        double nowMs = clock.nowMs();
        coordinator.listed(NodeLoop.servers(deployment.known(), clock), true, true, nowMs);
        Deque<Send> out = new ArrayDeque<>();
        int parts = Math.min(4, deployment.shards());
        for (int i = 0; i < MULTIGETS && clock.nowMs() < endMs; i++) {
            nowMs += deployment.turnMs();
            OpType opType = opTypes.get(i % opTypes.size());
            out.addAll(coordinator.place(multiget(i, opType, coordinator, parts, deployment.shards(), nowMs), nowMs)
                    .sends);
            while (out.size() > 2 * parts) {
                Send send = out.poll();
                Send.Outcome outcome = i % 50 == 0 ? Send.Outcome.ERROR : Send.Outcome.ANSWERED;
                out.addAll(coordinator.after(send, outcome, nowMs - send.sentMs, nowMs).sends);
            }
            Decisions due = coordinator.waitMs(nowMs) <= 0 ? coordinator.waited(nowMs) : new Decisions();
            out.addAll(due.sends);
            if (door != null && i % (MULTIGETS / REQUESTS) == 0) {
                ask(door, opType, i);
            }
        }
    }

    private static Multiget multiget(
            long id, OpType opType, Coordinator coordinator, int parts, int shards, double nowMs) {
        Multiget mg = new Multiget();
        mg.id = id * 0x9E3779B97F4A7C15L;
        mg.opType = opType;
        mg.arrivedMs = nowMs;
        mg.clientLeftMs = opType.timeoutMs;
        for (int i = 0; i < parts; i++) {
            Part part = new Part();
            part.id = i;
            part.multiget = mg;
            part.shard = coordinator.shard((int) (id + i) % shards);
            part.weight = 1.0 / parts;
            mg.parts.add(part);
        }
        return mg;
    }

    /** A multiget whose weights do not sum up to 1: read to its end, then turned away. */
    private static void ask(InetSocketAddress door, OpType opType, int number) {
        String body =
                "{\"segments\":[{\"segment\":0,\"boost\":0.25,\"work\":1000,\"affinity\":\"0123456789abcdef\"}],\"text\":\"0\"}";
        String head = "POST /" + opType.name + "/rehearsal HTTP/1.1\r\nHost: rehearsal\r\nReq-Id: rehearsal" + number
                + "\r\nReq-Kind: " + opType.name + "\r\nReq-Deadline: 1.000\r\nContent-Length: " + body.length()
                + "\r\n\r\n";
        try (Socket socket = new Socket(door.getAddress(), door.getPort())) {
            socket.setSoTimeout((int) LONGEST_MS);
            socket.getOutputStream().write((head + body).getBytes(StandardCharsets.US_ASCII));
            socket.getInputStream().readAllBytes();
        } catch (IOException e) {
            // A rehearsal that fails costs nobody anything.
        }
    }
}
