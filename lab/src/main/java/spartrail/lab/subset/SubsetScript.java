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
 * What happens to the servers of a fleet, drawn from a seed: servers replaced, drained and brought back, a rack and a zone lost and
 * back, and a while in which some nodes hear of nothing until they are told the whole list.
 */
final class SubsetScript {
    private static final int RACK = 20;
    private static final double STEP_MS = 300;

    /** A step, what it changes, and the lines of all servers after it by their names. */
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
    static List<Step> of(FleetShape shape, long seed, int changes) {
        SubsetScript script = new SubsetScript(shape, seed);
        script.start();
        for (int i = 0; i < changes; i++) {
            script.single();
        }
        script.lose("rack", script.rack());
        for (int i = 0; i < changes; i++) {
            script.single();
        }
        script.back("rack");
        script.lose("zone", script.zone());
        script.single();
        script.back("zone");
        for (int i = 0; i < changes; i++) {
            script.single();
        }
        return script.steps;
    }

    private void start() {
        List<Endpoint> lines = new ArrayList<>();
        for (int number = 0; number < shape.servers(); number++) {
            lines.add(line(number, number, 0, Server.State.LIVE));
        }
        lines.forEach(line -> present.put(line.id(), line));
        steps.add(new Step("start", 0, new EndpointList(version, true, lines), present));
    }

    private Endpoint line(int place, int name, long bootMs, Server.State state) {
        return HollowServers.endpoint(
                shape.region() + "s-" + name, place, shape.shards(), shape.zones(), state, bootMs);
    }

    private void step(String what, List<Endpoint> lines) {
        Map<String, Endpoint> after = new LinkedHashMap<>(present);
        for (Endpoint line : lines) {
            if (line.state() == Server.State.GONE) {
                after.remove(line.id());
            } else {
                after.put(line.id(), line);
            }
        }
        present = after;
        steps.add(new Step(what, steps.size() * STEP_MS, new EndpointList(++version, false, lines), after));
    }

    private Endpoint any() {
        List<String> names = new ArrayList<>(present.keySet());
        return present.get(names.get(random.nextInt(names.size())));
    }

    private void single() {
        Endpoint line = any();
        switch (random.nextInt(4)) {
            case 0 -> {
                Endpoint next = new Endpoint(
                        shape.region() + "r-" + replaced++,
                        line.address(),
                        line.zone(),
                        line.kind(),
                        line.cell(),
                        Server.State.LIVE,
                        line.rating(),
                        steps.size());
                step("replacement", List.of(line.with(Server.State.GONE), next));
            }
            case 1 -> step("drain", List.of(line.with(Server.State.DRAINING)));
            case 2 -> step("back", List.of(line.with(Server.State.LIVE)));
            default -> step("leave", List.of(line.with(Server.State.GONE)));
        }
    }

    private List<Endpoint> rack() {
        int from = random.nextInt(Math.max(1, present.size() - RACK));
        return present.values().stream().skip(from).limit(RACK).toList();
    }

    private List<Endpoint> zone() {
        List<String> zones = new ArrayList<>(
                new TreeSet<>(present.values().stream().map(Endpoint::zone).toList()));
        String lost = zones.get(random.nextInt(zones.size()));
        return present.values().stream()
                .filter(line -> line.zone().equals(lost))
                .toList();
    }

    private List<Endpoint> lost = List.of();

    private void lose(String what, List<Endpoint> servers) {
        lost = servers;
        step(
                what + " lost",
                servers.stream().map(line -> line.with(Server.State.GONE)).toList());
    }

    private void back(String what) {
        step(
                what + " back",
                lost.stream()
                        .map(line -> new Endpoint(
                                line.id(),
                                line.address(),
                                line.zone(),
                                line.kind(),
                                line.cell(),
                                Server.State.LIVE,
                                line.rating(),
                                steps.size()))
                        .toList());
    }
}
