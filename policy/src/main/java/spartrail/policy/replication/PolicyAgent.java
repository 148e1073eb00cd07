package spartrail.policy.replication;

import io.microraft.model.message.RaftMessage;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import spartrail.model.MalformedMessageException;
import spartrail.peers.MembershipView;
import spartrail.policy.PolicyFollower;
import spartrail.policy.PolicyLease;
import spartrail.policy.PolicyRequest;
import spartrail.policy.PolicyResponse;
import spartrail.policy.PolicyService;
import spartrail.policy.PolicySettings;
import spartrail.policy.PolicyTimings;
import spartrail.policy.PolicyVersion;

/**
 * Runs policy versions at a node: the {@link PolicyFollower}, the {@link RaftReplica} if the node is a voter, and the
 * messages of both. It makes no decisions itself. All state is confined to the {@link PolicyThread}.
 */
final class PolicyAgent implements PolicyService.Running {
    private static final System.Logger LOG = System.getLogger("spartrail.policy");
    private static final long NOT_READY_LOG_INTERVAL_SECONDS = 10;

    private final Path folder;
    private final PolicyService.Host host;
    private final PolicyThread thread;
    private final Map<String, String> addresses = new HashMap<>();
    private final List<String> liveNodes = new ArrayList<>();
    private final CountDownLatch firstLease = new CountDownLatch(1);
    private final RandomGenerator random = RandomGenerator.of("L64X128MixRandom");
    private final DatagramReassembler reassembler = new DatagramReassembler();
    private Context channel;
    private PolicyTimings times;
    private List<String> voters = List.of();
    private PolicyFollower follower;
    private PolicyHistory history;
    private MessageSender sender;
    private ProposalChecker checker;
    private AdminRequestHandler adminRequests;
    private RaftReplica replica;
    private RaftLogStore store;
    private PolicyLease appliedLease;
    private String activeLabel = "";
    private String lastVersions = "";
    private long checkedNumber;
    private boolean wasLeader;

    /** Creates the agent of a host; the folder holds the log if the node is a voter. */
    PolicyAgent(Path folder, PolicyService.Host host) {
        this.folder = folder;
        this.host = host;
        this.thread = new PolicyThread(host::nowMs, new Work());
    }

    @Override
    public int number() {
        return PolicyMessageCodec.CHANNEL;
    }

    @Override
    public void start(Context context) {
        channel = context;
        PolicyConfig config = PolicyConfig.of(context.section("policy"));
        times = config.times();
        voters = config.voters();
        sender = new MessageSender(context, new DatagramSplitter(Context.MAX_MESSAGE_BYTES, random.nextInt()));
        history = new PolicyHistory(context);
        follower = new PolicyFollower(context.nodeName(), voters, host.localSettings(), times, random, host.nowMs());
        checker = new ProposalChecker(host, follower);
        adminRequests = new AdminRequestHandler(new AdminNode(), follower, checker, sender);
        thread.start();
    }

    // ---- Called from other threads ----

    @Override
    public void onMessage(String from, byte[] piece) {
        thread.submitMessage(() -> {
            byte[] message = reassembler.add(from, piece);
            if (message != null) {
                onCompleteMessage(from, message);
            }
        });
    }

    @Override
    public void onView(MembershipView view) {
        Map<String, String> known = new HashMap<>();
        List<String> live = new ArrayList<>();
        for (MembershipView.Entry entry : view.peers()) {
            known.put(entry.descriptor().name(), entry.descriptor().address());
            if (entry.state().isPresent()) {
                live.add(entry.descriptor().name());
            }
        }
        thread.execute(() -> onPeers(known, live));
    }

    @Override
    public void updateLocalSettings(PolicySettings changed) {
        thread.execute(() -> follower.updateLocalSettings(changed));
    }

    @Override
    public void awaitFirstLease() throws InterruptedException {
        while (!firstLease.await(NOT_READY_LOG_INTERVAL_SECONDS, TimeUnit.SECONDS)) {
            String reason = follower.incompatibility().isEmpty()
                    ? "no voter has answered a poll yet"
                    : follower.incompatibility();
            LOG.log(System.Logger.Level.WARNING, "not ready: " + reason);
        }
    }

    @Override
    public void close() {
        thread.close();
    }

    // ---- On the policy thread ----

    private final class Work implements PolicyThread.Work {
        @Override
        public void begin() {
            if (voters.contains(channel.nodeName())) {
                startReplica();
            }
        }

        @Override
        public void step() {
            double nowMs = host.nowMs();
            stepReplica(nowMs);
            pollIfDue(nowMs);
            checkProposal();
            applyLease(nowMs);
        }

        @Override
        public double nextStepAtMs() {
            return follower.nextPollAtMs();
        }

        @Override
        public void end() {
            if (replica != null) {
                replica.close();
            }
            closeStore();
        }
    }

    /** Starts the replica only with its log: a voter that lost the log could vote a second time in the same term. */
    private void startReplica() {
        try {
            if (!RaftLogStore.exists(folder)) {
                throw new IOException(folder
                        + ": contains no policy log; 'spartrail policy found' creates the logs of a new voter group");
            }
            store = new RaftLogStore(folder, channel.fleetName(), channel.nodeName());
            replica = new RaftReplica(
                    channel.nodeName(),
                    channel.fleetName(),
                    store,
                    times,
                    thread,
                    new Random(random.nextLong()),
                    new ReplicaEnvironment());
            history.recordVoterStart();
        } catch (IOException e) {
            store = null;
            LOG.log(System.Logger.Level.ERROR, "this node does not vote on policy versions: " + e.getMessage());
            history.recordVoterFailure(e.getMessage());
        }
    }

    private void closeStore() {
        if (store == null) {
            return;
        }
        try {
            store.close();
        } catch (IOException e) {
            LOG.log(System.Logger.Level.DEBUG, "cannot close the policy log", e);
        }
    }

    private void onPeers(Map<String, String> known, List<String> live) {
        boolean foundVoter =
                voters.stream().anyMatch(voter -> known.containsKey(voter) && !addresses.containsKey(voter));
        addresses.clear();
        addresses.putAll(known);
        liveNodes.clear();
        liveNodes.addAll(live);
        if (foundVoter) {
            follower.pollNoLaterThan(host.nowMs());
        }
    }

    private void stepReplica(double nowMs) {
        if (replica == null) {
            return;
        }
        replica.step(liveNodes, nowMs);
        if (wasLeader != replica.isLeader()) {
            wasLeader = !wasLeader;
            LOG.log(
                    System.Logger.Level.INFO,
                    wasLeader ? "became leader of the policy voters" : "is no longer leader of the policy voters");
            history.recordLeadership(wasLeader);
        }
    }

    private void pollIfDue(double nowMs) {
        PolicyRequest request = follower.pollIfDue(nowMs);
        if (request == null) {
            return;
        }
        if (replica != null && replica.isLeader()) {
            replica.onPoll(request, nowMs, response -> {
                if (response != null) {
                    onResponse(response);
                }
            });
            return;
        }
        sender.send(addresses.get(follower.pollTarget()), new PolicyMessage.Poll(request));
    }

    private void onResponse(PolicyResponse response) {
        follower.onResponse(response, host.nowMs());
        PolicyVersion pending = response.pending();
        String versions =
                response.active().number() + (pending == null ? "" : " " + pending.number() + " " + pending.stage());
        if (!versions.equals(lastVersions)) {
            lastVersions = versions;
            history.recordResponse(response);
        }
    }

    private void checkProposal() {
        PolicyVersion proposal = follower.proposalToCheck();
        if (proposal == null || checkedNumber == proposal.number()) {
            return;
        }
        checkedNumber = proposal.number();
        checker.check(proposal, objection -> thread.execute(() -> onChecked(proposal.number(), objection)));
    }

    private void onChecked(long number, String objection) {
        history.recordVote(number, objection);
        LOG.log(
                System.Logger.Level.INFO,
                "proposal " + number + ": "
                        + (objection.isEmpty() ? "this node can apply it" : "this node cannot apply it: " + objection));
        CrashPoint.haltIfArmedBefore(CrashPoint.Activity.CHANGING_STATE, CrashPoint.VOTE_CHANGE);
        follower.recordVote(number, objection, host.nowMs());
        CrashPoint.haltIfArmedAfter(CrashPoint.Activity.CHANGING_STATE, CrashPoint.VOTE_CHANGE);
    }

    private void applyLease(double nowMs) {
        PolicyLease lease = follower.lease();
        if (lease != null && lease != appliedLease) {
            appliedLease = lease;
            CrashPoint.haltIfArmedBefore(CrashPoint.Activity.CHANGING_STATE, CrashPoint.LEASE_CHANGE);
            host.apply(lease);
            firstLease.countDown();
            CrashPoint.haltIfArmedAfter(CrashPoint.Activity.CHANGING_STATE, CrashPoint.LEASE_CHANGE);
        }
        PolicyLease current = lease == null ? null : lease.activeAt(nowMs);
        String label = current == null ? "" : current.label();
        if (!label.equals(activeLabel)) {
            activeLabel = label;
            LOG.log(System.Logger.Level.INFO, "active policy version: " + label);
            history.recordLease(current);
        }
    }

    // ---- Messages ----

    private void onCompleteMessage(String from, byte[] bytes) {
        try {
            PolicyMessage message = PolicyMessageCodec.decode(bytes);
            if (message != null) {
                onMessage(from, message);
            }
        } catch (MalformedMessageException | RuntimeException e) {
            LOG.log(System.Logger.Level.DEBUG, "cannot process a policy message from " + from + "; message dropped", e);
        }
    }

    private void onMessage(String from, PolicyMessage message) {
        if (message instanceof PolicyMessage.Poll poll) {
            onPoll(from, poll.request());
        } else if (message instanceof PolicyMessage.PollResponse response) {
            onResponse(response.response());
        } else if (message instanceof PolicyMessage.Redirect redirect) {
            follower.onRedirect(redirect.leader(), host.nowMs());
        } else if (message instanceof PolicyMessage.UpdateNotice) {
            follower.pollNoLaterThan(host.nowMs());
        } else if (message instanceof PolicyMessage.Raft raft && replica != null) {
            replica.onMessage(raft.message());
        } else if (message instanceof PolicyMessage.AdminCommand command && channel.isOperator(from)) {
            adminRequests.onCommand(from, command.operation());
        } else if (message instanceof PolicyMessage.AdminQuery query && channel.isOperator(from)) {
            adminRequests.onQuery(from, query);
        }
    }

    private void onPoll(String from, PolicyRequest request) {
        if (replica == null) {
            sender.send(from, new PolicyMessage.Redirect(request.nonce(), ""));
            return;
        }
        replica.onPoll(request, host.nowMs(), response -> {
            if (response != null) {
                sender.send(from, new PolicyMessage.PollResponse(response));
            } else {
                // A leader that could not read its log does not name itself, so that the node polls another voter.
                String leader = replica.isLeader() ? "" : replica.leaderName();
                sender.send(from, new PolicyMessage.Redirect(request.nonce(), leader));
            }
        });
    }

    private final class ReplicaEnvironment implements RaftReplica.Environment {
        @Override
        public void send(String voter, RaftMessage message) {
            sender.send(addresses.get(voter), new PolicyMessage.Raft(message));
        }

        @Override
        public boolean isReachable(String voter) {
            return addresses.containsKey(voter);
        }

        @Override
        public void onLogChange() {
            history.recordLogChange(replica.log(), replica.isLeader());
            if (replica.isLeader()) {
                liveNodes.forEach(node -> sender.send(addresses.get(node), new PolicyMessage.UpdateNotice()));
                follower.pollNoLaterThan(host.nowMs());
            }
        }
    }

    private final class AdminNode implements AdminRequestHandler.Node {
        @Override
        public RaftReplica replica() {
            return replica;
        }

        @Override
        public String leaderAddress() {
            String leader = replica != null ? replica.leaderName() : follower.pollTarget();
            return addresses.getOrDefault(leader, "");
        }

        @Override
        public String statusPage() {
            return PolicyStatusPage.render(
                    channel.nodeName(), appliedLease, follower, replica, leaderAddress(), host.nowMs());
        }

        @Override
        public void execute(Runnable task) {
            thread.execute(task);
        }
    }
}
