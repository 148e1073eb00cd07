package spartrail.peers.transport;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class PeersFileTest {
    private static final String VALID =
            "{\"fleet\":\"recife\",\"name\":\"n1\",\"listen\":\"127.0.0.1:7400\",\"seeds\":[\"127.0.0.1:7401\"]}";

    @TempDir
    private Path folder;

    /** Checks a peers file with this content; returns "valid" or the error message, as one line. */
    private String check(String text) throws IOException {
        Path file = folder.resolve("peers.json");
        Files.writeString(file, text);
        try {
            new DatagramPeerTransport().check(file);
            return "valid\n";
        } catch (IllegalArgumentException e) {
            return e.getMessage().replace(file.toString(), "FILE") + "\n";
        }
    }

    @Test
    void errorMessagesAreOneLineWithTheFieldTheFoundAndTheExpectedValue() throws IOException {
        assertThat(check(VALID)
                        + check("{\n'")
                        + check("[]")
                        + check(VALID.replace("fleet", "fleets"))
                        + check(VALID.replace("\"n1\"", "\"n 1\""))
                        + check(VALID.replace("127.0.0.1:7400", "front:7400"))
                        + check(VALID.replace("127.0.0.1:7401", "127.0.0.1:99999"))
                        + check(VALID.replace("127.0.0.1:7400", "0.0.0.0:7400"))
                        + check(VALID.replace("127.0.0.1:7400", "10.0.0.1:7400"))
                        + check(VALID.replace("}", ",\"allow\":[\"10.0.0.0\"]}"))
                        + check(VALID.replace("}", ",\"weight\":-1}"))
                        + check(VALID.replace("}", ",\"times\":{\"answerMs\":600}}"))
                        + check(VALID.replace("}", ",\"times\":{\"round\":600}}"))
                        + check(VALID.replace("}", ",\"times\":{\"wordBytes\":60000}}")))
                .isEqualTo(
                        """
                        valid
                        FILE:2: not valid JSON: Unexpected character
                        FILE: a JSON object is expected
                        FILE: /fleets: is unknown, one of [advertise, allow, fleet, listen, name, operators, policy, seeds, settings, times, weight, zone] is expected
                        FILE: /name: found 'n 1', letters, digits, '.', '_' and '-' are expected
                        FILE: /listen: found 'front:7400', an address such as 10.0.3.7:7400 is expected
                        FILE: /seeds/0: found '127.0.0.1:99999', an address such as 10.0.3.7:7400 is expected
                        FILE: /advertise: is missing, the address at which other nodes reach this one is expected because /listen is 0.0.0.0
                        FILE: /advertise: found 10.0.0.1:7400, an address within /allow is expected
                        FILE: /allow: found '10.0.0.0', a range such as 10.0.0.0/8 is expected
                        FILE: /weight: found -1, a number above 0 is expected
                        FILE: /times/answerMs: found 600.0 with roundMs 500.0, a roundMs of at least 10 and an answerMs below roundMs are expected
                        FILE: /times/round: is unknown, one of [answerMs, answersPerS, keptMs, mostPeers, roundMs, staleMs, stoodMs, suspectRounds, wordBytes] is expected
                        FILE: /times/wordBytes: found 60000, at most 1000 is expected because a message has to fit into one datagram
                        """);
    }
}
