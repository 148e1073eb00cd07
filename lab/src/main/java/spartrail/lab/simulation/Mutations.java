package spartrail.lab.simulation;

import java.io.IOException;
import java.net.URL;
import java.net.URLClassLoader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import javax.tools.JavaCompiler;
import javax.tools.ToolProvider;
import spartrail.lab.file.InvalidInputException;

/**
 * Mutations of the production source that runs on the simulated network, to verify that the rules detect them. Each
 * one replaces a text of one source file. The mutated class is compiled and put before the real one on the class
 * path; then the same seeds are run.
 */
public final class Mutations {
    /**
     * A mutation and the one place in the source that it changes; the match ignores line breaks and other white
     * space.
     */
    public record Mutation(String file, String name, String text, String replacement) {}

    /** The seed, rule and fleet size that detected a mutation; all empty if none did. */
    public record Outcome(Mutation mutation, String seed, String rule, String size) {
        public boolean isCaught() {
            return !seed.isEmpty();
        }
    }

    /** Mutations of the peers' membership protocol. */
    public static final List<Mutation> PEERS = List.of(
            new Mutation(
                    "peers/StateTransitions",
                    "an older update replaces a newer one",
                    "peer.descriptor, peer.state) <= 0) {",
                    "peer.descriptor, peer.state) == 0) {"),
            new Mutation(
                    "peers/Suspicions",
                    "suspicions time out while health is in doubt",
                    "if (!health.maySuspect()) {",
                    "if (false) {"),
            new Mutation(
                    "peers/FailureDetector",
                    "a node with a health problem suspects others",
                    "peer.hasIncarnation(probe.incarnation) && health.maySuspect()) {",
                    "peer.hasIncarnation(probe.incarnation)) {"),
            new Mutation(
                    "peers/PauseDetector",
                    "a process pause is not noticed",
                    "return latenessMs > timings.pauseThresholdMs();",
                    "return latenessMs > 1e12;"),
            new Mutation(
                    "peers/UpdateHandler",
                    "a node refutes nothing",
                    "local.refute(update.descriptor().refutations());",
                    ""),
            new Mutation(
                    "peers/LocalPeer",
                    "a refutation keeps the same number",
                    "withIncarnation(incarnation(), refutations + 1)",
                    "withIncarnation(incarnation(), refutations)"),
            new Mutation(
                    "peers/SwimMembership", "departed peers are not probed", "failureDetector.probeDeparted();", ""),
            new Mutation(
                    "peers/SwimMembership",
                    "a fresh ack about this node is ignored",
                    "if (isTrusted || isFreshAck && isAboutLocal) {",
                    "if (isTrusted || false && isAboutLocal) {"),
            new Mutation(
                    "peers/FailureDetector",
                    "no indirect probes are sent",
                    "if (probe != currentProbe || probe.acknowledged) {",
                    "if (true) {"),
            new Mutation(
                    "peers/FailureDetector",
                    "an indirect ack does not count",
                    "if (found.compareTo(currentProbe.incarnation) >= 0) {",
                    "if (false) {"),
            new Mutation(
                    "peers/StateTransitions",
                    "the digest leaves out new peers",
                    "table.updateDigest(peer);",
                    "if (previousState != null) { table.updateDigest(peer); }"),
            new Mutation("peers/Dissemination", "updates are retransmitted without limit", "peer.transmissions++;", ""),
            new Mutation(
                    "peers/LocalPeer",
                    "a leaving node does not announce it",
                    "state = PeerState.LEFT;",
                    "state = PeerState.ALIVE;"),
            new Mutation(
                    "peers/NameConflict",
                    "a later former incarnation is not exceeded",
                    "startIncarnationAfter(other.incarnation());",
                    ""),
            new Mutation(
                    "peers/Suspicions",
                    "a suspicion never times out",
                    "deadlineMs), () -> onTimeout(peer));",
                    "deadlineMs), () -> { });"),
            new Mutation(
                    "peers/LocalHealth",
                    "a node that is cut off does not notice it",
                    "unansweredRounds >= MAX_UNANSWERED_ROUNDS",
                    "unansweredRounds >= 1000"),
            new Mutation(
                    "peers/LocalHealth",
                    "suspicions go on when confidence returns",
                    "return hadNoConfidence && !isAwaitingAcksAfterPause();",
                    "return false;"),
            new Mutation(
                    "peers/SwimMembership",
                    "suspects are not probed again",
                    "if (!local.hasLeft() && !nameConflict.isNameLost()) {\n            failureDetector.probeSuspects();",
                    "if (false) {\n            failureDetector.probeSuspects();"),
            new Mutation(
                    "peers/SwimMembership",
                    "unknown contacts are not probed",
                    "if (contacts.add(address) && rateLimiter",
                    "if (false && rateLimiter"));

    private static final String FOLLOWER = "policy/PolicyFollower";
    private static final String LEADER = "policy/PolicyLeader";
    private static final String LOG = "policy/PolicyLog";

    /** Mutations of the policy version protocol. */
    public static final List<Mutation> POLICY = List.of(
            new Mutation(
                    LEADER,
                    "a version takes effect once it is decided",
                    "if (nowMs - knownSinceMs < times.leaseExpiryBoundMs()) {",
                    "if (false) {"),
            new Mutation(
                    "policy/PolicyTimings",
                    "the leader waits for half a lease",
                    "return leaseMs * (1 + maxClockDrift) / (1 - maxClockDrift);",
                    "return leaseMs / 2;"),
            new Mutation(
                    "policy/PolicyTimings",
                    "the leader's wait ignores clock drift",
                    "return leaseMs * (1 + maxClockDrift) / (1 - maxClockDrift);",
                    "return leaseMs;"),
            new Mutation(
                    FOLLOWER,
                    "a lease counts from the response",
                    "polledAtMs + times.leaseMs()",
                    "nowMs + times.leaseMs()"),
            new Mutation(
                    FOLLOWER,
                    "a lease does not expire",
                    "Math.max(leaseEndMs, polledAtMs + times.leaseMs())",
                    "Double.POSITIVE_INFINITY"),
            new Mutation(
                    FOLLOWER,
                    "an outdated response is applied",
                    "lastResponse != null && response.appliedIndex() < lastResponse.appliedIndex()",
                    "false"),
            new Mutation(
                    FOLLOWER,
                    "no joint settings after the decision",
                    "pending != null && pending.stage() == PolicyVersion.Stage.DECIDED;",
                    "false;"),
            new Mutation(
                    FOLLOWER,
                    "an isolated node forgets the proposal",
                    "new PolicyLease(jointLabel + \"?\", jointSettings, true",
                    "new PolicyLease(jointLabel + \"?\", activeSettings, true"),
            new Mutation(
                    FOLLOWER,
                    "a starting node is ready at once",
                    "nowMs - startedAtMs >= times.startupTimeoutMs()",
                    "nowMs >= startedAtMs"),
            new Mutation(
                    FOLLOWER,
                    "without a response settings are not joint",
                    "new PolicyLease(LOCAL_LABEL, localSettings, true,",
                    "new PolicyLease(\"0\", localSettings, false,"),
            new Mutation(FOLLOWER, "no node records its vote", "        votedNumber = number;\n", ""),
            new Mutation(LEADER, "an objection is ignored", "if (!vote.objection().isEmpty()) {", "if (false) {"),
            new Mutation(
                    LEADER,
                    "missing votes are not waited for",
                    "if (missing.isEmpty() && hasLedLongEnough) {",
                    "if (hasLedLongEnough) {"),
            new Mutation(
                    LEADER,
                    "a proposal with missing votes stays open",
                    "if (nowMs - knownSinceMs < times.voteTimeoutMs()) {",
                    "if (true) {"),
            new Mutation(
                    LOG,
                    "a version may skip a stage",
                    "if (isDecided != (operation.kind() == Kind.HOLD)) {",
                    "if (false) {"),
            new Mutation(
                    LOG,
                    "a proposal sent twice counts as two",
                    "            if (version.token().equals(operation.token())) {",
                    "            if (false) {"),
            new Mutation(
                    "policy/SettingRule",
                    "joint settings take the looser time",
                    "case SMALLER -> Math.min(",
                    "case SMALLER -> Math.max("));

    private static final Pattern WORD = Pattern.compile("\\w+");
    private static final Pattern TOKEN = Pattern.compile("\\w+|\\S");

    private Mutations() {}

    /** Runs the seeds with each mutation, in parallel; each mutation runs until the first seed that detects it. */
    public static List<Outcome> run(Path root, List<Mutation> mutations, long from, long count, int most)
            throws Exception {
        List<Callable<Outcome>> runs = new ArrayList<>();
        for (Mutation mutation : mutations) {
            Path source = root.resolve("core/src/main/java/spartrail/" + mutation.file() + ".java");
            if (!Files.isReadable(source)) {
                throw new InvalidInputException(
                        source + ": cannot be read; mutations need the repository's source tree");
            }
            String text = Files.readString(source);
            Matcher matcher = patternOf(mutation.text()).matcher(text);
            long occurrences = matcher.results().count();
            if (occurrences != 1) {
                throw new InvalidInputException("the mutation '" + mutation.name()
                        + "' does not fit the source: its text occurs " + occurrences + " times, expected once");
            }
            String changed = matcher.reset().replaceFirst(Matcher.quoteReplacement(mutation.replacement()));
            runs.add(() -> runMutated(mutation, changed, from, count, most));
        }
        ExecutorService executor =
                Executors.newFixedThreadPool(Runtime.getRuntime().availableProcessors());
        try {
            List<Outcome> outcomes = new ArrayList<>();
            for (Future<Outcome> future : executor.invokeAll(runs)) {
                outcomes.add(future.get());
            }
            return outcomes;
        } finally {
            executor.shutdownNow();
        }
    }

    /** Returns a pattern that matches this source text with any white space between its tokens. */
    private static Pattern patternOf(String text) {
        StringBuilder pattern = new StringBuilder();
        String before = "";
        for (Matcher token = TOKEN.matcher(text); token.find(); before = token.group()) {
            boolean areWords = WORD.matcher(before).matches()
                    && WORD.matcher(token.group()).matches();
            pattern.append(before.isEmpty() ? "" : areWords ? "\\s+" : "\\s*").append(Pattern.quote(token.group()));
        }
        return Pattern.compile(pattern.toString());
    }

    private static Outcome runMutated(Mutation mutation, String text, long from, long count, int most)
            throws Exception {
        Path folder = Files.createTempDirectory("spartrail-plant");
        try {
            Path file = Files.createDirectories(folder.resolve("source"))
                    .resolve(mutation.file().replaceAll(".*/", "") + ".java");
            Files.writeString(file, text);
            Path classes = Files.createDirectories(folder.resolve("classes"));
            String path = System.getProperty("java.class.path");
            JavaCompiler compiler = ToolProvider.getSystemJavaCompiler();
            if (compiler == null
                    || compiler.run(null, null, null, "-cp", path, "-d", classes.toString(), file.toString()) != 0) {
                throw new IOException("the source does not compile with the mutation '" + mutation.name() + "'");
            }
            List<URL> urls = new ArrayList<>();
            urls.add(classes.toUri().toURL());
            for (String entry : path.split(java.io.File.pathSeparator)) {
                urls.add(Path.of(entry).toUri().toURL());
            }
            try (URLClassLoader loader =
                    new URLClassLoader(urls.toArray(new URL[0]), ClassLoader.getPlatformClassLoader())) {
                String line = (String) loader.loadClass(
                                (mutation.file().startsWith("peers") ? Exploration.class : PolicyScenario.class)
                                        .getName())
                        .getMethod("firstBreach", long.class, long.class, int.class)
                        .invoke(null, from, count, most);
                String[] parts = line.split("\t");
                return line.isEmpty()
                        ? new Outcome(mutation, "", "", "")
                        : new Outcome(mutation, parts[0], parts[1], parts[2]);
            }
        } finally {
            try (Stream<Path> files = Files.walk(folder)) {
                files.sorted(java.util.Comparator.reverseOrder())
                        .forEach(each -> each.toFile().delete());
            }
        }
    }
}
