package spartrail.lab.drill;

import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.EnumMap;
import java.util.Map;
import spartrail.lab.experiment.NodeProcess;
import spartrail.lab.experiment.NodeSettings;
import spartrail.lab.file.Document;
import spartrail.lab.fleet.Fleet;
import spartrail.lab.fleet.FleetListener;
import spartrail.lab.fleet.FleetPlan;
import spartrail.lab.load.AttemptResult;
import spartrail.lab.load.LoadListener;
import spartrail.lab.load.LoadSession;
import spartrail.lab.load.Recorder;
import spartrail.lab.plan.LoadPlan;

/**
 * Runs two front nodes of small memory with usual load and {@link BadClients} at each, while index servers pause, hang,
 * and are killed. Both nodes must live on, answer all usual requests in time, answer all requests that were sent at once
 * in their clients' time, and give no client a value that was made for another one.
 */
final class BadClientsDrill implements Drill {
    private static final int NODES = 2;
    private static final double DURATION_MS = 12_000;

    @Override
    public String name() {
        return "bad-clients";
    }

    @Override
    public String summary() {
        return "half requests, requests sent at once and reused ids at two nodes, while servers hang: usual clients are served";
    }

    @Override
    public String subsystem() {
        return "client connections";
    }

    private static FleetPlan buildFleet(long seed) {
        String text =
                "{'seed':" + seed + ",'nodes':2,'layout':{'shards':4,'cells':4,'reach':2},'kinds':{'std':{'cores':4,"
                        + "'workMs':20,'warmMs':1000,'tipMultiple':1000}},'servers':[{'kind':'std','count':8}],'script':["
                        + "{'atMs':2000,'do':'pause','servers':['s-0','s-1'],'lastsMs':300},"
                        + "{'atMs':4000,'do':'hang','servers':['s-2'],'lastsMs':800},"
                        + "{'atMs':6000,'do':'kill','servers':['s-3']},{'atMs':8000,'do':'start','servers':['s-3']},"
                        + "{'atMs':9000,'do':'pause','servers':['s-4','s-5'],'lastsMs':300}]}";
        return FleetPlan.of(Document.parse("fleet", text.replace('\'', '"').getBytes(StandardCharsets.UTF_8), "fleet"));
    }

    @Override
    public void run(long seed, Findings findings) throws Exception {
        NodeSettings settings = new NodeSettings(Document.JSON.readTree("{\"memoryMb\":96,\"openCap\":200,"
                + "\"opTypes\":[{\"name\":\"orders\",\"budgetMs\":1500,\"timeoutMs\":3000,\"floor\":0.9}]}"));
        LoadPlan load = DrillPlans.parse("{'seed':" + seed + ",'lagBoundMs':60000,'phases':[{'lastsMs':" + DURATION_MS
                + ",'rate':{'shape':'steady','perS':40}}],'streams':[{'opTypes':[{'name':'orders'}],"
                + "'shards':{'of':4,'least':2},'clientMs':3000}]}");
        Path folder = Files.createTempDirectory("spartrail-drill");
        try (Fleet fleet = new Fleet(buildFleet(seed), FleetListener.NONE);
                NodeProcess first = startNode(0, settings, fleet, folder, seed);
                NodeProcess second = startNode(1, settings, fleet, folder, seed)) {
            fleet.startScript();
            try (LoadSession firstLoad = startLoad(load, first);
                    LoadSession secondLoad = startLoad(load, second);
                    BadClients firstClients = new BadClients(portOf(first));
                    BadClients secondClients = new BadClients(portOf(second))) {
                firstLoad.await(60_000);
                secondLoad.await(60_000);
                check(findings, "n0", first, firstLoad.recorder(), firstClients);
                check(findings, "n1", second, secondLoad.recorder(), secondClients);
            }
        } finally {
            try (var files = Files.list(folder)) {
                files.forEach(file -> file.toFile().delete());
            }
            Files.delete(folder);
        }
    }

    private static NodeProcess startNode(int number, NodeSettings settings, Fleet fleet, Path folder, long seed)
            throws Exception {
        String listen = "127.0.0.1:" + NodeProcess.freePort();
        return NodeProcess.start(
                NodeProcess.ownJar(),
                settings.config(number, NODES, listen, fleet, seed),
                folder,
                "n" + number,
                settings.memoryMb());
    }

    private static LoadSession startLoad(LoadPlan load, NodeProcess node) {
        return new LoadSession(
                DrillPlans.at(load, node.address()), load.arrivals(), load.durationMs(), LoadListener.NONE);
    }

    private static int portOf(NodeProcess node) {
        return Integer.parseInt(node.address().substring(node.address().lastIndexOf(':') + 1));
    }

    private static void check(Findings findings, String name, NodeProcess node, Recorder usual, BadClients badClients) {
        long unanswered = 0;
        Map<AttemptResult, Long> results = new EnumMap<>(AttemptResult.class);
        for (AttemptResult result : AttemptResult.values()) {
            unanswered += result.isUnanswered() ? usual.count(result) : 0;
            results.put(result, usual.count(result));
        }
        results.values().removeIf(count -> count == 0);
        findings.checkEqual(name + ": the node is alive", true, node.handle().isAlive());
        findings.checkEqual(name + ": usual requests without an answer in time", 0L, unanswered);
        findings.checkEqual(name + ": usual requests with a wrong value", 0L, usual.count(AttemptResult.WRONG));
        findings.note(name + ": results of usual requests", results.toString());
        findings.checkAtLeast(name + ": half requests", 1000, badClients.halfRequests());
        findings.checkAtLeast(name + ": requests sent at once, answered in time", 100, badClients.answeredInTime());
        findings.checkEqual(name + ": requests sent at once, not answered in time", 0L, badClients.unanswered());
        findings.checkAtLeast(name + ": values for reused ids", 100, badClients.ownValues());
        findings.checkEqual(name + ": values made for another client with the id", 0L, badClients.foreignValues());
    }
}
