package spartrail.lab.plan;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import spartrail.lab.file.Document;
import spartrail.lab.file.InvalidInputException;

/**
 * A load plan as its file states it. The arrivals are a pure function of the plan.
 *
 * @param variation coefficient of variation of gaps of the kind GAMMA
 * @param targets front nodes as host:port, loopback only
 * @param connections maximum of open connections
 * @param connectMs time limit for establishing a connection
 * @param lagBoundMs a run is unfit if the 99th percentile of the generator's own lag exceeds this
 * @param lingerMs time after the client's timeout for which a late answer is still awaited
 */
public record LoadPlan(
        long seed,
        List<Phase> phases,
        GapDistribution gaps,
        double variation,
        List<TrafficStream> streams,
        List<Crowd> crowds,
        List<Target> targets,
        int connections,
        double connectMs,
        double lagBoundMs,
        double lingerMs) {
    /** A section of the plan with its own rate. */
    public record Phase(String name, double lastsMs, Rate rate) {}

    /** Clients that arrive within a short time, each on a new connection. */
    public record Crowd(double atMs, double withinMs, int clients, int stream) {}

    /** A front node under load. */
    public record Target(String host, int port, String zone) {
        @Override
        public String toString() {
            return host + ":" + port;
        }
    }

    /** Reads and checks the file. */
    public static LoadPlan read(Path file) {
        return of(Document.read(file, "load"));
    }

    /** The plan of a document that is valid by the schema {@code load}. */
    public static LoadPlan of(Document document) {
        JsonNode tree = document.tree;
        List<Phase> phases = new ArrayList<>();
        for (JsonNode phase : tree.get("phases")) {
            phases.add(new Phase(
                    phase.path("name").asText("phase " + phases.size()),
                    phase.get("lastsMs").asDouble(),
                    readRate(document, phase.get("rate"), "/phases/" + phases.size() + "/rate")));
        }
        List<TrafficStream> streams = new ArrayList<>();
        for (JsonNode stream : tree.get("streams")) {
            streams.add(readStream(document, stream, "/streams/" + streams.size(), phases));
        }
        for (int i = 0; i < phases.size(); i++) {
            String name = phases.get(i).name();
            if (streams.stream().noneMatch(stream -> stream.isActiveIn(name))) {
                throw document.invalid("/phases/" + i, "no stream is active in phase '" + name + "'");
            }
        }
        List<Crowd> crowds = new ArrayList<>();
        for (JsonNode crowd : tree.path("crowds")) {
            String name = crowd.path("stream").asText(streams.get(0).name);
            int streamIndex =
                    streams.stream().map(stream -> stream.name).toList().indexOf(name);
            if (streamIndex < 0) {
                throw document.invalid("/crowds/" + crowds.size() + "/stream", "no stream is named '" + name + "'");
            }
            crowds.add(new Crowd(
                    crowd.get("atMs").asDouble(),
                    crowd.get("withinMs").asDouble(),
                    crowd.get("clients").asInt(),
                    streamIndex));
        }
        List<Target> targets = new ArrayList<>();
        for (JsonNode target : tree.path("targets")) {
            targets.add(target(document, target, "/targets/" + targets.size()));
        }
        JsonNode gaps = tree.path("gaps");
        return new LoadPlan(
                tree.path("seed").asLong(1),
                phases,
                GapDistribution.valueOf(gaps.path("kind").asText("poisson").toUpperCase()),
                gaps.path("variation").asDouble(1),
                streams,
                crowds,
                targets,
                tree.path("connections").path("most").asInt(1000),
                tree.path("connections").path("connectMs").asDouble(1000),
                tree.path("lagBoundMs").asDouble(5),
                tree.path("lingerMs").asDouble(1000));
    }

    /** Reads a front node's address; only loopback is allowed, so that load never reaches other machines. */
    public static Target target(Document document, JsonNode node, String place) {
        String text = node.isTextual() ? node.asText() : node.path("address").asText();
        int colon = text.lastIndexOf(':');
        String host = text.substring(0, Math.max(0, colon));
        int port = -1;
        try {
            port = Integer.parseInt(text.substring(colon + 1));
        } catch (NumberFormatException e) {
            // Reported below.
        }
        if (!host.matches("127(\\.[0-9]{1,3}){3}") || port < 1 || port > 65_535) {
            throw document.invalid(
                    place, "found '" + text + "', an address of the loopback such as 127.0.0.1:3000" + " is expected");
        }
        return new Target(host, port, node.path("zone").asText(""));
    }

    private static Rate readRate(Document document, JsonNode node, String place) {
        if (node.has("sum")) {
            List<Rate> parts = new ArrayList<>();
            for (JsonNode part : node.get("sum")) {
                parts.add(readRate(document, part, place + "/sum/" + parts.size()));
            }
            return new Rate.Sum(parts);
        }
        switch (node.get("shape").asText()) {
            case "steady":
                return new Rate.Steady(node.get("perS").asDouble());
            case "ramp":
                return new Rate.Ramp(
                        node.get("fromPerS").asDouble(), node.get("toPerS").asDouble());
            case "step":
                List<Double> levels = new ArrayList<>();
                node.get("levelsPerS").forEach(level -> levels.add(level.asDouble()));
                return new Rate.Step(levels);
            case "burst":
                return new Rate.Burst(
                        node.get("onPerS").asDouble(),
                        node.get("onMs").asDouble(),
                        node.path("offPerS").asDouble(0),
                        node.get("offMs").asDouble());
            case "wave":
                Rate.Wave wave = new Rate.Wave(
                        node.get("meanPerS").asDouble(),
                        node.get("swingPerS").asDouble(),
                        node.get("periodMs").asDouble());
                if (wave.swingPerS() > wave.meanPerS()) {
                    throw document.invalid(
                            place + "/swingPerS",
                            "found " + wave.swingPerS() + ", at most the mean of " + wave.meanPerS()
                                    + " is expected, as no rate is below 0");
                }
                return wave;
            default:
                return new Rate.Spike(
                        node.get("peakPerS").asDouble(),
                        node.path("atMs").asDouble(0),
                        node.get("halfLifeMs").asDouble());
        }
    }

    private static TrafficStream readStream(Document document, JsonNode node, String place, List<Phase> phasesOfPlan) {
        List<String> phases = new ArrayList<>();
        for (JsonNode name : node.path("phases")) {
            if (phasesOfPlan.stream().noneMatch(phase -> phase.name().equals(name.asText()))) {
                throw document.invalid(place + "/phases/" + phases.size(), "no phase is named '" + name.asText() + "'");
            }
            phases.add(name.asText());
        }
        List<TrafficStream.Share<String>> opTypes = new ArrayList<>();
        node.get("opTypes")
                .forEach(entry -> opTypes.add(new TrafficStream.Share<>(
                        entry.get("name").asText(), entry.path("share").asDouble(1))));
        JsonNode shards = node.get("shards");
        int shardCount = shards.get("of").asInt();
        int min = shards.path("least").asInt(1);
        int max = shards.path("most").asInt(min);
        if (min > max || max > shardCount) {
            throw document.invalid(
                    place + "/shards",
                    "least " + min + ", most " + max + ", of " + shardCount + "; least <= most <= of is expected");
        }
        JsonNode work = node.path("work");
        JsonNode keys = node.path("keys");
        List<TrafficStream.Share<Integer>> textSizes = new ArrayList<>();
        node.path("texts")
                .forEach(entry -> textSizes.add(new TrafficStream.Share<>(
                        entry.get("bytes").asInt(), entry.path("share").asDouble(1))));
        if (textSizes.isEmpty()) {
            textSizes.add(new TrafficStream.Share<>(16, 1));
        }
        return new TrafficStream(
                node.path("name").asText("stream"),
                node.path("share").asDouble(1),
                phases,
                opTypes,
                new TrafficStream.ShardSelection(
                        shardCount,
                        min,
                        max,
                        shards.path("exponent").asDouble(1.5),
                        !"scattered".equals(shards.path("spread").asText("run"))),
                !"drawn".equals(node.path("weights").asText("even")),
                new TrafficStream.Work(
                        work.path("meanMs").asDouble(0),
                        work.path("variation").asDouble(0),
                        work.path("hintShare").asDouble(0),
                        work.path("hintNoise").asDouble(0)),
                new TrafficStream.Keys(
                        keys.path("count").asInt(1000),
                        keys.path("zipf").asDouble(0.9),
                        keys.path("hotMovesEveryMs").asDouble(0)),
                textSizes,
                node.path("zone").asText(""),
                node.get("clientMs").asDouble(),
                readBehavior(node.path("habit")));
    }

    private static ClientBehavior readBehavior(JsonNode node) {
        JsonNode leaves = node.path("leaves");
        return new ClientBehavior(
                node.path("tries").asInt(1),
                ClientBehavior.Backoff.valueOf(node.path("wait").asText("none").toUpperCase()),
                node.path("waitMs").asDouble(0),
                node.path("factor").asDouble(2),
                node.path("mostWaitMs").asDouble(60_000),
                node.path("jitter").asDouble(0),
                node.path("heeds").asDouble(1),
                leaves.path("share").asDouble(0),
                leaves.path("at").asDouble(0.5),
                node.path("ownConnection").asBoolean(false));
    }

    /** Total duration of the phases. */
    public double durationMs() {
        return phases.stream().mapToDouble(Phase::lastsMs).sum();
    }

    /** Index of the phase at this time; the last one after the end of the plan. */
    public int phaseAt(double ms) {
        double fromMs = 0;
        for (int i = 0; i < phases.size(); i++) {
            fromMs += phases.get(i).lastsMs();
            if (ms < fromMs) {
                return i;
            }
        }
        return phases.size() - 1;
    }

    /** All arrivals in order of time; each call returns the same ones. */
    public Iterator<Arrival> arrivals() {
        return new Arrivals(this);
    }

    /** The same plan with these front nodes as targets. */
    public LoadPlan withTargets(List<Target> nodes) {
        if (nodes.isEmpty()) {
            throw new InvalidInputException("no front node to send to: give 'targets' in the plan");
        }
        return new LoadPlan(
                seed, phases, gaps, variation, streams, crowds, nodes, connections, connectMs, lagBoundMs, lingerMs);
    }

    /** The same plan with another seed and all rates multiplied by a factor. */
    public LoadPlan withSeedAndRateFactor(long newSeed, double factor) {
        List<Phase> scaled = phases.stream()
                .map(phase ->
                        factor == 1 ? phase : new Phase(phase.name(), phase.lastsMs(), scale(phase.rate(), factor)))
                .toList();
        return new LoadPlan(
                newSeed,
                scaled,
                gaps,
                variation,
                streams,
                crowds,
                targets,
                connections,
                connectMs,
                lagBoundMs,
                lingerMs);
    }

    private static Rate scale(Rate rate, double factor) {
        if (rate instanceof Rate.Steady steady) {
            return new Rate.Steady(steady.perS() * factor);
        }
        return new Rate() {
            @Override
            public double perS(double ms, double lastsMs) {
                return factor * rate.perS(ms, lastsMs);
            }

            @Override
            public double expectedUntil(double ms, double lastsMs) {
                return factor * rate.expectedUntil(ms, lastsMs);
            }
        };
    }
}
