package spartrail.front;

import java.io.IOException;
import java.io.InterruptedIOException;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.ServiceLoader;
import spartrail.model.NodeClock;
import spartrail.peers.PeerLane;
import spartrail.policy.PolicyTalk;
import spartrail.policy.Ruling;
import spartrail.policy.Terms;
import spartrail.provisioning.DeploymentFile;
import spartrail.provisioning.PolicyFields;

/** The node's side of versions of policy: what it needs to know of its settings, and what the loop is to go by. Decides nothing. */
final class PolicyNode implements PolicyTalk.Host {
    /** Settings made of terms, so that the same terms are the same settings; a few versions at a time are of use. */
    private static final int MOST_MADE = 8;

    private final NodeClock clock;
    private final NodeLoop loop;
    private final Map<Terms, DeploymentFile> made = new LinkedHashMap<>();
    private PolicyTalk.Running running;
    private DeploymentFile own;

    PolicyNode(DeploymentFile own, NodeClock clock, NodeLoop loop) {
        this.own = own;
        this.clock = clock;
        this.loop = loop;
    }

    static PolicyTalk policyTalk() {
        return ServiceLoader.load(PolicyTalk.class)
                .findFirst()
                .orElseThrow(
                        () -> new IllegalArgumentException(
                                "--state is given, but no jar on the class path knows versions of policy; bin/spartrail puts it there"));
    }

    PeerLane start(Path state) throws IOException {
        running = policyTalk().start(state, this);
        return running;
    }

    void awaitRuling() throws IOException {
        try {
            running.awaitRuling();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new InterruptedIOException("interrupted while it started");
        }
    }

    /** The node's own settings are these from now on; versions are stated on top of them. */
    void own(DeploymentFile changed) {
        synchronized (made) {
            own = changed;
            made.clear();
        }
        running.own(PolicyFields.of(changed));
    }

    void close() {
        running.close();
    }

    @Override
    public double nowMs() {
        return clock.nowMs();
    }

    @Override
    public Terms own() {
        synchronized (made) {
            return PolicyFields.of(own);
        }
    }

    @Override
    public String rehearse(Terms terms) {
        try {
            new Rehearsal(clock).decide(deployment(terms));
            return "";
        } catch (RuntimeException | Error e) {
            return e instanceof IllegalArgumentException ? e.getMessage() : "it broke the rehearsal: " + e;
        }
    }

    private DeploymentFile deployment(Terms terms) {
        synchronized (made) {
            DeploymentFile file = made.get(terms);
            if (file == null) {
                file = PolicyFields.with(own, terms);
                made.put(terms, file);
                if (made.size() > MOST_MADE) {
                    made.remove(made.keySet().iterator().next());
                }
            }
            return file;
        }
    }

    @Override
    public void rule(Ruling ruling) {
        loop.rule(ruled(ruling));
    }

    private Ruled ruled(Ruling ruling) {
        return ruling == null
                ? null
                : new Ruled(ruling.name(), deployment(ruling.terms()), ruling.untilMs(), ruled(ruling.next()));
    }
}
