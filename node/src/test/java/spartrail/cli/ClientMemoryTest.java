package spartrail.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import spartrail.cli.BadClient.Kind;

/** Hundreds of clients that send slowly or stop must not make a node's process exceed its memory limit. */
class ClientMemoryTest extends NodeProcessFixture {
    private static final System.Logger LOG = System.getLogger("spartrail.test");
    private static final int MEMORY_MB = 96;
    private static final int CLIENTS = 500;
    private static final double RUN_SECONDS = 3;

    ClientMemoryTest() throws IOException {}

    private void assertMemoryStaysWithinItsLimit(Kind kind) throws Exception {
        Files.writeString(
                configurationFile, validConfiguration.replace("\"memory_mb\": 192", "\"memory_mb\": " + MEMORY_MB));
        startNodeByStartCommand("");
        int port = awaitPort();
        List<BadClient> others = new ArrayList<>();
        try (UsualClients usual = new UsualClients(port, "orders")) {
            usual.run(1);
            for (int i = 0; i < CLIENTS; i++) {
                others.add(new BadClient(port, "orders", kind));
            }
            UsualClients.Summary beside = usual.run(RUN_SECONDS);
            String seen = beside + ", peak " + readPeakMemoryMb() + " MB, log " + findLines("spartrail.client");
            LOG.log(System.Logger.Level.INFO, kind + ": " + seen);
            assertThat(beside.lost()).as(seen).isZero();
            assertThat(readPeakMemoryMb()).as("peak memory, " + seen).isLessThan(MEMORY_MB);
        }
        others.forEach(BadClient::close);
        assertThat(process.isAlive()).as("the node runs").isTrue();
    }

    /** Guards against a process that is killed for its memory: heads of very many short fields. */
    @Test
    void headsOfManyShortFieldsThatStop() throws Exception {
        assertMemoryStaysWithinItsLimit(Kind.MANY_FIELDS_THEN_STOP);
    }

    /** Guards against the same by large requests that stop half way and go on slowly. */
    @Test
    void largeRequestsThatGoOnSlowly() throws Exception {
        assertMemoryStaysWithinItsLimit(Kind.HALF_BODY_THEN_SLOW);
    }

    /** Guards against the same by pipelined requests that are buffered until their turn. */
    @Test
    void pipelinedQueriesOfHundredsOfClients() throws Exception {
        assertMemoryStaysWithinItsLimit(Kind.PIPELINED_QUERIES);
    }

    /** Guards against the same by clients that never read their responses. */
    @Test
    void responsesThatAreNotRead() throws Exception {
        assertMemoryStaysWithinItsLimit(Kind.PIPELINED_READINESS_CHECKS_UNREAD);
    }
}
