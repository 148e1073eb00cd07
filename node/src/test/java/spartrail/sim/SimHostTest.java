package spartrail.sim;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.io.StringReader;
import java.io.StringWriter;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

class SimHostTest {
    private static final String INFO =
            """
            {"tick":0.005,"peers-total":1,"unheard-of":[1],"bounds":{"try-limit":1000},\
            "rules":{"cold-share":1,"warm-within":0,"tip-multiple":1,"fall":0},"classes":[{"name":"read","aim":1.0,"deadline":2.0,"effect":"free"}],
            "family-info":{"slabs":2,"sets":2,"width":2}}"""
                    .replace("\n", "");
    private static final String START =
            """
            {"t":5.0,"groups":[{"i":0,"items":[["POWER_ON",7,%s],["ROSTER",0,[["10.0.0.1:1","a","k",0,"live",1,null],\
            ["10.0.0.2:1","a","k",1,"live",1,null]]],["DISCOVERY",0,"C",1]]}]}
            """;
    private final ByteArrayOutputStream errors = new ByteArrayOutputStream();
    private final StringWriter out = new StringWriter();

    private int run(String input) throws IOException {
        return new SimHost(out, new PrintStream(errors, true, StandardCharsets.UTF_8)).run(new StringReader(input));
    }

    @Test
    void answersAMultigetOverTheSimulatorProtocol() throws IOException {
        int status = run(
                START.formatted(INFO)
                        + """
                {"t":5.01,"groups":[{"i":0,"items":[["INCOMING",9,"read",null,null,2.0,null,1,-1,2,false,false],\
                ["INCOMING",11,"read",null,null,2.0,null,1,0,0.5,false,false],\
                ["INCOMING",12,"read",null,null,2.0,null,1,1,0.5,false,false],["UNHEARD_OF",1]]}]}
                {"t":5.05,"groups":[{"i":0,"items":[["COMPLETED",11,0,"10.0.0.1:1","S",0.04,true,null],\
                ["COMPLETED",77,0,"10.0.0.1:1","S",0.04,true,null],["CLIENT_GONE",78],["BELL","old"]]}]}
                {"t":5.06,"groups":[{"i":0,"items":[["COMPLETED",12,0,"10.0.0.2:1","S",0.05,true,null],\
                ["COMPLETED",12,0,"10.0.0.2:1","S",0.05,true,null]]}]}
                {"t":5.07,"groups":[{"i":0,"items":[["POWER_OFF"]]}]}
                """);
        assertThat(status).isZero();
        assertThat(errors.toString(StandardCharsets.UTF_8)).isEmpty();
        assertThat(out.toString())
                .isEqualTo(
                        """
                {"groups":[{"i":0,"cmds":[["ARM","wait",0.0]]}]}
                {"groups":[{"i":0,"cmds":[["TRY",11,0.75,"10.0.0.1:1"],["TRY",12,0.75,"10.0.0.2:1"]]}]}
                {"groups":[{"i":0,"cmds":[["ARM","wait",0.085]]}]}
                {"groups":[{"i":0,"cmds":[["REPLY_NOW",9,true]]}]}
                {"groups":[]}
                """);
    }

    @Test
    void stopsAtALineThatIsNoValidBatch() throws IOException {
        assertThat(run("{\"t\":1.0,\"groups\":[]}\n{\"t\":oops}\n")).isEqualTo(2);
        assertThat(run("{\"t\":1.0,\"groups\":7}\n")).isEqualTo(2);
        assertThat(run("{\"t\":1.0,\"groups\":[{\"items\":[[\"BELL\",\"x\"]]}]}\n"))
                .isEqualTo(2);
        assertThat(errors.toString(StandardCharsets.UTF_8).lines().toList())
                .satisfiesExactly(
                        line -> assertThat(line).startsWith("line 2: invalid JSON: Unrecognized token 'oops'"),
                        line -> assertThat(line)
                                .isEqualTo(
                                        "line 1: invalid batch: expected an object with a number 't' and an array 'groups'; stopping"),
                        line -> assertThat(line)
                                .isEqualTo(
                                        "line 1: invalid batch: expected a group with an integer 'i', found 'i' null; stopping"));
    }

    @Test
    void reportsAMissingSettingInAGiveInAction() throws IOException {
        assertThat(run(START.formatted(INFO.replace("\"aim\":1.0,", "")))).isZero();
        assertThat(out.toString()).contains("[\"GIVE_IN\",\"the settings lack 'aim' of class read\"]");
    }
}
