package spartrail.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import spartrail.coordination.Coordinator;
import spartrail.coordination.WindowCoordinator;
import spartrail.model.OpType;

/** Turns what a node is told at its start, on either wire, into our words and milliseconds. */
public final class Provisioning {
    private Provisioning() {}

    public static List<OpType> opTypes(Map<?, ?> info) {
        List<OpType> opTypes = new ArrayList<>();
        Map<?, ?> layout = map(info, "family-info");
        if (list(need(info, "classes", "")).isEmpty()) {
            throw new IllegalArgumentException(
                    "'classes': found " + info.get("classes") + ", a list of one or more is expected");
        }
        for (Object entry : list(info.get("classes"))) {
            if (!(entry instanceof Map<?, ?> line)) {
                throw new IllegalArgumentException("'classes': found " + entry + ", an object is expected");
            }
            int at = opTypes.size();
            OpType op = new OpType();
            op.name = String.valueOf(need(line, "name", " of classes"));
            if (opTypes.stream().anyMatch(other -> other.name.equals(op.name))) {
                throw new IllegalArgumentException(
                        "'classes': found " + op.name + " twice, each name once is expected");
            }
            op.priorityWeight = number(line, "worth", 1);
            op.latencyObjectiveMs = 1000 * needed(line, "aim", " of class " + op.name);
            op.timeoutMs = 1000 * needed(line, "deadline", " of class " + op.name);
            if (op.latencyObjectiveMs > op.timeoutMs) {
                throw new IllegalArgumentException("class " + op.name + ": found aim " + line.get("aim")
                        + " over deadline " + line.get("deadline") + ", an aim of no more is expected");
            }
            op.lateShare = share(line, "late-share", 0);
            op.idempotency = repeat(need(line, "effect", " of class " + op.name), op.name);
            // Danger: the rules rest on what a deduped class, the bounds and the rules state; no default stands in for
            // them.
            op.deduplicationWindowMs = 1000
                    * (op.idempotency == OpType.Idempotency.IDEMPOTENCY_KEY
                            ? needed(line, "key-ttl", " of class " + op.name)
                            : number(line, "key-ttl", 0));
            op.completeWeight = at(layout, "class-need", at, 1);
            op.minimumWeight = at(layout, "class-floor", at, op.completeWeight);
            op.partialShare = at(layout, "class-partial", at, 1);
            List<?> fetched = list(layout.get("fetch-parts"));
            if (at < fetched.size() && number("fetch-parts", fetched.get(at)) > 0 || flag(line, "stream")) {
                throw new IllegalArgumentException(
                        "class " + op.name + " has a second step or a stream, which is not served");
            }
            opTypes.add(op);
        }
        return opTypes;
    }

    public static Coordinator coordinator(long seed, Map<?, ?> info, List<OpType> opTypes) {
        Map<?, ?> layout = map(info, "family-info");
        return state(
                new WindowCoordinator(new Random(seed), opTypes)
                        .layout(
                                (int) above0(layout, "slabs", " of family-info"),
                                        (int) above0(layout, "sets", " of family-info"),
                                (int) above0(layout, "width", " of family-info"), (int) number(layout, "batch", 1)),
                info);
    }

    /** Tells a coordinator all that may change while it serves. */
    static Coordinator state(Coordinator coordinator, Map<?, ?> info) {
        Map<?, ?> bounds = map(info, "bounds");
        Map<?, ?> rules = map(info, "rules");
        double spanS = number(rules, "budget-window", 0);
        if (spanS == 0 && (rules.get("min-extra") != null || rules.get("further-ratio") != null)) {
            throw new IllegalArgumentException(
                    "min-extra or further-ratio is there, so 'budget-window' is to be above 0;" + " found "
                            + rules.get("budget-window"));
        }
        need(rules, "cold-share", " of rules");
        return coordinator
                .frontNodes((int) above0(info, "peers-total", ""), 1000 * needed(info, "tick", ""))
                .attempts(
                        (int) above0(bounds, "try-limit", " of bounds"),
                        flag(bounds, "parallel-tries"),
                        flag(bounds, "cancelling"))
                .retryBudget(1000 * spanS, number(rules, "min-extra", 0), number(rules, "further-ratio", 0))
                .slowStart(
                        share(rules, "cold-share", 1),
                        1000 * needed(rules, "warm-within", " of rules"),
                        needed(rules, "tip-multiple", " of rules"),
                        1000 * needed(rules, "fall", " of rules"))
                .retryAfter(flag(bounds, "retry-after"), 1000 * number(bounds, "max-retry-after", 0))
                .endpointPolling("ask".equals(info.get("discovery")), 1000 * number(rules, "ask-within", 0));
    }

    /**
     * In the place of each op type in use comes the one stated of the same name. What was learned, the times of its
     * answers, still means the same and is shared; multigets in hand keep the one they were taken by.
     */
    static void renew(List<OpType> inUse, List<OpType> stated) {
        inUse.replaceAll(op -> {
            OpType now = stated.stream()
                    .filter(other -> other.name.equals(op.name))
                    .findFirst()
                    .orElseThrow();
            OpType next = new OpType(op.latency);
            next.name = now.name;
            next.priorityWeight = now.priorityWeight;
            next.latencyObjectiveMs = now.latencyObjectiveMs;
            next.timeoutMs = now.timeoutMs;
            next.lateShare = now.lateShare;
            next.idempotency = now.idempotency;
            next.deduplicationWindowMs = now.deduplicationWindowMs;
            next.completeWeight = now.completeWeight;
            next.minimumWeight = now.minimumWeight;
            next.partialShare = now.partialShare;
            return next;
        });
    }

    private static OpType.Idempotency repeat(Object effect, String opType) {
        return switch (String.valueOf(effect)) {
            case "free" -> OpType.Idempotency.IDEMPOTENT;
            case "guarded" -> OpType.Idempotency.IDEMPOTENCY_KEY;
            case "single_shot" -> OpType.Idempotency.NON_IDEMPOTENT;
            default -> throw new IllegalArgumentException("unknown effect '" + effect + "' of class " + opType);
        };
    }

    private static Object need(Map<?, ?> map, String name, String of) {
        Object value = map.get(name);
        if (value == null) {
            throw new IllegalArgumentException("the settings lack '" + name + "'" + of);
        }
        return value;
    }

    static Map<?, ?> map(Map<?, ?> map, String name) {
        Object value = map.get(name);
        if (value != null && !(value instanceof Map<?, ?>)) {
            throw new IllegalArgumentException("'" + name + "': found " + value + ", an object is expected");
        }
        return value == null ? Map.of() : (Map<?, ?>) value;
    }

    private static List<?> list(Object value) {
        return value instanceof List<?> list ? list : List.of();
    }

    private static double at(Map<?, ?> map, String name, int index, double otherwise) {
        List<?> values = list(map.get(name));
        return index < values.size() ? share(name, values.get(index)) : otherwise;
    }

    static boolean flag(Map<?, ?> map, String name) {
        Object value = map.get(name);
        if (value != null && !(value instanceof Boolean)) {
            throw new IllegalArgumentException("'" + name + "': found " + value + ", true or false is expected");
        }
        return Boolean.TRUE.equals(value);
    }

    /** A missing number is the default; one that is there and none, or below 0, is a mistake. */
    static double number(Map<?, ?> map, String name, double otherwise) {
        return map.get(name) == null ? otherwise : number(name, map.get(name));
    }

    /** A number that is there, of 1 or more. */
    static double above0(Map<?, ?> map, String name, String of) {
        double value = needed(map, name, of);
        if (value < 1) {
            throw new IllegalArgumentException(
                    "'" + name + of + "': found " + map.get(name) + ", a number of 1 or more is expected");
        }
        return value;
    }

    /** A number that is there. */
    static double needed(Map<?, ?> map, String name, String of) {
        return number(name + of, need(map, name, of));
    }

    private static double share(Map<?, ?> map, String name, double otherwise) {
        return map.get(name) == null ? otherwise : share(name, map.get(name));
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
