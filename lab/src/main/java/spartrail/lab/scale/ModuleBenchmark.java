package spartrail.lab.scale;

import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import spartrail.endpoint.EndpointList;

/** Processor time of the operations of the decision module, in microseconds per call. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
public class ModuleBenchmark {
    @Param("1000")
    public int servers;

    /** Number of replicas of each shard in the node's subset; 0 if the node uses all servers. */
    @Param("0")
    public int replicas;

    @Param("250")
    public int parts;

    private HollowNode node;
    private EndpointList completeList;

    @Setup
    public void setUp() {
        node = new HollowNode(servers, replicas);
        completeList = HollowServers.createList(servers, HollowNode.SHARDS, HollowNode.ZONES);
    }

    @Benchmark
    public Object wholeList() {
        return node.applyList(completeList);
    }

    @Benchmark
    public Object oneChange() {
        return node.applyOneChange();
    }

    @Benchmark
    public Object idleTick() {
        return node.tickWhileIdle();
    }

    @Benchmark
    public int query() {
        return node.runQuery(parts);
    }
}
