package spartrail.lab.scale;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
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
import spartrail.endpoint.EndpointListDecoder;
import spartrail.model.Server;
import spartrail.subset.SubsetFilter;

/** Processor time of decoding an endpoint list and of choosing a subset from it, in microseconds per call. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
public class ListBenchmark {
    private static final int CHANGED_NUMBER = 7;

    @Param("1000")
    public int servers;

    @Param("8")
    public int replicas;

    private byte[] body;
    private EndpointList completeList;
    private SubsetFilter filter;
    private boolean draining;

    @Setup
    public void setUp() {
        completeList = HollowServers.createList(servers, HollowNode.SHARDS, HollowNode.ZONES);
        body = HollowServers.toJson(completeList).getBytes(StandardCharsets.UTF_8);
        filter = HollowNode.createFilter(replicas);
        filter.toSubset(completeList, 0);
    }

    @Benchmark
    public Object decode() throws IOException {
        return EndpointListDecoder.decode(body);
    }

    @Benchmark
    public Object subsetOfWholeList() {
        SubsetFilter newFilter = HollowNode.createFilter(replicas);
        return newFilter.toSubset(completeList, 0);
    }

    @Benchmark
    public Object subsetAfterOneChange() {
        draining = !draining;
        Server.State state = draining ? Server.State.DRAINING : Server.State.LIVE;
        return filter.toSubset(
                new EndpointList(
                        2,
                        false,
                        List.of(HollowServers.endpoint(
                                "s-" + CHANGED_NUMBER, CHANGED_NUMBER, HollowNode.SHARDS, HollowNode.ZONES, state, 0))),
                0);
    }
}
