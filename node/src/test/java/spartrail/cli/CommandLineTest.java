package spartrail.cli;

import static org.assertj.core.api.Assertions.assertThat;

import com.sun.net.httpserver.HttpServer;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import sun.misc.Signal;

class CommandLineTest {
    @TempDir
    private Path folder;

    private String run(String... args) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        PrintStream out = new PrintStream(bytes, true, StandardCharsets.UTF_8);
        int status = CommandLine.run(args, out, out);
        return status + " "
                + bytes.toString(StandardCharsets.UTF_8)
                        .replace(folder.toString(), "FOLDER")
                        .strip();
    }

    private String check(String text) throws IOException {
        Path file = folder.resolve("config.json");
        Files.writeString(file, text);
        return run("check", file.toString());
    }

    /** The output of the check for a good configuration, for others with one fault each, and for a missing file. */
    private String checkAll(String good) throws IOException {
        return String.join(
                "\n",
                check(good),
                check("{"),
                check("[]"),
                check("{}"),
                check(good.replace("127.0.0.1:3000", "front:3000")),
                check(good.replace("\"discovery\": \"127", "\"d\": \"127")),
                check(good.replace("\"uid\": \"s-2\"", "\"uid\": 2")),
                check(good.replace("\"aim\": 2.0,", "")),
                check(good.replace("\"effect\": \"free\"", "\"effect\": \"odd\"")),
                check(good.replace("\"fetch-parts\": [0]", "\"fetch-parts\": [3]")),
                check(good.replace("\"slabs\": 4", "\"slabs\": \"4\"")),
                check(good.replace("\"fall\": 1.0", "\"fall\": 1.0, \"further-ratio\": 0.1")),
                check(good.replace("\"aim\": 2.0", "\"aim\": 5.0")),
                check(good.replace("\"late-share\": 0.3", "\"late-share\": 3")),
                check(good.replace("\"try-limit\": 4", "\"try-limit\": -4")),
                check(good.replace("\"cancelling\": true", "\"cancelling\": 1")),
                check(good.replace("\"effect\": \"free\"", "\"effect\": \"guarded\"")),
                check(good.replace("\"try-limit\": 4", "\"t\": 4")),
                check(good.replace("\"keepalive\": 30.0,", "")),
                check(good.replace("\"cold-share\": 0.2,", "")),
                check(good.replace("\"stop-sending-within\": 0.5,", "")),
                check(good.replace("\"width\": 2", "\"width\": 5")),
                check(good.replace("\"peers-total\": 1,", "")),
                check(good.replace("\"sockets\": 1024", "\"sockets\": 0")),
                check(good.replace("\"classes\": [", "\"classes\": [], \"old\": [")),
                check(good.replace("\"classes\": [", "\"classes\": [3, ")),
                check(good.replace("\"rules\": {", "\"rules\": 7, \"old\": {")),
                run("check", folder.resolve("none").toString()));
    }

    @Test
    void theFaultOfAConfigurationIsReportedInOneLine() throws IOException {
        String good = Files.readString(Path.of("example/config.json"));
        assertThat(checkAll(good))
                .isEqualTo(
                        """
                0 usable: node n0 on /127.0.0.1:3000, op types [orders], 4 servers known
                2 spartrail: FOLDER/config.json: invalid JSON: Unexpected end-of-input: expected close marker for Object in line 1
                2 spartrail: FOLDER/config.json: a JSON object is expected
                2 spartrail: FOLDER/config.json: 'settings' is missing or not an object
                2 spartrail: FOLDER/config.json: found 'front:3000', an address host:port with an IP address or localhost as host is expected
                2 spartrail: FOLDER/config.json: 'discovery' is missing or not a string
                2 spartrail: FOLDER/config.json: entry of 'targets' lacks a text 'uid' or a number 'pod_group'
                2 spartrail: FOLDER/config.json: the settings lack 'aim' of class orders
                2 spartrail: FOLDER/config.json: 'effect' of class orders: found 'odd', free, guarded or single_shot is expected
                2 spartrail: FOLDER/config.json: class orders: found a second step or a stream, which this node does not support
                2 spartrail: FOLDER/config.json: 'slabs of family-info': found "4", a number of 0 or more is expected
                2 spartrail: FOLDER/config.json: 'budget-window' of rules: found null, a number above 0 is expected with min-extra or further-ratio
                2 spartrail: FOLDER/config.json: class orders: found aim 5.0, no more than its deadline, 4.0, is expected
                2 spartrail: FOLDER/config.json: 'late-share': found 3, a share of 0 to 1 is expected
                2 spartrail: FOLDER/config.json: 'try-limit of bounds': found -4, a number of 0 or more is expected
                2 spartrail: FOLDER/config.json: 'cancelling': found 1, true or false is expected
                2 spartrail: FOLDER/config.json: the settings lack 'key-ttl' of class orders
                2 spartrail: FOLDER/config.json: the settings lack 'try-limit' of bounds
                2 spartrail: FOLDER/config.json: the settings lack 'keepalive' of bounds
                2 spartrail: FOLDER/config.json: the settings lack 'cold-share' of rules
                2 spartrail: FOLDER/config.json: the settings lack 'stop-sending-within' of rules
                2 spartrail: FOLDER/config.json: 'width of family-info': found 5, no more than the 'sets', 4, is expected
                2 spartrail: FOLDER/config.json: the settings lack 'peers-total'
                2 spartrail: FOLDER/config.json: 'sockets of limits': found 0, a number of 1 or more is expected
                2 spartrail: FOLDER/config.json: 'classes': found [], a list of one or more is expected
                2 spartrail: FOLDER/config.json: 'classes': found 3, an object is expected
                2 spartrail: FOLDER/config.json: 'rules': found 7, an object is expected
                2 spartrail: cannot read FOLDER/none""");
    }

    private String showSubset(String setting, String list) throws IOException {
        Path config = folder.resolve("subset.json");
        Files.writeString(
                config,
                Files.readString(Path.of("example/config.json"))
                        .replace("\"sets\": 4, \"width\": 2", "\"sets\": 2, \"width\": 1")
                        .replace("\"tick\"", setting + "\"tick\""));
        Path servers = folder.resolve("list.json");
        Files.writeString(servers, list);
        return run("subset", "show", "--config", config.toString(), "--list", servers.toString());
    }

    @Test
    void theServersOfASubsetAreShownAndAFaultySettingIsReportedInOneLine() throws IOException {
        String list = "{\"rev\":1,\"all\":true,\"targets\":["
                + IntStream.range(0, 8)
                        .mapToObj(number -> "{\"uid\":\"s-" + number
                                + "\",\"endpoint\":\"127.0.0.1:7001\",\"az\":\"" + "ab".charAt(number / 2 % 2)
                                + "\",\"pod_group\":" + number % 2
                                + ",\"state\":\"SERVING\"}")
                        .collect(Collectors.joining(","))
                + "]}";
        String good = "\"subset\": {\"replicasPerShard\": 2, \"leastZones\": 2}, ";
        assertThat(showSubset(good, list))
                .startsWith("0 node n0 uses 4 of 8 live servers; each is used by 0.5 of 1 nodes on average, by more"
                        + " than 1 with a chance below 1e-06")
                .contains("(2 spares, 2 zones)");
        assertThat(String.join(
                        "\n",
                        showSubset("", list),
                        showSubset(good, "{}"),
                        showSubset(good, "["),
                        showSubset(good.replace("2}", "3}"), list),
                        showSubset(good.replace(": 2,", ": 1.5,"), list),
                        showSubset(good.replace("leastZones", "zones"), list),
                        showSubset("\"subset\": 4, ", list)))
                .isEqualTo(
                        """
                2 spartrail: FOLDER/subset.json: 'subset' of settings is missing, so this node uses all servers
                2 spartrail: FOLDER/list.json: server list lacks a number 'rev' or an array 'targets'
                2 spartrail: FOLDER/list.json: invalid JSON: Unexpected end-of-input: expected close marker for Array
                2 spartrail: FOLDER/subset.json: 'leastZones of subset': found 3, 1 to 'replicasPerShard', 2, is expected
                2 spartrail: FOLDER/subset.json: 'replicasPerShard of subset': found 1.5, a whole number is expected
                2 spartrail: FOLDER/subset.json: the settings lack 'leastZones' of subset
                2 spartrail: FOLDER/subset.json: 'subset': found 4, an object is expected""");
        assertThat(run("subset", "draw", "--config", "c", "--list", "l"))
                .isEqualTo("2 spartrail: subset: found 'draw', 'show' is expected");
    }

    @Test
    void anUnknownCommandOrOptionPrintsTheUsage() {
        assertThat(run("launch")).startsWith("2 spartrail: ").contains("usage: spartrail serve [--config FILE]");
        assertThat(run("serve", "--colour", "red")).startsWith("2 spartrail: ").contains("usage: ");
        assertThat(run()).startsWith("2 spartrail: ").contains("usage: ");
        assertThat(run("version")).startsWith("0 spartrail ");
    }

    @Test
    void helpPrintsTheOptionsOfACommand() {
        assertThat(run("serve", "--help"))
                .startsWith("0 spartrail serve [--config FILE]")
                .contains("--record-mb N", "BALANCER_CONFIG");
        assertThat(run("check", "--help")).startsWith("0 spartrail check FILE").contains("--start");
        assertThat(run("check", "config.json", "--help")).startsWith("0 spartrail check FILE");
        assertThat(run("--help")).startsWith("0 usage: spartrail serve");
    }

    /** Starts a discovery service that records its requests and answers none. */
    private static HttpServer startDiscovery(String name, BlockingQueue<String> events) throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 0);
        server.createContext("/", exchange -> events.add(name + " was requested"));
        server.start();
        return server;
    }

    @Test
    void sighupMovesDiscoveryAndIgnoresAnInvalidFile() throws Exception {
        BlockingQueue<String> events = new LinkedBlockingQueue<>();
        HttpServer oldDiscovery = startDiscovery("the old address", events);
        HttpServer newDiscovery = startDiscovery("the new address", events);
        String text = Files.readString(Path.of("example/config.json")).replace("127.0.0.1:3000", "127.0.0.1:0");
        Path file = folder.resolve("config.json");
        Files.writeString(
                file, text.replace(":8500", ":" + oldDiscovery.getAddress().getPort()));
        Thread serving = new Thread(() -> run("serve", "--config", file.toString()));
        serving.setDaemon(true);
        serving.start();
        assertThat(events.poll(20, TimeUnit.SECONDS)).isEqualTo("the old address was requested");
        Files.writeString(file, "{");
        Signal.raise(new Signal("HUP"));
        Files.writeString(
                file, text.replace(":8500", ":" + newDiscovery.getAddress().getPort()));
        Signal.raise(new Signal("HUP"));
        // The node repeats its request to a silent discovery until the signal.
        String next = events.poll(20, TimeUnit.SECONDS);
        while ("the old address was requested".equals(next)) {
            next = events.poll(20, TimeUnit.SECONDS);
        }
        assertThat(next).isEqualTo("the new address was requested");
        oldDiscovery.stop(0);
        newDiscovery.stop(0);
    }
}
