package spartrail.endpoint.sources;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class EndpointSourcesFileTest {
    @TempDir
    private Path folder;

    private String readAndDescribe(String text) throws Exception {
        Path file = folder.resolve("members.json");
        Files.writeString(file, text.replace('\'', '"'));
        try {
            EndpointSourcesFile sources = EndpointSourcesFile.read(file);
            return "floor " + sources.limits().floor() + ", 10.1.2.3 "
                    + sources.allowedAddresses().test("10.1.2.3:80") + ", 10.2.0.1 "
                    + sources.allowedAddresses().test("10.2.0.1:80") + ", a name "
                    + sources.allowedAddresses().test("books.example.org:80");
        } catch (IllegalArgumentException e) {
            return e.getMessage().replace(folder.toString(), "FOLDER");
        }
    }

    @Test
    void errorsAreOneLineWithTheirPosition() throws Exception {
        assertThat(String.join(
                        "\n",
                        readAndDescribe("{}"),
                        readAndDescribe("{'allow':['10.1.0.0/16'],'merge':{'floor':3}}"),
                        readAndDescribe("{'allow':['0.0.0.0/0']}"),
                        readAndDescribe("{'allow':['ten/8']}"),
                        readAndDescribe("{'merge':{'flor':3}}"),
                        readAndDescribe("{'merge':{'floor':-1}}"),
                        readAndDescribe("{'roll':{}}"),
                        readAndDescribe("{\n'allow':"),
                        readAndDescribe("[]")))
                .isEqualTo(
                        """
                floor 1, 10.1.2.3 false, 10.2.0.1 false, a name false
                floor 3, 10.1.2.3 true, 10.2.0.1 false, a name false
                floor 1, 10.1.2.3 true, 10.2.0.1 true, a name false
                FOLDER/members.json: /allow: found 'ten/8', a range such as 10.0.0.0/8 is expected
                FOLDER/members.json: /merge/flor: is unknown, one of [confirmAnswers, confirmMs, flapForgetMs, flapMostMs, \
                flapMs, floor, freezeMs, keptMs, mostMembers, rollConfirmMs, suspectMs] is expected
                FOLDER/members.json: /merge/floor: found -1, a number of 0 or more is expected
                FOLDER/members.json: /roll: is unknown, one of [allow, dns, merge] is expected
                FOLDER/members.json:2: no JSON: Unexpected end-of-input within/between Object entries
                FOLDER/members.json: a JSON object is expected""");
    }
}
