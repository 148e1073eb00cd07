package spartrail.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import spartrail.coordination.Coordinator;
import spartrail.coordination.WindowCoordinator;
import spartrail.model.OpType;

/**
 * Creates op types and a configured coordinator from the settings of the deploy file or of the simulator. Both use the
 * same names, and seconds for times; only this package knows them.
 */
public final class CoordinatorSettings {
    private CoordinatorSettings() {}

    /** Creates the op types of the settings, without latency statistics. */
    public static List<OpType> parseOpTypes(Map<?, ?> settings) {
        List<OpType> opTypes = new ArrayList<>();
        Map<?, ?> layout = readSection(settings, "family-info");
        if (asList(requireValue(settings, "classes", "")).isEmpty()) {
            throw new IllegalArgumentException(
                    "'classes': found " + settings.get("classes") + ", a list of one or more is expected");
        }
        for (Object entry : asList(settings.get("classes"))) {
            if (!(entry instanceof Map<?, ?> line)) {
                throw new IllegalArgumentException("'classes': found " + entry + ", an object is expected");
            }
            int index = opTypes.size();
            OpType op = new OpType();
            op.name = String.valueOf(requireValue(line, "name", " of classes"));
            if (opTypes.stream().anyMatch(other -> other.name.equals(op.name))) {
                throw new IllegalArgumentException(
                        "'classes': found " + op.name + " twice, each name once is expected");
            }
            op.priorityWeight = readNumber(line, "worth", 1);
            op.latencyObjectiveMs = 1000 * requireNumber(line, "aim", " of class " + op.name);
            op.timeoutMs = 1000 * requireNumber(line, "deadline", " of class " + op.name);
            if (op.latencyObjectiveMs > op.timeoutMs) {
                throw new IllegalArgumentException("class " + op.name + ": found aim " + line.get("aim")
                        + ", no more than its deadline, " + line.get("deadline") + ", is expected");
            }
            op.lateShare = readShare(line, "late-share", 0);
            op.idempotency = parseIdempotency(requireValue(line, "effect", " of class " + op.name), op.name);
            // The rules depend on this setting, so it has no default: a wrong default would break them unnoticed.
            op.deduplicationWindowMs = 1000
                    * (op.idempotency == OpType.Idempotency.IDEMPOTENCY_KEY
                            ? requireNumber(line, "key-ttl", " of class " + op.name)
                            : readNumber(line, "key-ttl", 0));
            op.completeWeight = readShareAt(layout, "class-need", index, 1);
            op.minimumWeight = readShareAt(layout, "class-floor", index, op.completeWeight);
            op.partialShare = readShareAt(layout, "class-partial", index, 1);
            List<?> fetched = asList(layout.get("fetch-parts"));
            if (index < fetched.size() && readNumber("fetch-parts", fetched.get(index)) > 0
                    || readFlag(line, "stream")) {
                throw new IllegalArgumentException(
                        "class " + op.name + ": found a second step or a stream, which this node does not support");
            }
            opTypes.add(op);
        }
        return opTypes;
    }

    /** Creates a configured coordinator of these op types, whose random numbers depend on the seed. */
    public static Coordinator createCoordinator(long seed, Map<?, ?> settings, List<OpType> opTypes) {
        Map<?, ?> layout = readSection(settings, "family-info");
        return configure(
                new WindowCoordinator(new Random(seed), opTypes)
                        .configureLayout(
                                (int) requireCount(layout, "slabs", " of family-info"),
                                        (int) requireCount(layout, "sets", " of family-info"),
                                (int) requireCount(layout, "width", " of family-info"),
                                        (int) readNumber(layout, "batch", 1)),
                settings);
    }

    /** Configures a coordinator with the settings that may change while it is in use. */
    static Coordinator configure(Coordinator coordinator, Map<?, ?> settings) {
        Map<?, ?> bounds = readSection(settings, "bounds");
        Map<?, ?> rules = readSection(settings, "rules");
        double spanS = readNumber(rules, "budget-window", 0);
        if (spanS == 0 && (rules.get("min-extra") != null || rules.get("further-ratio") != null)) {
            throw new IllegalArgumentException("'budget-window' of rules: found " + rules.get("budget-window")
                    + ", a number above 0 is expected with min-extra or further-ratio");
        }
        requireValue(rules, "cold-share", " of rules");
        return coordinator
                .configureFrontNodes(
                        (int) requireCount(settings, "peers-total", ""), 1000 * requireNumber(settings, "tick", ""))
                .configureAttempts(
                        (int) requireCount(bounds, "try-limit", " of bounds"),
                        readFlag(bounds, "parallel-tries"),
                        readFlag(bounds, "cancelling"))
                .configureRetryBudget(
                        1000 * spanS, readNumber(rules, "min-extra", 0), readNumber(rules, "further-ratio", 0))
                .configureSlowStart(
                        readShare(rules, "cold-share", 1),
                        1000 * requireNumber(rules, "warm-within", " of rules"),
                        requireNumber(rules, "tip-multiple", " of rules"),
                        1000 * requireNumber(rules, "fall", " of rules"))
                .configureRetryAfter(readFlag(bounds, "retry-after"), 1000 * readNumber(bounds, "max-retry-after", 0))
                .configureEndpointPolling(
                        "ask".equals(settings.get("discovery")), 1000 * readNumber(rules, "ask-within", 0));
    }

    /**
     * Replaces each op type in use by the one of the same name in the update. The new one shares the latency statistics
     * of the old one, which are still valid; multigets in flight keep their old op type.
     */
    static void replaceOpTypes(List<OpType> inUse, List<OpType> updates) {
        inUse.replaceAll(op -> {
            OpType update = updates.stream()
                    .filter(other -> other.name.equals(op.name))
                    .findFirst()
                    .orElseThrow();
            OpType next = new OpType(op.latency);
            next.name = update.name;
            next.priorityWeight = update.priorityWeight;
            next.latencyObjectiveMs = update.latencyObjectiveMs;
            next.timeoutMs = update.timeoutMs;
            next.lateShare = update.lateShare;
            next.idempotency = update.idempotency;
            next.deduplicationWindowMs = update.deduplicationWindowMs;
            next.completeWeight = update.completeWeight;
            next.minimumWeight = update.minimumWeight;
            next.partialShare = update.partialShare;
            return next;
        });
    }

    private static OpType.Idempotency parseIdempotency(Object effect, String opType) {
        return switch (String.valueOf(effect)) {
            case "free" -> OpType.Idempotency.IDEMPOTENT;
            case "guarded" -> OpType.Idempotency.IDEMPOTENCY_KEY;
            case "single_shot" -> OpType.Idempotency.NON_IDEMPOTENT;
            default -> throw new IllegalArgumentException("'effect' of class " + opType + ": found '" + effect
                    + "', free, guarded or single_shot is expected");
        };
    }

    private static Object requireValue(Map<?, ?> map, String name, String place) {
        Object value = map.get(name);
        if (value == null) {
            throw new IllegalArgumentException("the settings lack '" + name + "'" + place);
        }
        return value;
    }

    static Map<?, ?> readSection(Map<?, ?> map, String name) {
        Object value = map.get(name);
        if (value != null && !(value instanceof Map<?, ?>)) {
            throw new IllegalArgumentException("'" + name + "': found " + value + ", an object is expected");
        }
        return value == null ? Map.of() : (Map<?, ?>) value;
    }

    private static List<?> asList(Object value) {
        return value instanceof List<?> list ? list : List.of();
    }

    private static double readShareAt(Map<?, ?> map, String name, int index, double defaultValue) {
        List<?> values = asList(map.get(name));
        return index < values.size() ? readShare(name, values.get(index)) : defaultValue;
    }

    static boolean readFlag(Map<?, ?> map, String name) {
        Object value = map.get(name);
        if (value != null && !(value instanceof Boolean)) {
            throw new IllegalArgumentException("'" + name + "': found " + value + ", true or false is expected");
        }
        return Boolean.TRUE.equals(value);
    }

    /** Reads an optional number; throws if the value is not a number, or is below 0. */
    static double readNumber(Map<?, ?> map, String name, double defaultValue) {
        return map.get(name) == null ? defaultValue : readNumber(name, map.get(name));
    }

    /** Reads a required number of 1 or more. */
    static double requireCount(Map<?, ?> map, String name, String place) {
        double value = requireNumber(map, name, place);
        if (value < 1) {
            throw new IllegalArgumentException(
                    "'" + name + place + "': found " + map.get(name) + ", a number of 1 or more is expected");
        }
        return value;
    }

    /** Reads a required number of 0 or more. */
    static double requireNumber(Map<?, ?> map, String name, String place) {
        return readNumber(name + place, requireValue(map, name, place));
    }

    private static double readShare(Map<?, ?> map, String name, double defaultValue) {
        return map.get(name) == null ? defaultValue : readShare(name, map.get(name));
    }

    private static double readShare(String name, Object value) {
        if (readNumber(name, value) > 1) {
            throw new IllegalArgumentException("'" + name + "': found " + value + ", a share of 0 to 1 is expected");
        }
        return readNumber(name, value);
    }

    private static double readNumber(String name, Object value) {
        if (!(value instanceof Number number) || !(number.doubleValue() >= 0)) {
            String found = value instanceof String text ? '"' + text + '"' : String.valueOf(value);
            throw new IllegalArgumentException(
                    "'" + name + "': found " + found + ", a number of 0 or more is expected");
        }
        return number.doubleValue();
    }
}
