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
 * Generates from a seed the changes of a fleet's servers: single servers are replaced, drained and brought back; a
 * rack and a zone are lost and restored.
 */
final class SubsetScript {
    private static final int RACK_SERVERS = 20;
    private static final double STEP_INTERVAL_MS = 300;

    /** A step: its description, time and change, and the endpoints of all servers after it, by name. */
    record Step(String description, double atMs, EndpointList change, Map<String, Endpoint> after) {}

    private final FleetShape shape;
    private final SplittableRandom random;
    private final List<Step> steps = new ArrayList<>();
    private Map<String, Endpoint> present = new LinkedHashMap<>();
    private long version = 1;
    private int replacements;

    private SubsetScript(FleetShape shape, long seed) {
        this.shape = shape;
        this.random = new SplittableRandom(seed);
    }

    /** Generates {@code changes} single changes each before, between and after the losses of a rack and a zone. */
    static List<Step> generate(FleetShape shape, long seed, int changes) {
        SubsetScript script = new SubsetScript(shape, seed);
        script.addStart();
        for (int i = 0; i < changes; i++) {
            script.changeOneServer();
        }
        script.remove("rack", script.randomRack());
        for (int i = 0; i < changes; i++) {
            script.changeOneServer();
        }
        script.restore("rack");
        script.remove("zone", script.randomZone());
        script.changeOneServer();
        script.restore("zone");
        for (int i = 0; i < changes; i++) {
            script.changeOneServer();
        }
        return script.steps;
    }

    private void addStart() {
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

    private void addStep(String description, List<Endpoint> endpoints) {
        Map<String, Endpoint> after = new LinkedHashMap<>(present);
        for (Endpoint endpoint : endpoints) {
            if (endpoint.state() == Server.State.GONE) {
                after.remove(endpoint.id());
            } else {
                after.put(endpoint.id(), endpoint);
            }
        }
        present = after;
        steps.add(new Step(
                description, steps.size() * STEP_INTERVAL_MS, new EndpointList(++version, false, endpoints), after));
    }

    private Endpoint randomEndpoint() {
        List<String> names = new ArrayList<>(present.keySet());
        return present.get(names.get(random.nextInt(names.size())));
    }

    private void changeOneServer() {
        Endpoint endpoint = randomEndpoint();
        switch (random.nextInt(4)) {
            case 0 -> {
                Endpoint successor = new Endpoint(
                        shape.region() + "r-" + replacements++,
                        endpoint.address(),
                        endpoint.zone(),
                        endpoint.kind(),
                        endpoint.cell(),
                        Server.State.LIVE,
                        endpoint.weight(),
                        steps.size());
                addStep("replacement", List.of(endpoint.withState(Server.State.GONE), successor));
            }
            case 1 -> addStep("drain", List.of(endpoint.withState(Server.State.DRAINING)));
            case 2 -> addStep("back", List.of(endpoint.withState(Server.State.LIVE)));
            default -> addStep("leave", List.of(endpoint.withState(Server.State.GONE)));
        }
    }

    private List<Endpoint> randomRack() {
        int from = random.nextInt(Math.max(1, present.size() - RACK_SERVERS));
        return present.values().stream().skip(from).limit(RACK_SERVERS).toList();
    }

    private List<Endpoint> randomZone() {
        List<String> zones = new ArrayList<>(
                new TreeSet<>(present.values().stream().map(Endpoint::zone).toList()));
        String lostZone = zones.get(random.nextInt(zones.size()));
        return present.values().stream()
                .filter(endpoint -> endpoint.zone().equals(lostZone))
                .toList();
    }

    private List<Endpoint> lostServers = List.of();

    private void remove(String group, List<Endpoint> servers) {
        lostServers = servers;
        addStep(
                group + " lost",
                servers.stream()
                        .map(endpoint -> endpoint.withState(Server.State.GONE))
                        .toList());
    }

    private void restore(String group) {
        addStep(
                group + " back",
                lostServers.stream()
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
