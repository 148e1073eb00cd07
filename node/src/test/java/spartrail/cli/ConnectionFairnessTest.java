package spartrail.cli;

import static org.assertj.core.api.Assertions.assertThat;

import example.ToyFleet;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.LongFunction;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Clients that send at full speed must not keep a node from answering others. */
class ConnectionFairnessTest extends NodeProcessFixture {
    private static final System.Logger LOG = System.getLogger("spartrail.test");
    private static final int SERVICE_TIME_MS = 10;
    private static final double RUN_SECONDS = 4;
    /** The rate and the waits of usual clients beside others may be worse by this factor. */
    private static final double MAX_SLOWDOWN = 2;

    private final ScheduledExecutorService serviceTimer = Executors.newScheduledThreadPool(2);

    ConnectionFairnessTest() throws IOException {}

    @AfterEach
    void stopServers() {
        serviceTimer.shutdownNow();
    }

    private int startServing() throws Exception {
        fleet.servers.forEach(server -> server.behavior = new ToyFleet.ServerBehavior() {
            @Override
            public void onPart(ToyFleet.Connection connection, String id, int shard, String text) {
                serviceTimer.schedule(
                        () -> {
                            connection.sendResponse(id, "OK", text);
                            return null;
                        },
                        SERVICE_TIME_MS,
                        TimeUnit.MILLISECONDS);
            }
        });
        startNode("export JAVA_TOOL_OPTIONS='-Xmx48m -XX:+UseSerialGC -XX:TieredStopAtLevel=1'; ");
        return awaitPort();
    }

    private void assertUsualClientsKeepTheirRate(int clients, LongFunction<String> request) throws Exception {
        int port = startServing();
        UsualClients.run(port, "orders", 1);
        UsualClients.Summary alone = UsualClients.run(port, "orders", RUN_SECONDS);
        List<PipeliningClient> others = new ArrayList<>();
        for (int i = 0; i < clients; i++) {
            String name = "p" + i + "-";
            others.add(
                    new PipeliningClient(port, number -> request.apply(number).replace("ID", name + number)));
        }
        UsualClients.Summary beside = UsualClients.run(port, "orders", RUN_SECONDS);
        others.forEach(PipeliningClient::close);
        String seen = "alone " + alone + "; beside " + clients + " others " + beside + "; log "
                + findLines("spartrail.client");
        LOG.log(System.Logger.Level.INFO, seen);
        assertThat(beside.lost()).as("lost, " + seen).isZero();
        assertThat(beside.servedPerSecond()).as(seen).isGreaterThan(alone.servedPerSecond() / MAX_SLOWDOWN);
        assertThat(beside.meanMs()).as(seen).isLessThan(alone.meanMs() * MAX_SLOWDOWN);
    }

    private static String query(double clientTimeoutSeconds) {
        return UsualClients.buildQuery("orders", "ID", clientTimeoutSeconds, 3);
    }

    /** Guards against usual clients without answers: buffered requests were handled before any socket was read. */
    @Test
    void oneClientThatPipelinesExpiredQueriesLeavesOthersTheirRate() throws Exception {
        assertUsualClientsKeepTheirRate(1, number -> query(0.001));
    }

    /** Guards against the same by queries that a client sends too fast to get them answered in time. */
    @Test
    void oneClientThatPipelinesQueriesLeavesOthersTheirRate() throws Exception {
        assertUsualClientsKeepTheirRate(1, number -> query(0.3));
    }

    /** Guards against the same by several clients. */
    @Test
    void sixClientsThatPipelineQueriesLeaveOthersTheirRate() throws Exception {
        assertUsualClientsKeepTheirRate(6, number -> query(0.3));
    }

    /** Guards against the same by requests that are answered as soon as they are read. */
    @Test
    void sixClientsThatPipelineReadinessChecksLeaveOthersTheirRate() throws Exception {
        assertUsualClientsKeepTheirRate(6, number -> "GET /up HTTP/1.1\r\nHost: x\r\n\r\n");
    }
}
