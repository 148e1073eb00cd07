package spartrail.lab.drill;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import spartrail.lab.dns.DnsServerEmulator;
import spartrail.lab.experiment.NodeProcess;
import spartrail.lab.experiment.NodeSettings;
import spartrail.lab.file.Document;
import spartrail.lab.fleet.Fleet;
import spartrail.lab.fleet.FleetPlan;
import spartrail.lab.load.AttemptResult;
import spartrail.lab.load.LoadSession;
import spartrail.lab.plan.LoadPlan;
import spartrail.lab.rules.RuleChecker;

/**
 * Runs a real front node under load whose endpoints come from discovery and from DNS. In the contradiction, discovery
 * drains a server that DNS still lists, and then stops responding. In the outage, discovery does not respond from the
 * start and the node knows no endpoints, so all endpoints come from DNS; later the name servers truncate responses and
 * refuse TCP, and then stop responding.
 */
final class DnsNodeDrill implements Drill {
    private static final int SERVERS = 4;
    private final boolean isContradiction;

    DnsNodeDrill(boolean isContradiction) {
        this.isContradiction = isContradiction;
    }

    @Override
    public String name() {
        return isContradiction ? "dns-contradict" : "dns-outage";
    }

    @Override
    public String summary() {
        return isContradiction
                ? "DNS lists a server that discovery drains before it stops: no work to it after the grace"
                : "discovery does not respond and the name servers truncate, then stop: service continues";
    }

    @Override
    public String subsystem() {
        return "membership";
    }

    private static Document parse(String text, String schema) {
        return Document.parse(schema, text.replace('\'', '"').getBytes(StandardCharsets.UTF_8), schema);
    }

    @Override
    public void run(long seed, Findings findings) throws Exception {
        String script = isContradiction
                ? "[{'atMs':1500,'do':'drain','servers':['s-1']},{'atMs':3500,'do':'roll-silent','lastsMs':60000}]"
                : "[{'atMs':0,'do':'roll-silent','lastsMs':600000}]";
        FleetPlan plan = FleetPlan.of(parse(
                "{'seed':" + seed + ",'layout':{'shards':4,'cells':2,'reach':2},'kinds':{'std':{'cores':2,"
                        + "'workMs':1,'warmMs':1000,'tipMultiple':1000}},'servers':[{'kind':'std','count':" + SERVERS
                        + "}],'script':"
                        + script + "}",
                "fleet"));
        NodeSettings settings = new NodeSettings(Document.JSON.readTree(
                "{\"opTypes\":[{\"name\":\"orders\",\"budgetMs\":3000,\"timeoutMs\":5000,\"floor\":0.9}]}"));
        RuleChecker checker = new RuleChecker(settings.terms());
        LoadPlan load = DrillPlans.parse(
                "{'seed':" + seed + ",'lagBoundMs':60000,'phases':[{'lastsMs':9000,'rate':{'shape':'steady',"
                        + "'perS':60}}],'streams':[{'opTypes':[{'name':'orders'}],'shards':{'of':4,'least':2},'clientMs':5000}]}");
        Path folder = Files.createTempDirectory("spartrail-drill");
        try (Fleet fleet = new Fleet(plan, checker);
                DnsServerEmulator nameServer = new DnsServerEmulator(seed)) {
            writeSourcesFile(fleet, nameServer, folder);
            if (!isContradiction) {
                fleet.startScript();
            }
            String listen = "127.0.0.1:" + NodeProcess.freePort();
            ObjectNode config = settings.config(0, 1, listen, fleet, seed);
            if (!isContradiction) {
                config.set("known", Document.JSON.readTree("{\"rev\":0,\"all\":true,\"targets\":[]}"));
            }
            try (NodeProcess node = NodeProcess.start(
                    NodeProcess.ownJar(), config, folder, "n0", settings.memoryMb(), folder.resolve("members.json"))) {
                // TTLs are one second. After two rounds of queries the node knows all servers.
                long untilQueries = nameServer.queries() + 2L * (SERVERS + 2);
                for (int i = 0; nameServer.queries() < untilQueries && i < 6000; i++) {
                    Thread.sleep(5);
                }
                try (LoadSession session = new LoadSession(
                        DrillPlans.at(load, node.address()), load.arrivals(), load.durationMs(), checker)) {
                    if (isContradiction) {
                        fleet.startScript();
                    }
                    for (int i = 0; !session.await(1000) && i < 60; i++) {
                        if (!isContradiction && i == 2) {
                            nameServer.setBehavior(DnsServerEmulator.Behavior.TRUNCATE_AND_REFUSE_TCP);
                        } else if (!isContradiction && i == 5) {
                            nameServer.setBehavior(DnsServerEmulator.Behavior.SILENT);
                        }
                    }
                    check(findings, session, checker, fleet, node);
                }
            }
        } finally {
            try (var files = Files.list(folder)) {
                files.forEach(file -> file.toFile().delete());
            }
            Files.delete(folder);
        }
    }

    private static void check(
            Findings findings, LoadSession session, RuleChecker checker, Fleet fleet, NodeProcess node) {
        long servedWhole = session.recorder().count(AttemptResult.WHOLE);
        long attempts = session.recorder().all();
        checker.verdicts()
                .forEach(verdict ->
                        findings.checkEqual("breaches of rule: " + verdict.rule().text, 0L, verdict.broken()));
        findings.checkAtLeast("share of attempts served whole", 0.95, servedWhole / (double) Math.max(1, attempts));
        int usedServers = 0;
        for (var server : fleet.figures()) {
            usedServers += server.path("parts").asLong() > 0 ? 1 : 0;
        }
        findings.checkEqual("servers that were sent parts", SERVERS, usedServers);
        findings.checkEqual("the node is alive", true, node.handle().isAlive());
    }

    /** Adds every server to DNS under one SRV name per cell, and writes the node's file of endpoint sources. */
    private static void writeSourcesFile(Fleet fleet, DnsServerEmulator nameServer, Path folder) throws IOException {
        StringBuilder list = new StringBuilder();
        for (int cell = 0; cell < fleet.plan().cells(); cell++) {
            String name = "_books._tcp.c" + cell + ".books.example.org.";
            List<String> lines = new ArrayList<>();
            for (FleetPlan.ServerSpec server : fleet.plan().servers()) {
                if (server.cell() == cell) {
                    String[] address = fleet.serverAddress(0, server.id()).split(":");
                    lines.add("1 SRV 0 5 " + address[1] + " " + server.id() + ".books.example.org.");
                    nameServer.setRecords("A", server.id() + ".books.example.org.", List.of("1 A " + address[0]));
                }
            }
            nameServer.setRecords("SRV", name, lines);
            list.append(cell == 0 ? "" : ",")
                    .append("{\"name\":\"")
                    .append(name)
                    .append("\",\"cell\":")
                    .append(cell)
                    .append('}');
        }
        Files.writeString(
                folder.resolve("members.json"),
                "{\"allow\":[\"127.0.0.0/8\"],\"dns\":{\"servers\":[\"127.0.0.1:"
                        + nameServer.address().getPort() + "\"],\"bailiwick\":\"books.example.org\",\"names\":[" + list
                        + "]}}");
    }
}
