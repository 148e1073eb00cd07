package spartrail.policy;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards the JSON text of settings, in which policy versions are stored and compared, against a change of form. */
class TermsFormsTest {
    private static final String NESTED =
            """
            {"opTypes":{
              "a":{"budgetMs":2000,"timeoutMs":4000.5,"need":1,"floor":0.9,"dedupMs":0,"repeat":"RETRIABLE",
                   "importance":1,"lateShare":0.3,"partialShare":1e-3},
              "b":{"repeat":"DEDUPED","importance":123456789},
              "c":{"repeat":"NON_RETRIABLE"}},
             "sends":{"most":4,"parallel":true},
             "furtherSends":{"spanMs":10000,"free":10,"share":0.1},
             "cold":{"leastShare":0.2,"warmMs":10000,"tipMultiple":2,"fallMs":1000},
             "comeback":{"told":false,"longestMs":1000},
             "inHand":{"most":200}}""";

    private static String readStored() throws IOException {
        try (InputStream in = TermsFormsTest.class.getResourceAsStream("/forms/terms.txt")) {
            List<String> lines = new String(in.readAllBytes(), StandardCharsets.UTF_8)
                    .lines()
                    .filter(line -> !line.startsWith("#"))
                    .toList();
            return lines.get(0);
        }
    }

    @Test
    void eachFieldIsWrittenInItsStoredForm() throws IOException {
        assertThat(PolicySettings.parse(NESTED).toJson()).isEqualTo(readStored());
    }

    @Test
    void storedTextIsReadAndWrittenUnchanged() throws IOException {
        assertThat(PolicySettings.parse(readStored()).toJson()).isEqualTo(readStored());
    }
}
