package spartrail.policy;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.TreeSet;
import spartrail.json.JsonTree;

/**
 * The settings that may change while a node runs, by field: all settings of a node, or the part that a version changes.
 * Immutable. Times are in milliseconds, shares from 0 to 1.
 *
 * <pre>
 *  field                          stricter of two    why both allow it
 *  opTypes/NAME/budgetMs          the shorter        an answer within the shorter is within the longer
 *  opTypes/NAME/timeoutMs         the shorter
 *  opTypes/NAME/need, floor       the larger         an answer that suffices for the larger suffices for the smaller
 *  opTypes/NAME/dedupMs           the shorter        a retry within the shorter is within the longer
 *  opTypes/NAME/repeat            the strictest      a call is retried only if both allow a retry
 *  opTypes/NAME/importance,       the first one's    they only rank work and limit nothing
 *      lateShare, partialShare
 *  sends/most                     the fewer          a count within the smaller is within the larger
 *  sends/parallel                 only if both
 *  furtherSends/free, share       the fewer
 *  furtherSends/spanMs            the longer; where the spans differ, the share is 0: what is free in the longer span
 *                                 is also free in each shorter span within it, but a share of the requests in the
 *                                 longer span may exceed that of the shorter; a span of 0 is no budget, and the other
 *                                 budget applies
 *  cold/leastShare, tipMultiple,  the smaller        less is sent to a server that is warming up
 *      fallMs
 *  cold/warmMs                    the longer
 *  comeback/told                  only if both
 *  comeback/longestMs             the shorter        a client retries no later than either allows
 *  inHand/most                    the fewer
 * </pre>
 */
public final class PolicySettings {
    private static final String OP_TYPES = "/opTypes/";
    private static final String ANY_OP_TYPE = OP_TYPES + "*/";
    private static final String LATENCY_OBJECTIVE = "/budgetMs";
    private static final String TIMEOUT = "/timeoutMs";
    private static final String RETRY_BUDGET = "/furtherSends/";

    /** Sorts after all fields of the retry budget, and before all later fields. */
    private static final String RETRY_BUDGET_END = "/furtherSends0";

    private static final String RETRY_BUDGET_SPAN = RETRY_BUDGET + "spanMs";
    private static final String RETRY_BUDGET_SHARE = RETRY_BUDGET + "share";

    private static final Map<String, SettingRule> RULES = Map.ofEntries(
            Map.entry(ANY_OP_TYPE + "budgetMs", SettingRule.SMALLER),
            Map.entry(ANY_OP_TYPE + "timeoutMs", SettingRule.SMALLER),
            Map.entry(ANY_OP_TYPE + "need", SettingRule.LARGER_SHARE),
            Map.entry(ANY_OP_TYPE + "floor", SettingRule.LARGER_SHARE),
            Map.entry(ANY_OP_TYPE + "dedupMs", SettingRule.SMALLER),
            Map.entry(ANY_OP_TYPE + "repeat", SettingRule.LEAST_REPEATABLE),
            Map.entry(ANY_OP_TYPE + "importance", SettingRule.UNORDERED),
            Map.entry(ANY_OP_TYPE + "lateShare", SettingRule.UNORDERED_SHARE),
            Map.entry(ANY_OP_TYPE + "partialShare", SettingRule.UNORDERED_SHARE),
            Map.entry("/sends/most", SettingRule.SMALLER_COUNT),
            Map.entry("/sends/parallel", SettingRule.ONLY_IF_BOTH),
            Map.entry(RETRY_BUDGET_SPAN, SettingRule.LARGER),
            Map.entry(RETRY_BUDGET + "free", SettingRule.SMALLER),
            Map.entry(RETRY_BUDGET_SHARE, SettingRule.SMALLER_SHARE),
            Map.entry("/cold/leastShare", SettingRule.SMALLER_SHARE),
            Map.entry("/cold/tipMultiple", SettingRule.SMALLER),
            Map.entry("/cold/fallMs", SettingRule.SMALLER),
            Map.entry("/cold/warmMs", SettingRule.LARGER),
            Map.entry("/comeback/told", SettingRule.ONLY_IF_BOTH),
            Map.entry("/comeback/longestMs", SettingRule.SMALLER),
            Map.entry("/inHand/most", SettingRule.SMALLER_COUNT));

    private final SortedMap<String, Object> fields;

    private PolicySettings(SortedMap<String, Object> fields) {
        this.fields = fields;
    }

    /** Settings with these values by field; the one-line IllegalArgumentException names the invalid field. */
    public static PolicySettings of(Map<String, ?> values) {
        TreeMap<String, Object> fields = new TreeMap<>();
        values.forEach((field, value) -> fields.put(field, ruleFor(field).requireValid(field, value)));
        return new PolicySettings(fields);
    }

    private static SettingRule ruleFor(String field) {
        SettingRule rule = RULES.get(patternOf(field));
        if (rule == null) {
            throw new IllegalArgumentException(
                    field + ": cannot change while nodes run, or is not known to this program; one of "
                            + new TreeSet<>(RULES.keySet()) + " is expected");
        }
        return rule;
    }

    /** The key of {@link #RULES} for a field, with a wildcard for the op type; empty for a field that contains it. */
    private static String patternOf(String field) {
        String[] steps = field.split("/", -1);
        boolean isOfOpType = field.startsWith(OP_TYPES) && steps.length == 4 && !steps[2].isEmpty();
        if (isOfOpType) {
            return ANY_OP_TYPE + steps[3];
        }
        return field.contains("*") ? "" : field;
    }

    // ---- JSON ----

    /** Reads settings from a JSON object, nested or by field; throws IllegalArgumentException if they are invalid. */
    public static PolicySettings parse(String text) {
        try (JsonParser parser = new JsonFactory().createParser(text)) {
            if (parser.nextToken() == null || !(JsonTree.readValue(parser) instanceof Map<?, ?> tree)) {
                throw new IllegalArgumentException("a JSON object is expected");
            }
            Map<String, Object> values = new TreeMap<>();
            flatten("", tree, values);
            return of(values);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException(
                    "no JSON: " + JsonTree.describe(e) + " in line "
                            + e.getLocation().getLineNr(),
                    e);
        } catch (IOException e) {
            throw new UncheckedIOException("reading from memory", e);
        }
    }

    private static void flatten(String path, Map<?, ?> tree, Map<String, Object> values) {
        tree.forEach((name, value) -> {
            String separator = name.toString().startsWith("/") ? "" : "/";
            String field = path + separator + name;
            if (value instanceof Map<?, ?> inner) {
                flatten(field, inner, values);
            } else if (values.put(field, value == null ? "null" : value) != null) {
                throw new IllegalArgumentException(field + ": found twice, one value is expected");
            }
        });
    }

    /** A JSON object by field, in sorted order: equal settings give equal texts. */
    public String toJson() {
        StringWriter text = new StringWriter();
        try (JsonGenerator out = new JsonFactory().createGenerator(text)) {
            out.writeStartObject();
            for (Map.Entry<String, Object> field : fields.entrySet()) {
                out.writeFieldName(field.getKey());
                writeValue(out, field.getValue());
            }
            out.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException("writing to memory", e);
        }
        return text.toString();
    }

    private static void writeValue(JsonGenerator out, Object value) throws IOException {
        if (value instanceof Boolean flag) {
            out.writeBoolean(flag);
        } else if (value instanceof Double number) {
            out.writeNumber(number);
        } else {
            out.writeString(value.toString());
        }
    }

    // ---- Versions on top of a node's settings ----

    /** These settings overridden by a version; throws IllegalArgumentException if the node does not have its fields. */
    public PolicySettings overriddenBy(PolicySettings version) {
        TreeMap<String, Object> all = new TreeMap<>(fields);
        version.fields.forEach((field, value) -> {
            if (all.put(field, value) == null) {
                throw new IllegalArgumentException(field + ": this node has no such op type");
            }
        });
        PolicySettings merged = new PolicySettings(all);
        merged.opTypeNames().forEach(merged::checkLatencyObjective);
        return merged;
    }

    private void checkLatencyObjective(String opType) {
        double latencyObjectiveMs = number(OP_TYPES + opType + LATENCY_OBJECTIVE);
        double timeoutMs = number(OP_TYPES + opType + TIMEOUT);
        if (latencyObjectiveMs > timeoutMs) {
            throw new IllegalArgumentException(OP_TYPES + opType + LATENCY_OBJECTIVE + ": found " + latencyObjectiveMs
                    + ", no more than timeoutMs, " + timeoutMs + ", is expected");
        }
    }

    /** The stricter value of each field, as in the table above. Both settings are of one node, with the same fields. */
    public PolicySettings stricterOf(PolicySettings other) {
        TreeMap<String, Object> all = new TreeMap<>();
        fields.forEach((field, value) -> all.put(field, ruleFor(field).stricterOf(value, other.fields.get(field))));
        if (!Objects.equals(fields.get(RETRY_BUDGET_SPAN), other.fields.get(RETRY_BUDGET_SPAN))) {
            mergeRetryBudgets(other, all);
        }
        return new PolicySettings(all);
    }

    /** Two retry budgets over different spans have only their free retries in common; a span of 0 is no budget. */
    private void mergeRetryBudgets(PolicySettings other, TreeMap<String, Object> all) {
        if (number(RETRY_BUDGET_SPAN) == 0) {
            all.putAll(other.retryBudget());
        } else if (other.number(RETRY_BUDGET_SPAN) == 0) {
            all.putAll(retryBudget());
        } else {
            all.put(RETRY_BUDGET_SHARE, 0.0);
        }
    }

    private SortedMap<String, Object> retryBudget() {
        return fields.subMap(RETRY_BUDGET, RETRY_BUDGET_END);
    }

    /**
     * Whether a node that keeps to these settings also keeps to the wider ones; fields that only rank work are ignored.
     */
    public boolean isWithin(PolicySettings wider) {
        return wider.stricterOf(this).fields.entrySet().stream()
                .allMatch(field ->
                        !ruleFor(field.getKey()).isBinding() || field.getValue().equals(fields.get(field.getKey())));
    }

    /** The fields that differ, a line each: field, value here, value in the other settings. */
    public List<String> differencesTo(PolicySettings other) {
        List<String> lines = new ArrayList<>();
        TreeSet<String> all = new TreeSet<>(fields.keySet());
        all.addAll(other.fields.keySet());
        for (String field : all) {
            if (!Objects.equals(fields.get(field), other.fields.get(field))) {
                lines.add(field + ": " + fields.getOrDefault(field, "-") + " -> "
                        + other.fields.getOrDefault(field, "-"));
            }
        }
        return lines;
    }

    // ---- Values ----

    /** The names of the op types that have settings here. */
    public List<String> opTypeNames() {
        return fields.keySet().stream()
                .filter(field -> field.startsWith(OP_TYPES))
                .map(field -> field.split("/")[2])
                .distinct()
                .toList();
    }

    /** The value of a field that holds a number. */
    public double number(String field) {
        return (double) fields.get(field);
    }

    /** The value of a field that holds a flag. */
    public boolean flag(String field) {
        return (boolean) fields.get(field);
    }

    /** The value of a field that holds a text. */
    public String text(String field) {
        return (String) fields.get(field);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof PolicySettings settings && settings.fields.equals(fields);
    }

    @Override
    public int hashCode() {
        return fields.hashCode();
    }

    @Override
    public String toString() {
        return toJson();
    }
}
