package spartrail.lab.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetSocketAddress;
import java.util.List;
import org.junit.jupiter.api.Test;
import spartrail.lab.drill.DrillPlans;
import spartrail.lab.load.AttemptResult;
import spartrail.lab.load.LoadListener;
import spartrail.lab.load.LoadSession;
import spartrail.lab.net.SocketLoop;
import spartrail.lab.plan.LoadPlan;

class FrontLayerTest {
    private static InetSocketAddress address(NullResponder responder) {
        return new InetSocketAddress(
                "127.0.0.1", Integer.parseInt(responder.address().split(":")[1]));
    }

    private static long[] runLoad(LoadPlan plan, int port) throws InterruptedException {
        try (LoadSession session = new LoadSession(
                DrillPlans.at(plan, "127.0.0.1:" + port), plan.arrivals(), plan.durationMs(), LoadListener.NONE)) {
            assertThat(session.await(60_000)).isTrue();
            return new long[] {
                session.recorder().count(AttemptResult.WHOLE),
                session.recorder().all()
            };
        }
    }

    @Test
    void clientsAreSpreadOverReadyNodes() throws Exception {
        long[] answered = new long[2];
        LoadPlan plan = DrillPlans.parse(
                "{'phases':[{'lastsMs':400,'rate':{'shape':'steady','perS':100}}],'streams':[{'opTypes':"
                        + "[{'name':'orders'}],'shards':{'of':8},'clientMs':20000,'habit':{'ownConnection':true}}]}");
        try (SocketLoop loop = new SocketLoop("test-front-layer");
                NullResponder first = new NullResponder(0, (number, atMs) -> {
                    answered[0]++;
                    return atMs;
                });
                NullResponder second = new NullResponder(0, (number, atMs) -> {
                    answered[1]++;
                    return atMs;
                });
                FrontLayer layer = new FrontLayer(loop, 0, List.of(address(first), address(second)), 0)) {
            long[] withBoth = {0, 1};
            for (int i = 0; i < 20 && withBoth[0] < withBoth[1]; i++) {
                // The layer resets connections until its probes have found a node ready.
                withBoth = runLoad(plan, layer.port());
            }
            assertThat(withBoth[0]).isEqualTo(withBoth[1]);
            assertThat(answered[0]).isPositive();
            assertThat(answered[1]).isPositive();
            second.close();
            long[] withFirst = {0, 1};
            for (int i = 0; i < 20 && withFirst[0] < withFirst[1]; i++) {
                withFirst = runLoad(plan, layer.port());
            }
            assertThat(withFirst[0])
                    .as("all clients are served by the remaining node")
                    .isEqualTo(withFirst[1]);
        }
    }
}
