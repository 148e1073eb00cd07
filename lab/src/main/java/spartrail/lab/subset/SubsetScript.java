package spartrail.lab.subset;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeSet;
import spartrail.endpoint.EndpointList;
import spartrail.endpoint.EndpointList.Endpoint;
import spartrail.lab.scale.HollowServers;
import spartrail.model.Server;

/**
 * What happens to the servers of a fleet, generated from a seed: servers replaced, drained and brought back, a rack and a zone lost and
 * restored.
 */
final class SubsetScript {
    private static final int RACK_SERVERS = 20;
    private static final double STEP_INTERVAL_MS = 300;

    /** A step, what it changes, and the endpoints of all servers after it by their names. */
    record Step(String what, double atMs, EndpointList change, Map<String, Endpoint> after) {}

    private final FleetShape shape;
    private final SplittableRandom random;
    private final List<Step> steps = new ArrayList<>();
    private Map<String, Endpoint> present = new LinkedHashMap<>();
    private long version = 1;
    private int replaced;

    private SubsetScript(FleetShape shape, long seed) {
        this.shape = shape;
        this.random = new SplittableRandom(seed);
    }

    /** So many single changes around a loss of a rack and of a zone. */
    static List<Step> generate(FleetShape shape, long seed, int changes) {
        SubsetScript script = new SubsetScript(shape, seed);
        script.start();
        for (int i = 0; i < changes; i++) {
            script.changeOne();
        }
        script.remove("rack", script.randomRack());
        for (int i = 0; i < changes; i++) {
            script.changeOne();
        }
        script.restore("rack");
        script.remove("zone", script.randomZone());
        script.changeOne();
        script.restore("zone");
        for (int i = 0; i < changes; i++) {
            script.changeOne();
        }
        return script.steps;
    }

    private void start() {
        List<Endpoint> endpoints = new ArrayList<>();
        for (int number = 0; number < shape.servers(); number++) {
            endpoints.add(endpoint(number, number, 0, Server.State.LIVE));
        }
        endpoints.forEach(endpoint -> present.put(endpoint.id(), endpoint));
        steps.add(new Step("start", 0, new EndpointList(version, true, endpoints), present));
    }

    private Endpoint endpoint(int place, int name, long bootMs, Server.State state) {
        return HollowServers.endpoint(
                shape.region() + "s-" + name, place, shape.shards(), shape.zones(), state, bootMs);
    }

    private void step(String what, List<Endpoint> endpoints) {
        Map<String, Endpoint> after = new LinkedHashMap<>(present);
        for (Endpoint endpoint : endpoints) {
            if (endpoint.state() == Server.State.GONE) {
                after.remove(endpoint.id());
            } else {
                after.put(endpoint.id(), endpoint);
            }
        }
        present = after;
        steps.add(
                new Step(what, steps.size() * STEP_INTERVAL_MS, new EndpointList(++version, false, endpoints), after));
    }

    private Endpoint randomEndpoint() {
        List<String> names = new ArrayList<>(present.keySet());
        return present.get(names.get(random.nextInt(names.size())));
    }

    private void changeOne() {
        Endpoint endpoint = randomEndpoint();
        switch (random.nextInt(4)) {
            case 0 -> {
                Endpoint next = new Endpoint(
                        shape.region() + "r-" + replaced++,
                        endpoint.address(),
                        endpoint.zone(),
                        endpoint.kind(),
                        endpoint.cell(),
                        Server.State.LIVE,
                        endpoint.weight(),
                        steps.size());
                step("replacement", List.of(endpoint.withState(Server.State.GONE), next));
            }
            case 1 -> step("drain", List.of(endpoint.withState(Server.State.DRAINING)));
            case 2 -> step("back", List.of(endpoint.withState(Server.State.LIVE)));
            default -> step("leave", List.of(endpoint.withState(Server.State.GONE)));
        }
    }

    private List<Endpoint> randomRack() {
        int from = random.nextInt(Math.max(1, present.size() - RACK_SERVERS));
        return present.values().stream().skip(from).limit(RACK_SERVERS).toList();
    }

    private List<Endpoint> randomZone() {
        List<String> zones = new ArrayList<>(
                new TreeSet<>(present.values().stream().map(Endpoint::zone).toList()));
        String lost = zones.get(random.nextInt(zones.size()));
        return present.values().stream()
                .filter(endpoint -> endpoint.zone().equals(lost))
                .toList();
    }

    private List<Endpoint> lost = List.of();

    private void remove(String what, List<Endpoint> servers) {
        lost = servers;
        step(
                what + " lost",
                servers.stream()
                        .map(endpoint -> endpoint.withState(Server.State.GONE))
                        .toList());
    }

    private void restore(String what) {
        step(
                what + " back",
                lost.stream()
                        .map(endpoint -> new Endpoint(
                                endpoint.id(),
                                endpoint.address(),
                                endpoint.zone(),
                                endpoint.kind(),
                                endpoint.cell(),
                                Server.State.LIVE,
                                endpoint.weight(),
                                steps.size()))
                        .toList());
    }
}
