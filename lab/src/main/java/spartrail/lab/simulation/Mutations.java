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
 * Faults planted in the source of what is played on the virtual network, to see whether the checks find them: each one is a text of a
 * file and what stands there instead. The changed class is compiled beside the real ones and the same seeds are played with it.
 */
public final class Mutations {
    /** A fault, and the one place in the source that it changes; how lines are broken there does not matter. */
    public record Mutation(String file, String name, String text, String replacement) {}

    /** Whether it was found, by which seed and rule. */
    public record Outcome(Mutation mutation, String seed, String rule, String size) {
        public boolean isCaught() {
            return !seed.isEmpty();
        }
    }

    /** Faults of peers. */
    public static final List<Mutation> PEERS = List.of(
            new Mutation(
                    "peers/StateTransitions",
                    "older news replaces newer",
                    "peer.descriptor, peer.state) <= 0) {",
                    "peer.descriptor, peer.state) == 0) {"),
            new Mutation(
                    "peers/Suspicions",
                    "a node in doubt ends suspicions",
                    "if (!health.maySuspect()) {",
                    "if (false) {"),
            new Mutation(
                    "peers/FailureDetector",
                    "a node in doubt suspects",
                    "peer.hasIncarnation(probe.incarnation) && health.maySuspect()) {",
                    "peer.hasIncarnation(probe.incarnation)) {"),
            new Mutation(
                    "peers/PauseDetector",
                    "a standstill is not noticed",
                    "return latenessMs > timings.pauseThresholdMs();",
                    "return latenessMs > 1e12;"),
            new Mutation(
                    "peers/UpdateHandler",
                    "nothing is refuted",
                    "local.refute(update.descriptor().refutations());",
                    ""),
            new Mutation(
                    "peers/LocalPeer",
                    "refuted with the same turn",
                    "withIncarnation(incarnation(), refutations + 1)",
                    "withIncarnation(incarnation(), refutations)"),
            new Mutation("peers/SwimMembership", "nobody looks for the lost", "failureDetector.probeDeparted();", ""),
            new Mutation(
                    "peers/SwimMembership",
                    "what a new answer says of this node is not heard",
                    "if (isTrusted || isFreshAck && isAboutLocal) {",
                    "if (isTrusted || false && isAboutLocal) {"),
            new Mutation(
                    "peers/FailureDetector",
                    "helpers are not asked",
                    "if (probe != currentProbe || probe.acknowledged) {",
                    "if (true) {"),
            new Mutation(
                    "peers/FailureDetector",
                    "a helper's find does not count",
                    "if (found.compareTo(currentProbe.incarnation) >= 0) {",
                    "if (false) {"),
            new Mutation(
                    "peers/StateTransitions",
                    "the digest leaves out who is new",
                    "table.updateDigest(peer);",
                    "if (previousState != null) { table.updateDigest(peer); }"),
            new Mutation("peers/Dissemination", "news is passed on for ever", "peer.transmissions++;", ""),
            new Mutation(
                    "peers/LocalPeer",
                    "who leaves does not say so",
                    "state = PeerState.LEFT;",
                    "state = PeerState.ALIVE;"),
            new Mutation(
                    "peers/NameConflict",
                    "a former life's later start is not outbid",
                    "startIncarnationAfter(other.incarnation());",
                    ""),
            new Mutation(
                    "peers/Suspicions",
                    "a suspicion never ends",
                    "deadlineMs), () -> onTimeout(peer));",
                    "deadlineMs), () -> { });"),
            new Mutation(
                    "peers/LocalHealth",
                    "a node that is cut off does not notice",
                    "unansweredRounds >= MAX_UNANSWERED_ROUNDS",
                    "unansweredRounds >= 1000"),
            new Mutation(
                    "peers/LocalHealth",
                    "suspicions go on where doubt ends",
                    "return hadNoConfidence && !isAwaitingAcksAfterPause();",
                    "return false;"),
            new Mutation(
                    "peers/SwimMembership",
                    "suspects are not asked again",
                    "if (!local.hasLeft() && !nameConflict.isNameLost()) {\n            failureDetector.probeSuspects();",
                    "if (false) {\n            failureDetector.probeSuspects();"),
            new Mutation(
                    "peers/SwimMembership",
                    "strangers are not met",
                    "if (contacts.add(address) && rateLimiter",
                    "if (false && rateLimiter"));

    private static final String FOLLOWER = "policy/PolicyFollower";
    private static final String LEADER = "policy/PolicyLeader";
    private static final String LOG = "policy/PolicyLog";

    /** Faults of versions of policy. */
    public static final List<Mutation> POLICY = List.of(
            new Mutation(
                    LEADER,
                    "a version holds as soon as it is decided",
                    "if (nowMs - knownSinceMs < times.leaseExpiryBoundMs()) {",
                    "if (false) {"),
            new Mutation(
                    "policy/PolicyTimings",
                    "the leader waits for half a lease",
                    "return leaseMs * (1 + maxClockDrift) / (1 - maxClockDrift);",
                    "return leaseMs / 2;"),
            new Mutation(
                    "policy/PolicyTimings",
                    "the leader's wait leaves drift out",
                    "return leaseMs * (1 + maxClockDrift) / (1 - maxClockDrift);",
                    "return leaseMs;"),
            new Mutation(
                    FOLLOWER,
                    "a lease counts from the answer",
                    "polledAtMs + times.leaseMs()",
                    "nowMs + times.leaseMs()"),
            new Mutation(
                    FOLLOWER,
                    "a lease does not end",
                    "Math.max(leaseEndMs, polledAtMs + times.leaseMs())",
                    "Double.POSITIVE_INFINITY"),
            new Mutation(
                    FOLLOWER,
                    "what was overtaken is taken up",
                    "lastResponse != null && response.appliedIndex() < lastResponse.appliedIndex()",
                    "false"),
            new Mutation(
                    FOLLOWER,
                    "nobody is guarded after the decision",
                    "pending != null && pending.stage() == PolicyVersion.Stage.DECIDED;",
                    "false;"),
            new Mutation(
                    FOLLOWER,
                    "out of touch the proposal is forgotten",
                    "new PolicyLease(jointLabel + \"?\", jointSettings, true",
                    "new PolicyLease(jointLabel + \"?\", activeSettings, true"),
            new Mutation(
                    FOLLOWER,
                    "a node that starts is ready at once",
                    "nowMs - startedAtMs >= times.startupTimeoutMs()",
                    "nowMs >= startedAtMs"),
            new Mutation(
                    FOLLOWER,
                    "a node that heard nothing is not guarded",
                    "new PolicyLease(LOCAL_LABEL, localSettings, true,",
                    "new PolicyLease(\"0\", localSettings, false,"),
            new Mutation(FOLLOWER, "nobody says that it can", "        votedNumber = number;\n", ""),
            new Mutation(LEADER, "a no is not heard", "if (!vote.objection().isEmpty()) {", "if (false) {"),
            new Mutation(
                    LEADER,
                    "nobody is waited for",
                    "if (missing.isEmpty() && hasLedLongEnough) {",
                    "if (hasLedLongEnough) {"),
            new Mutation(
                    LEADER,
                    "a proposal that not all answer stays open",
                    "if (nowMs - knownSinceMs < times.voteTimeoutMs()) {",
                    "if (true) {"),
            new Mutation(
                    LOG,
                    "any stage leads to any other",
                    "if (isDecided != (operation.kind() == Kind.HOLD)) {",
                    "if (false) {"),
            new Mutation(
                    LOG,
                    "the same proposal sent twice is two",
                    "            if (version.token().equals(operation.token())) {",
                    "            if (false) {"),
            new Mutation(
                    "policy/SettingRule",
                    "guarded is the looser of two times",
                    "case SMALLER -> Math.min(",
                    "case SMALLER -> Math.max("));

    private static final Pattern WORD = Pattern.compile("\\w+");
    private static final Pattern TOKEN = Pattern.compile("\\w+|\\S");

    private Mutations() {}

    /** Plays the seeds with each fault planted. */
    public static List<Outcome> run(Path root, List<Mutation> mutations, long from, long count, int most)
            throws Exception {
        List<Callable<Outcome>> plays = new ArrayList<>();
        for (Mutation mutation : mutations) {
            Path source = root.resolve("core/src/main/java/spartrail/" + mutation.file() + ".java");
            if (!Files.isReadable(source)) {
                throw new InvalidInputException(
                        source + ": is not there; faults are planted in the repository's source");
            }
            String text = Files.readString(source);
            Matcher place = place(mutation.text()).matcher(text);
            long places = place.results().count();
            if (places != 1) {
                throw new InvalidInputException("the fault '" + mutation.name()
                        + "' does not fit the source any more: its text is there " + (places == 0 ? "never" : "twice"));
            }
            String changed = place.reset().replaceFirst(Matcher.quoteReplacement(mutation.replacement()));
            plays.add(() -> played(mutation, changed, from, count, most));
        }
        ExecutorService players =
                Executors.newFixedThreadPool(Runtime.getRuntime().availableProcessors());
        try {
            List<Outcome> caught = new ArrayList<>();
            for (Future<Outcome> played : players.invokeAll(plays)) {
                caught.add(played.get());
            }
            return caught;
        } finally {
            players.shutdownNow();
        }
    }

    /** Where a text of the source stands, however its lines are broken. */
    private static Pattern place(String text) {
        StringBuilder pattern = new StringBuilder();
        String before = "";
        for (Matcher token = TOKEN.matcher(text); token.find(); before = token.group()) {
            boolean words = WORD.matcher(before).matches()
                    && WORD.matcher(token.group()).matches();
            pattern.append(before.isEmpty() ? "" : words ? "\\s+" : "\\s*").append(Pattern.quote(token.group()));
        }
        return Pattern.compile(pattern.toString());
    }

    private static Outcome played(Mutation mutation, String text, long from, long count, int most) throws Exception {
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
                throw new IOException("the source with '" + mutation.name() + "' does not compile");
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
