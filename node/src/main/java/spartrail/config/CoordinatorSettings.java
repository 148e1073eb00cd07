package spartrail.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import spartrail.coordination.Coordinator;
import spartrail.coordination.WindowCoordinator;
import spartrail.model.OpType;

/**
 * Makes op types and a configured coordinator from the settings of the deploy file or of the simulator, whose names and seconds
 * are known here and nowhere else.
 */
public final class CoordinatorSettings {
    private CoordinatorSettings() {}

    /** The op types of the settings, with no latency statistics yet. */
    public static List<OpType> parseOpTypes(Map<?, ?> settings) {
        List<OpType> opTypes = new ArrayList<>();
        Map<?, ?> layout = section(settings, "family-info");
        if (list(requiredValue(settings, "classes", "")).isEmpty()) {
            throw new IllegalArgumentException(
                    "'classes': found " + settings.get("classes") + ", a list of one or more is expected");
        }
        for (Object entry : list(settings.get("classes"))) {
            if (!(entry instanceof Map<?, ?> line)) {
                throw new IllegalArgumentException("'classes': found " + entry + ", an object is expected");
            }
            int at = opTypes.size();
            OpType op = new OpType();
            op.name = String.valueOf(requiredValue(line, "name", " of classes"));
            if (opTypes.stream().anyMatch(other -> other.name.equals(op.name))) {
                throw new IllegalArgumentException(
                        "'classes': found " + op.name + " twice, each name once is expected");
            }
            op.priorityWeight = number(line, "worth", 1);
            op.latencyObjectiveMs = 1000 * requiredNumber(line, "aim", " of class " + op.name);
            op.timeoutMs = 1000 * requiredNumber(line, "deadline", " of class " + op.name);
            if (op.latencyObjectiveMs > op.timeoutMs) {
                throw new IllegalArgumentException("class " + op.name + ": found aim " + line.get("aim")
                        + " over deadline " + line.get("deadline") + ", an aim of no more is expected");
            }
            op.lateShare = share(line, "late-share", 0);
            op.idempotency = idempotency(requiredValue(line, "effect", " of class " + op.name), op.name);
            // No default stands in for what the rules rest on: a wrong one would break them unseen.
            op.deduplicationWindowMs = 1000
                    * (op.idempotency == OpType.Idempotency.IDEMPOTENCY_KEY
                            ? requiredNumber(line, "key-ttl", " of class " + op.name)
                            : number(line, "key-ttl", 0));
            op.completeWeight = shareAt(layout, "class-need", at, 1);
            op.minimumWeight = shareAt(layout, "class-floor", at, op.completeWeight);
            op.partialShare = shareAt(layout, "class-partial", at, 1);
            List<?> fetched = list(layout.get("fetch-parts"));
            if (at < fetched.size() && number("fetch-parts", fetched.get(at)) > 0 || flag(line, "stream")) {
                throw new IllegalArgumentException(
                        "class " + op.name + " has a second step or a stream, which is not served");
            }
            opTypes.add(op);
        }
        return opTypes;
    }

    /** A configured coordinator of these op types, whose random draws come from the seed. */
    public static Coordinator createCoordinator(long seed, Map<?, ?> settings, List<OpType> opTypes) {
        Map<?, ?> layout = section(settings, "family-info");
        return configure(
                new WindowCoordinator(new Random(seed), opTypes)
                        .configureLayout(
                                (int) requiredCount(layout, "slabs", " of family-info"),
                                        (int) requiredCount(layout, "sets", " of family-info"),
                                (int) requiredCount(layout, "width", " of family-info"),
                                        (int) number(layout, "batch", 1)),
                settings);
    }

    /** Configures a coordinator with all that may change while it serves. */
    static Coordinator configure(Coordinator coordinator, Map<?, ?> settings) {
        Map<?, ?> bounds = section(settings, "bounds");
        Map<?, ?> rules = section(settings, "rules");
        double spanS = number(rules, "budget-window", 0);
        if (spanS == 0 && (rules.get("min-extra") != null || rules.get("further-ratio") != null)) {
            throw new IllegalArgumentException(
                    "min-extra or further-ratio is there, so 'budget-window' is to be above 0;" + " found "
                            + rules.get("budget-window"));
        }
        requiredValue(rules, "cold-share", " of rules");
        return coordinator
                .configureFrontNodes(
                        (int) requiredCount(settings, "peers-total", ""), 1000 * requiredNumber(settings, "tick", ""))
                .configureAttempts(
                        (int) requiredCount(bounds, "try-limit", " of bounds"),
                        flag(bounds, "parallel-tries"),
                        flag(bounds, "cancelling"))
                .configureRetryBudget(1000 * spanS, number(rules, "min-extra", 0), number(rules, "further-ratio", 0))
                .configureSlowStart(
                        share(rules, "cold-share", 1),
                        1000 * requiredNumber(rules, "warm-within", " of rules"),
                        requiredNumber(rules, "tip-multiple", " of rules"),
                        1000 * requiredNumber(rules, "fall", " of rules"))
                .configureRetryAfter(flag(bounds, "retry-after"), 1000 * number(bounds, "max-retry-after", 0))
                .configureEndpointPolling(
                        "ask".equals(settings.get("discovery")), 1000 * number(rules, "ask-within", 0));
    }

    /**
     * Replaces each op type in use by the one of the same name in the update. Its latency statistics still hold and are shared;
     * multigets in hand keep the op type that they came with.
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

    private static OpType.Idempotency idempotency(Object effect, String opType) {
        return switch (String.valueOf(effect)) {
            case "free" -> OpType.Idempotency.IDEMPOTENT;
            case "guarded" -> OpType.Idempotency.IDEMPOTENCY_KEY;
            case "single_shot" -> OpType.Idempotency.NON_IDEMPOTENT;
            default -> throw new IllegalArgumentException("unknown effect '" + effect + "' of class " + opType);
        };
    }

    private static Object requiredValue(Map<?, ?> map, String name, String place) {
        Object value = map.get(name);
        if (value == null) {
            throw new IllegalArgumentException("the settings lack '" + name + "'" + place);
        }
        return value;
    }

    static Map<?, ?> section(Map<?, ?> map, String name) {
        Object value = map.get(name);
        if (value != null && !(value instanceof Map<?, ?>)) {
            throw new IllegalArgumentException("'" + name + "': found " + value + ", an object is expected");
        }
        return value == null ? Map.of() : (Map<?, ?>) value;
    }

    private static List<?> list(Object value) {
        return value instanceof List<?> list ? list : List.of();
    }

    private static double shareAt(Map<?, ?> map, String name, int index, double defaultValue) {
        List<?> values = list(map.get(name));
        return index < values.size() ? share(name, values.get(index)) : defaultValue;
    }

    static boolean flag(Map<?, ?> map, String name) {
        Object value = map.get(name);
        if (value != null && !(value instanceof Boolean)) {
            throw new IllegalArgumentException("'" + name + "': found " + value + ", true or false is expected");
        }
        return Boolean.TRUE.equals(value);
    }

    /** A missing number is the default; one that is there and none, or below 0, is a mistake. */
    static double number(Map<?, ?> map, String name, double defaultValue) {
        return map.get(name) == null ? defaultValue : number(name, map.get(name));
    }

    /** A number that is there, of 1 or more. */
    static double requiredCount(Map<?, ?> map, String name, String place) {
        double value = requiredNumber(map, name, place);
        if (value < 1) {
            throw new IllegalArgumentException(
                    "'" + name + place + "': found " + map.get(name) + ", a number of 1 or more is expected");
        }
        return value;
    }

    /** A number that is there. */
    static double requiredNumber(Map<?, ?> map, String name, String place) {
        return number(name + place, requiredValue(map, name, place));
    }

    private static double share(Map<?, ?> map, String name, double defaultValue) {
        return map.get(name) == null ? defaultValue : share(name, map.get(name));
    }

    private static double share(String name, Object value) {
        if (number(name, value) > 1) {
            throw new IllegalArgumentException("'" + name + "': found " + value + ", a share of 0 to 1 is expected");
        }
        return number(name, value);
    }

    private static double number(String name, Object value) {
        if (!(value instanceof Number number) || !(number.doubleValue() >= 0)) {
            String found = value instanceof String text ? '"' + text + '"' : String.valueOf(value);
            throw new IllegalArgumentException(
                    "'" + name + "': found " + found + ", a number of 0 or more is expected");
        }
        return number.doubleValue();
    }
}
