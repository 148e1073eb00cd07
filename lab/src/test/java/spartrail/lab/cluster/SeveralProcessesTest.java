package spartrail.lab.cluster;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.BufferedReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import spartrail.lab.experiment.NodeProcess;
import spartrail.lab.file.Document;
import spartrail.lab.rules.PeersRules;
import spartrail.lab.rules.PolicyRules;

/** Runs several front node processes with faults between them. Steps wait for history lines, not for fixed times. */
class SeveralProcessesTest {
    private static final String PLAN = "{'nodes':5,'lastsMs':90000,'ends':'all','peers':{},"
            + "'fleet':{'layout':{'shards':4,'cells':2,'reach':2},'kinds':{'std':{'cores':2,'workMs':1,'warmMs':1000,"
            + "'tipMultiple':1000}},'servers':[{'kind':'std','count':4}]},"
            + "'settings':{'opTypes':[{'name':'orders','budgetMs':3000,'timeoutMs':6000,'floor':0.9}]},'steps':[";

    @TempDir
    private Path folder;

    private ClusterHarness.Outcome play(String steps) throws Exception {
        ClusterPlan plan = ClusterPlan.of(Document.parse(
                "plan", (PLAN + steps + "]}").replace('\'', '"').getBytes(StandardCharsets.UTF_8), "nodes"));
        try (ClusterHarness cluster = new ClusterHarness(plan, folder, line -> {})) {
            return cluster.play();
        }
    }

    @Test
    void allNodesDetectASecondCrashDuringTheSuspicionOfTheFirst() throws Exception {
        ClusterHarness.Outcome outcome = play("{'when':{'atMs':200},'do':'kill','nodes':['n3']},"
                + "{'name':'second','when':{'seen':{'node':'any','of':'n3','is':'SUSPECT'}},'do':'kill','nodes':['n4']},"
                + "{'when':{'seen':{'node':'any','of':'n3','is':'GONE','times':3}},'do':'heal'},"
                + "{'name':'last','when':{'seen':{'node':'any','of':'n4','is':'GONE','times':3}},'do':'heal'}");
        PeersRules rules = new HistoryChecker(5).check(outcome.history().inOrder(), false);
        assertThat(outcome.unexecutedSteps()).isEmpty();
        assertThat(rules.breaches()).isEmpty();
        assertThat(rules.detectionTimesMs()).hasSizeGreaterThanOrEqualTo(6);
    }

    @Test
    void viewsMergeAfterAPartitionAndALeavingNodeIsSeenAsLeft() throws Exception {
        ClusterHarness.Outcome outcome =
                play("{'name':'cut','when':{'atMs':200},'do':'cut','nodes':['n0','n1'],'others':['n2','n3','n4']},"
                        + "{'name':'gone','when':{'seen':{'node':'n4','of':'n0','is':'GONE'}},'do':'heal'},"
                        + "{'name':'back','when':{'step':'gone','seen':{'node':'n4','of':'n0','is':'ALIVE'}},'do':'terminate','nodes':['n1']},"
                        + "{'name':'last','when':{'seen':{'node':'n4','of':'n1','is':'LEFT'}},'do':'heal'}");
        assertThat(outcome.unexecutedSteps()).isEmpty();
        assertThat(new HistoryChecker(5)
                        .check(outcome.history().inOrder(), false)
                        .breaches())
                .isEmpty();
    }

    /**
     * Kills the leader as soon as it reports the decision. The version takes effect nevertheless, and no two nodes
     * decide by different versions at the same time.
     */
    @Test
    void policyVersionTakesEffectAlthoughTheLeaderIsKilled() throws Exception {
        ClusterPlan plan = ClusterPlan.of(Document.parse(
                "plan",
                (PLAN.replace(
                                        "'peers':{}",
                                        "'peers':{'policy':{'deciders':['n0','n1','n2'],"
                                                + "'leaseMs':2000,'askMs':300,'prepareMs':15000}},'load':{'phases':[{'lastsMs':60000,'rate':{'shape':'steady','perS':60}}],"
                                                + "'streams':[{'opTypes':[{'name':'orders'}],'shards':{'of':4,'least':2},'clientMs':6000}]}")
                                + "{'name':'p','when':{'atMs':200},'do':'propose','nodes':['n4'],'settings':{'opTypes':{'orders':{'budgetMs':1500}}}},"
                                + "{'name':'lost','when':{'step':'p','seen':{'node':'any','line':{'what':'log','stage':'DECIDED','leading':true}}},"
                                + "'do':'kill','nodes':['seen']},"
                                + "{'name':'again','when':{'step':'lost','afterMs':100},'do':'start','nodes':['down']},"
                                + "{'name':'last','when':{'step':'lost','seen':{'node':'any','line':{'what':'policy','by':'1'},'times':5}},'do':'heal'}]}")
                        .replace('\'', '"')
                        .getBytes(StandardCharsets.UTF_8),
                "nodes"));
        try (ClusterHarness cluster = new ClusterHarness(plan, folder, line -> {})) {
            ClusterHarness.Outcome outcome = cluster.play();
            PolicyRules rules = new PolicyHistoryChecker(
                            5, List.of(0, 1, 2), new PolicyRules.Bounds(2000, 60_000, 90_000))
                    .check(outcome.history().inOrder(), outcome.policyRecords());
            assertThat(outcome.unexecutedSteps()).isEmpty();
            assertThat(rules.breaches()).isEmpty();
            assertThat(rules.judged()).isPositive();
            assertThat(outcome.policyRecords())
                    .extracting(PolicyRules.MultigetDecision::label)
                    .contains("0", "0|1");
        }
    }

    @Test
    void allProcessesEndWhenTheHarnessIsKilled() throws Exception {
        Path plan = folder.resolve("plan.json");
        Files.writeString(plan, (PLAN + "]}").replace("'ends':'all',", "").replace('\'', '"'));
        Process harnessProcess = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-cp",
                        System.getProperty("java.class.path"),
                        "spartrail.lab.Main",
                        "nodes",
                        "run",
                        plan.toString())
                .redirectErrorStream(true)
                .start();
        List<ProcessHandle> nodes;
        try (BufferedReader lines = harnessProcess.inputReader()) {
            for (String line = lines.readLine();
                    line != null && !line.contains("know each other");
                    line = lines.readLine()) {
                // Reads on until all nodes know each other.
            }
            nodes = harnessProcess.descendants().toList();
            harnessProcess.destroyForcibly();
        }
        assertThat(nodes).hasSizeGreaterThanOrEqualTo(5);
        for (ProcessHandle node : nodes) {
            node.onExit().get(30, TimeUnit.SECONDS);
        }
    }

    @Test
    void noPeerOrPolicyClassIsLoadedWithoutAPeersFile() throws Exception {
        Process process = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-Xlog:class+load",
                        "-Xshare:off",
                        "-cp",
                        NodeProcess.ownJar().toString(),
                        "spartrail.Main",
                        "check",
                        "--start",
                        "example/config.json")
                .redirectErrorStream(true)
                .start();
        List<String> lines = process.inputReader().lines().collect(Collectors.toList());
        assertThat(process.waitFor()).isZero();
        assertThat(lines).anyMatch(line -> line.contains("spartrail.front.CoordinatorLoop "));
        assertThat(lines)
                .noneMatch(line -> line.contains("spartrail.peers.")
                        || line.contains("spartrail.peers.transport.")
                        || line.contains("spartrail.policy.")
                        || line.contains("spartrail.policy.replication."));
    }
}
