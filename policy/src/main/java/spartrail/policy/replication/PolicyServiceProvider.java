package spartrail.policy.replication;

import java.io.IOException;
import java.nio.file.Path;
import spartrail.policy.PolicyService;

/** Provides policy versions by a Raft log that is replicated by datagrams and stored on disk. */
public final class PolicyServiceProvider implements PolicyService {
    static {
        // The Raft library's log output is discarded. Without this setting SLF4J warns on standard error that it has no
        // provider.
        System.getProperties().putIfAbsent("slf4j.internal.verbosity", "ERROR");
    }

    @Override
    public Running start(Path state, Host host) throws IOException {
        return new PolicyAgent(state, host);
    }
}
