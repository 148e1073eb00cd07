package spartrail.lab.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import spartrail.lab.Table;

class LabCommandLineTest {
    @TempDir
    private Path folder;

    private String run(String... args) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        PrintStream out = new PrintStream(bytes, true, StandardCharsets.UTF_8);
        int status = LabCommandLine.run(args, out, out);
        return status + " "
                + bytes.toString(StandardCharsets.UTF_8)
                        .replace(folder.toString(), "FOLDER")
                        .strip();
    }

    private String writeFile(String name, String text) throws Exception {
        Path file = folder.resolve(name);
        Files.writeString(file, text.replace('\'', '"'));
        return file.toString();
    }

    @Test
    void invalidInputPrintsOneLineAndExitsWithStatus2() throws Exception {
        String plan = writeFile(
                "plan.json",
                "{'phases':[{'lastsMs':10,'rate':{'shape':'steady','perS':1}}],'streams':[{'opTypes':"
                        + "[{'name':'o'}],'shards':{'of':1},'clientMs':10}]}");
        String fleet =
                writeFile("fleet.json", "{'layout':{'shards':1,'cells':1},'kinds':{'a':{}},'servers':[{'kind':'b'}]}");
        String script = writeFile(
                "script.json",
                "{'layout':{'shards':1,'cells':1},'kinds':{'a':{}},'servers':[{'kind':'a'}],"
                        + "'script':[{'atMs':1,'do':'slow','servers':['s-9']}]}");
        Table.same(
                "bad-input",
                String.join(
                        "\n",
                        run("launch"),
                        run("load"),
                        run("load", "run"),
                        run("load", "run", "--loud", "x"),
                        run("load", "run", folder.resolve("none").toString()),
                        run("load", "run", plan),
                        run("load", "run", plan, "--target", "192.0.2.1:80"),
                        run("load", "plan", writeFile("bad.json", "{\n'phases': [}")),
                        run("fleet", "run", fleet),
                        run("fleet", "run", script),
                        run("drill", "run", "none"),
                        run("load", "replay", plan + "x", "--target", "127.0.0.1:1"),
                        run("load", "replay", plan, "--target", "127.0.0.1:1", "--speed", "0"),
                        run(
                                "experiment",
                                "show",
                                "none",
                                "--store",
                                folder.resolve("no/store").toString()),
                        run(
                                "experiment",
                                "show",
                                "none",
                                "--store",
                                folder.resolve("store").toString()),
                        run("experiment", "prune", "--keep", "-1"),
                        run("drill", "list", "--log", "loud"),
                        run("completion", "tcsh")));
    }

    @Test
    void helpOfEachCommandListsItsOptions() {
        for (String name : LabCommandLine.COMMANDS.keySet()) {
            String[] words = (name + " --help").split(" ");
            assertThat(run(words)).startsWith("0 spartrail " + name).contains("--help");
        }
        assertThat(run("--help")).startsWith("0 ").contains("serve", "load run", "drill run");
        assertThat(run("completion", "bash")).contains("complete -F", "experiment\\ compare");
    }

    @Test
    void drillsWithoutRealTimePass() {
        assertThat(run("drill", "run", "load-trace-order", "rules-planted", "--seed", "3"))
                .startsWith("0 ")
                .doesNotContain("differs");
    }

    @Test
    void invalidSizesOfScaleTestsAndFleetsPrintOneLine() {
        assertThat(String.join(
                        "\n",
                        run("scale", "run", "module-hip").replaceAll("there are .*", "..."),
                        run("scale", "run", "list-bytes", "--size", "10", "--size", "20"),
                        run("scale", "run", "list-bytes", "--subset", "1"),
                        run("subset", "even", "--nodes", "0"),
                        run("subset", "check", "--replicas", "2")))
                .isEqualTo(
                        """
                        2 spartrail: no scale test is named 'module-hip'; ...
                        2 spartrail: --size: found [10, 20], 4 different sizes or more are expected
                        2 spartrail: --subset: found 1, 0 or a number of 2 or more is expected
                        2 spartrail: numbers of 1 or more are expected
                        2 spartrail: 'leastZones of subset': found 3, 1 to 'replicasPerShard', 2, is expected""");
    }

    @Test
    void scaleTestAppendsALineOfJsonToTheStore() throws Exception {
        Path store = folder.resolve("scale.jsonl");
        String[] sizes = {"--size", "10", "--size", "20", "--size", "40", "--size", "80"};
        assertThat(run(
                        "scale",
                        "run",
                        "list-bytes",
                        sizes[0],
                        sizes[1],
                        sizes[2],
                        sizes[3],
                        sizes[4],
                        sizes[5],
                        sizes[6],
                        sizes[7],
                        "--store",
                        store.toString()))
                .contains("| servers | MB | fit | residual |", "(by the fit; largest size run 80)");
        assertThat(Files.readString(store))
                .startsWith("{\"test\":\"list-bytes\"")
                .endsWith("}\n");
    }
}
