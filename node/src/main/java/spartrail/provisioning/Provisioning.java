package spartrail.provisioning;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import spartrail.coordination.Coordinator;
import spartrail.coordination.WindowCoordinator;
import spartrail.model.OpType;

/** Turns what a node is told at its start, on either wire, into our words and milliseconds. */
public final class Provisioning {
    private Provisioning() {
    }

    public static List<OpType> opTypes(Map<?, ?> info) {
        List<OpType> opTypes = new ArrayList<>();
        Map<?, ?> layout = map(info, "family-info");
        for (Object entry : list(need(info, "classes", ""))) {
            Map<?, ?> line = (Map<?, ?>) entry;
            int at = opTypes.size();
            OpType op = new OpType();
            op.name = String.valueOf(need(line, "name", " of classes"));
            op.importance = number(line, "worth", 1);
            op.budgetMs = 1000 * number(need(line, "aim", " of class " + op.name));
            op.timeoutMs = 1000 * number(need(line, "deadline", " of class " + op.name));
            op.lateShare = number(line, "late-share", 0);
            op.repeat = repeat(need(line, "effect", " of class " + op.name), op.name);
            op.dedupMs = 1000 * number(line, "key-ttl", 0);
            op.need = at(layout, "class-need", at, 1);
            op.floor = at(layout, "class-floor", at, op.need);
            op.partialShare = at(layout, "class-partial", at, 1);
            if (at(layout, "fetch-parts", at, 0) > 0 || flag(line, "stream")) {
                throw new IllegalArgumentException("class " + op.name + " has a second step or a stream, which is not served");
            }
            opTypes.add(op);
        }
        return opTypes;
    }

    public static Coordinator coordinator(long seed, Map<?, ?> info, List<OpType> opTypes) {
        Map<?, ?> layout = map(info, "family-info");
        Map<?, ?> bounds = map(info, "bounds");
        Map<?, ?> rules = map(info, "rules");
        return new WindowCoordinator(new Random(seed), opTypes)
                .nodes((int) number(info, "peers-total", 1), 1000 * number(need(info, "tick", "")))
                .layout((int) number(need(layout, "slabs", " of family-info")),
                        (int) number(need(layout, "sets", " of family-info")),
                        (int) number(need(layout, "width", " of family-info")), (int) number(layout, "batch", 1))
                .sends((int) number(bounds, "try-limit", Integer.MAX_VALUE), flag(bounds, "parallel-tries"),
                        flag(bounds, "cancelling"))
                .furtherSendBudget(1000 * number(rules, "budget-window", 0), number(rules, "min-extra", 0),
                        number(rules, "further-ratio", 0))
                .coldStart(number(rules, "cold-share", 1), 1000 * number(rules, "warm-within", 0),
                        number(rules, "tip-multiple", 1), 1000 * number(rules, "fall", 0))
                .comeback(flag(bounds, "retry-after"), 1000 * number(bounds, "max-retry-after", 0))
                .list("ask".equals(info.get("discovery")), 1000 * number(rules, "ask-within", 0));
    }

    private static OpType.Repeat repeat(Object effect, String opType) {
        return switch (String.valueOf(effect)) {
            case "free" -> OpType.Repeat.RETRIABLE;
            case "guarded" -> OpType.Repeat.DEDUPED;
            case "single_shot" -> OpType.Repeat.NON_RETRIABLE;
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
        return map.get(name) instanceof Map<?, ?> inner ? inner : Map.of();
    }

    private static List<?> list(Object value) {
        return value instanceof List<?> list ? list : List.of();
    }

    private static double at(Map<?, ?> map, String name, int index, double otherwise) {
        List<?> values = list(map.get(name));
        return index < values.size() ? number(values.get(index)) : otherwise;
    }

    static boolean flag(Map<?, ?> map, String name) {
        return Boolean.TRUE.equals(map.get(name));
    }

    static double number(Map<?, ?> map, String name, double otherwise) {
        return map.get(name) instanceof Number number ? number.doubleValue() : otherwise;
    }

    private static double number(Object value) {
        return ((Number) value).doubleValue();
    }
}
