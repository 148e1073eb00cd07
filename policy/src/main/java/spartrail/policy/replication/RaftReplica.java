package spartrail.policy.replication;

import io.microraft.Ordered;
import io.microraft.QueryPolicy;
import io.microraft.RaftConfig;
import io.microraft.RaftEndpoint;
import io.microraft.RaftNode;
import io.microraft.RaftNode.RaftNodeBuilder;
import io.microraft.RaftNodeStatus;
import io.microraft.executor.RaftNodeExecutor;
import io.microraft.model.message.RaftMessage;
import io.microraft.persistence.RestoredRaftState;
import io.microraft.statemachine.StateMachine;
import io.microraft.transport.Transport;
import java.time.Clock;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.function.Consumer;
import spartrail.policy.LogOperation;
import spartrail.policy.PolicyLeader;
import spartrail.policy.PolicyLog;
import spartrail.policy.PolicyLogSnapshot;
import spartrail.policy.PolicyRequest;
import spartrail.policy.PolicyResponse;
import spartrail.policy.PolicyTimings;
import spartrail.policy.PolicyVersion;

/**
 * The replica of the log at a voter: the Raft library, its state machine, and the work of the leader. All calls are
 * made on the policy thread.
 *
 * <p>A poll is answered from a read of the log that a majority confirms after the poll arrived. Polls that arrive while
 * a read is in progress wait for the next read.
 */
final class RaftReplica implements StateMachine, Transport {
    /**
     * The library takes whole seconds. With these values a new leader is elected about 5 s after the loss of the old.
     */
    private static final RaftConfig CONFIG = RaftConfig.newBuilder()
            .setLeaderHeartbeatPeriodSecs(1)
            .setLeaderHeartbeatTimeoutSecs(3)
            .setLeaderElectionTimeoutMillis(500)
            .setCommitCountToTakeSnapshot(500)
            .setRaftNodeReportPublishPeriodSecs(10)
            .build();

    private static final int MAX_WAITING_POLLS = 4096;

    /** The operation of a read; it changes no state. */
    private static final Object READ = "read";

    private record WaitingPoll(PolicyRequest request, Consumer<PolicyResponse> onResponse) {}

    /** The thread that a replica runs on. */
    interface ExecutionContext extends RaftNodeExecutor {
        /** A monotonic clock. */
        Clock clock();
    }

    /** The node that a replica runs in. */
    interface Environment {
        /** Sends a message to another voter. */
        void send(String voter, RaftMessage message);

        /** Whether the address of this voter is known. */
        boolean isReachable(String voter);

        /** The active or the pending version has changed. */
        void onLogChange();
    }

    private final RaftNode raft;
    private final Environment environment;
    private final PolicyLog log = new PolicyLog();
    private final PolicyLeader leader;
    private List<WaitingPoll> waitingPolls = new ArrayList<>();
    private boolean isReading;
    private PolicyVersion lastActive = PolicyVersion.INITIAL;
    private PolicyVersion lastPending;

    /** Starts the replica with the state in the store, or as a member of a new group if the store has none. */
    RaftReplica(
            String name,
            String fleet,
            RaftLogStore store,
            PolicyTimings times,
            ExecutionContext context,
            Random random,
            Environment environment) {
        this.leader = new PolicyLeader(times);
        this.environment = environment;
        RaftNodeBuilder builder = RaftNode.newBuilder()
                .setGroupId(fleet)
                .setConfig(CONFIG)
                .setExecutor(context)
                .setTransport(this)
                .setStateMachine(this)
                .setStore(store)
                .setModelFactory(LogEntryCodec.MODEL)
                .setRandom(random)
                .setClock(context.clock());
        RestoredRaftState restored = store.restoredState();
        if (restored != null) {
            builder.setRestoredState(restored);
        } else {
            builder.setLocalEndpoint(new Voter(name)).setInitialGroupMembers(Voter.endpointsOf(store.voters()));
        }
        raft = builder.build();
        raft.start();
    }

    // ---- Callbacks of the Raft library ----

    @Override
    public Object runOperation(long index, Object operation) {
        if (operation == READ) {
            return new PolicyResponse(0, log.lastAppliedIndex(), log.active(), log.pending());
        }
        LogOperation logOperation = (LogOperation) operation;
        String nextStage = String.valueOf(stageAfter(logOperation.kind()));
        CrashPoint.haltIfArmedBefore(CrashPoint.Activity.CHANGING_STATE, nextStage);
        String outcome = log.apply(index, logOperation);
        if (log.active() != lastActive || log.pending() != lastPending) {
            lastActive = log.active();
            lastPending = log.pending();
            environment.onLogChange();
        }
        CrashPoint.haltIfArmedAfter(CrashPoint.Activity.CHANGING_STATE, nextStage);
        return outcome;
    }

    private static PolicyVersion.Stage stageAfter(LogOperation.Kind kind) {
        return switch (kind) {
            case PROPOSE -> PolicyVersion.Stage.PROPOSED;
            case REFUSE -> PolicyVersion.Stage.REFUSED;
            case ABORT -> PolicyVersion.Stage.ABORTED;
            case DECIDE -> PolicyVersion.Stage.DECIDED;
            case HOLD -> PolicyVersion.Stage.HOLDS;
            case NEW_TERM -> null;
        };
    }

    @Override
    public void takeSnapshot(long index, Consumer<Object> chunks) {
        chunks.accept(log.toSnapshot());
    }

    @Override
    public void installSnapshot(long index, List<Object> chunks) {
        log.restoreSnapshot(index, (PolicyLogSnapshot) chunks.get(0));
    }

    @Override
    public Object getNewTermOperation() {
        return LogOperation.NEW_TERM_OPERATION;
    }

    @Override
    public void send(RaftEndpoint receiver, RaftMessage message) {
        environment.send(Voter.nameOf(receiver), message);
    }

    @Override
    public boolean isReachable(RaftEndpoint endpoint) {
        return environment.isReachable(Voter.nameOf(endpoint));
    }

    // ---- Calls from the node ----

    /** Handles a message from another voter. */
    void onMessage(RaftMessage message) {
        raft.handle(message);
    }

    /** The name of the leader as known to this node, or empty. */
    String leaderName() {
        if (raft.getStatus() == RaftNodeStatus.TERMINATED) {
            return "";
        }
        return Voter.nameOf(raft.getTerm().getLeaderEndpoint());
    }

    boolean isLeader() {
        return leaderName().equals(Voter.nameOf(raft.getLocalEndpoint()));
    }

    /** Answers a poll; the response is null if this node is not the leader or cannot read the log. */
    void onPoll(PolicyRequest request, double nowMs, Consumer<PolicyResponse> onResponse) {
        if (!isLeader() || waitingPolls.size() >= MAX_WAITING_POLLS) {
            onResponse.accept(null);
            return;
        }
        leader.setLeading(true);
        leader.onRequest(request, nowMs);
        waitingPolls.add(new WaitingPoll(request, onResponse));
        readLog();
    }

    private void readLog() {
        if (isReading || waitingPolls.isEmpty()) {
            return;
        }
        isReading = true;
        List<WaitingPoll> batch = waitingPolls;
        waitingPolls = new ArrayList<>();
        raft.<PolicyResponse>query(READ, QueryPolicy.LINEARIZABLE, Optional.empty(), Optional.empty())
                .whenComplete((result, failure) -> {
                    isReading = false;
                    PolicyResponse read = failure == null ? result.getResult() : null;
                    batch.forEach(poll -> respond(poll, read));
                    readLog();
                });
    }

    private static void respond(WaitingPoll poll, PolicyResponse read) {
        if (read == null) {
            poll.onResponse().accept(null);
            return;
        }
        long nonce = poll.request().nonce();
        poll.onResponse().accept(new PolicyResponse(nonce, read.appliedIndex(), read.active(), read.pending()));
    }

    /** Appends an operator's operation; the outcome is null if it is unknown or this node is not the leader. */
    void replicate(LogOperation operation, Consumer<String> onOutcome) {
        if (!isLeader()) {
            onOutcome.accept(null);
            return;
        }
        raft.<String>replicate(operation)
                .whenComplete((Ordered<String> result, Throwable failure) ->
                        onOutcome.accept(failure == null ? result.getResult() : null));
    }

    /** Appends the operation that is due, if this node is the leader. */
    void step(Collection<String> liveNodes, double nowMs) {
        leader.setLeading(isLeader());
        LogOperation operation = leader.nextOperation(log, liveNodes, nowMs);
        if (operation != null) {
            // The result is ignored: if the operation is not committed, a later step appends it again.
            raft.<String>replicate(operation).whenComplete((result, failure) -> {});
        }
    }

    /** The log up to the last entry that this node has applied. */
    PolicyLog log() {
        return log;
    }

    void close() {
        raft.terminate();
    }
}
