package spartrail.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class CommandLineTest {
    @TempDir
    private Path folder;

    private String run(String... args) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        PrintStream out = new PrintStream(bytes, true, StandardCharsets.UTF_8);
        int status = CommandLine.run(args, out, out);
        return status + " " + bytes.toString(StandardCharsets.UTF_8).replace(folder.toString(), "FOLDER").strip();
    }

    private String check(String text) throws IOException {
        Path file = folder.resolve("config.json");
        Files.writeString(file, text);
        return run("check", file.toString());
    }

    @Test
    void whatIsWrongWithAConfigurationIsSaidInOneLine() throws IOException {
        String good = Files.readString(Path.of("example/config.json"));
        assertThat(String.join("\n", check(good), check("{"), check("[]"), check("{}"),
                check(good.replace("127.0.0.1:3000", "front:3000")), check(good.replace("\"discovery\": \"127", "\"d\": \"127")),
                check(good.replace("\"uid\": \"s-2\"", "\"uid\": 2")), check(good.replace("\"aim\": 2.0,", "")),
                check(good.replace("\"effect\": \"free\"", "\"effect\": \"odd\"")), check(good.replace("\"fetch-parts\": [0]", "\"fetch-parts\": [3]")),
                check(good.replace("\"slabs\": 4", "\"slabs\": \"4\"")), run("check", folder.resolve("none").toString()))).isEqualTo("""
                0 usable: node n0 on /127.0.0.1:3000, op types [orders], 4 servers known
                2 spartrail: no JSON: Unexpected end-of-input: expected close marker for Object in line 1
                2 spartrail: a JSON object is expected
                2 spartrail: 'settings' is missing or no object
                2 spartrail: no address of the form host:port: front:3000
                2 spartrail: 'discovery' is missing or no text
                2 spartrail: a line of the list has 'uid' and 'pod_group'
                2 spartrail: the settings lack 'aim' of class orders
                2 spartrail: unknown effect 'odd' of class orders
                2 spartrail: an op type with a second step or a stream has no form on these sockets
                2 spartrail: a setting is of the wrong kind
                2 spartrail: cannot read FOLDER/none""");
    }

    @Test
    void whatIsUnknownEndsWithTheUsage() {
        assertThat(run("launch")).startsWith("2 spartrail: ").contains("usage: spartrail serve [--config FILE]");
        assertThat(run("serve", "--colour", "red")).startsWith("2 spartrail: ").contains("usage: ");
        assertThat(run()).startsWith("2 spartrail: ").contains("usage: ");
        assertThat(run("version")).startsWith("0 spartrail ");
    }
}
