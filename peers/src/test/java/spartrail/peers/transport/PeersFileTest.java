package spartrail.peers.transport;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class PeersFileTest {
    private static final String GOOD =
            "{\"fleet\":\"recife\",\"name\":\"n1\",\"listen\":\"127.0.0.1:7400\",\"seeds\":[\"127.0.0.1:7401\"]}";

    @TempDir
    private Path folder;

    private String check(String text) throws IOException {
        Path file = folder.resolve("peers.json");
        Files.writeString(file, text);
        try {
            new DatagramPeerTransport().check(file);
            return "good\n";
        } catch (IllegalArgumentException e) {
            return e.getMessage().replace(file.toString(), "FILE") + "\n";
        }
    }

    @Test
    void errorsNameTheFieldInOneLine() throws IOException {
        assertThat(check(GOOD)
                        + check("{\n'")
                        + check("[]")
                        + check(GOOD.replace("fleet", "fleets"))
                        + check(GOOD.replace("\"n1\"", "\"n 1\""))
                        + check(GOOD.replace("127.0.0.1:7400", "front:7400"))
                        + check(GOOD.replace("127.0.0.1:7401", "127.0.0.1:99999"))
                        + check(GOOD.replace("127.0.0.1:7400", "0.0.0.0:7400"))
                        + check(GOOD.replace("127.0.0.1:7400", "10.0.0.1:7400"))
                        + check(GOOD.replace("}", ",\"allow\":[\"10.0.0.0\"]}"))
                        + check(GOOD.replace("}", ",\"weight\":-1}"))
                        + check(GOOD.replace("}", ",\"times\":{\"answerMs\":600}}"))
                        + check(GOOD.replace("}", ",\"times\":{\"round\":600}}"))
                        + check(GOOD.replace("}", ",\"times\":{\"wordBytes\":60000}}")))
                .isEqualTo(
                        """
                        good
                        FILE:2: no JSON: Unexpected character
                        FILE: a JSON object is expected
                        FILE: /fleets: is unknown, one of [advertise, allow, fleet, listen, name, operators, policy, seeds, settings, times, weight, zone] is expected
                        FILE: /name: found 'n 1', letters, digits, '.', '_' and '-' are expected
                        FILE: /listen: found 'front:7400', an address such as 10.0.3.7:7400 is expected
                        FILE: /seeds/0: found '127.0.0.1:99999', an address such as 10.0.3.7:7400 is expected
                        FILE: /advertise: is missing, the address that others reach it by is expected where /listen is 0.0.0.0
                        FILE: /advertise: found 10.0.0.1:7400, an address within /allow is expected
                        FILE: /allow: found '10.0.0.0', a range such as 10.0.0.0/8 is expected
                        FILE: /weight: found -1, a number above 0 is expected
                        FILE: /times/answerMs: found 600.0 at rounds of 500.0, rounds of 10 or more and less for an answer than a round are expected
                        FILE: /times/round: is unknown, one of [answerMs, answersPerS, keptMs, mostPeers, roundMs, staleMs, stoodMs, suspectRounds, wordBytes] is expected
                        FILE: /times/wordBytes: found 60000, at most 1000 is expected, as a message is one datagram
                        """);
    }
}
