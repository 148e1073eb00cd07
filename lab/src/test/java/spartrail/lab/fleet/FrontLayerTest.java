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

    private static long[] play(LoadPlan plan, int port) throws InterruptedException {
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
    void clientsAreSpreadOverNodesThatAreUp() throws Exception {
        long[] taken = new long[2];
        LoadPlan plan = DrillPlans.parse(
                "{'phases':[{'lastsMs':400,'rate':{'shape':'steady','perS':100}}],'streams':[{'opTypes':"
                        + "[{'name':'orders'}],'shards':{'of':8},'clientMs':20000,'habit':{'ownConnection':true}}]}");
        try (SocketLoop loop = new SocketLoop("test-front-layer");
                NullResponder one = new NullResponder(0, (number, atMs) -> {
                    taken[0]++;
                    return atMs;
                });
                NullResponder other = new NullResponder(0, (number, atMs) -> {
                    taken[1]++;
                    return atMs;
                });
                FrontLayer layer = new FrontLayer(loop, 0, List.of(address(one), address(other)), 0)) {
            long[] first = {0, 1};
            for (int i = 0; i < 20 && first[0] < first[1]; i++) {
                // Until it has seen that both are up, clients are turned away.
                first = play(plan, layer.port());
            }
            assertThat(first[0]).isEqualTo(first[1]);
            assertThat(taken[0]).isPositive();
            assertThat(taken[1]).isPositive();
            other.close();
            long[] last = {0, 1};
            for (int i = 0; i < 20 && last[0] < last[1]; i++) {
                last = play(plan, layer.port());
            }
            assertThat(last[0]).as("all are served by the one that is left").isEqualTo(last[1]);
        }
    }
}
