package spartrail.policy;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import java.io.IOException;
import java.io.StringWriter;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.TreeSet;
import spartrail.json.JsonTree;

/**
 * What may change while a node runs, by field: all of it as a node goes by it, or the part that a version states. Immutable.
 * Times in milliseconds, shares from 0 to 1.
 *
 * <pre>
 *  field                          stricter of two    why both allow it
 *  opTypes/NAME/budgetMs          the shorter        an answer within the shorter is within the longer
 *  opTypes/NAME/timeoutMs         the shorter
 *  opTypes/NAME/need, floor       the larger         an answer that is enough for the larger is for the smaller
 *  opTypes/NAME/dedupMs           the shorter        a repeat within the shorter is within the longer
 *  opTypes/NAME/repeat            the least          what may not be repeated under one is not
 *  opTypes/NAME/importance,       the first one's    they order work and bound nothing
 *      lateShare, partialShare
 *  sends/most                     the fewer          a count within the smaller is within the larger
 *  sends/parallel                 only if both
 *  furtherSends/free, share       the fewer
 *  furtherSends/spanMs            the longer; where they differ, no share: what is free in the longer span is free in the
 *                                 shorter one within it, a share of what was taken in it is not; none, the other one's
 *  cold/leastShare, tipMultiple,  the smaller        less is sent to a cold server
 *      fallMs
 *  cold/warmMs                    the longer
 *  comeback/told                  only if both
 *  comeback/longestMs             the shorter        a client comes no later than either allows
 *  inHand/most                    the fewer
 * </pre>
 */
public final class PolicySettings {
    /** What stands in a field, and which of two is the stricter. */
    private enum Kind {
        LESS,
        MORE,
        FIRST,
        SHARE_LESS,
        SHARE_MORE,
        SHARE_FIRST,
        COUNT_LESS,
        BOTH,
        REPEAT,
        BUDGET
    }

    private static final String OP_TYPES = "/opTypes/";
    private static final String SPAN = "/furtherSends/spanMs";
    private static final String SHARE = "/furtherSends/share";
    private static final Map<String, Kind> FIELDS = Map.ofEntries(
            Map.entry(OP_TYPES + "*/budgetMs", Kind.LESS),
            Map.entry(OP_TYPES + "*/timeoutMs", Kind.LESS),
            Map.entry(OP_TYPES + "*/need", Kind.SHARE_MORE),
            Map.entry(OP_TYPES + "*/floor", Kind.SHARE_MORE),
            Map.entry(OP_TYPES + "*/dedupMs", Kind.LESS),
            Map.entry(OP_TYPES + "*/repeat", Kind.REPEAT),
            Map.entry(OP_TYPES + "*/importance", Kind.FIRST),
            Map.entry(OP_TYPES + "*/lateShare", Kind.SHARE_FIRST),
            Map.entry(OP_TYPES + "*/partialShare", Kind.SHARE_FIRST),
            Map.entry("/sends/most", Kind.COUNT_LESS),
            Map.entry("/sends/parallel", Kind.BOTH),
            Map.entry(SPAN, Kind.BUDGET),
            Map.entry("/furtherSends/free", Kind.LESS),
            Map.entry(SHARE, Kind.SHARE_LESS),
            Map.entry("/cold/leastShare", Kind.SHARE_LESS),
            Map.entry("/cold/tipMultiple", Kind.LESS),
            Map.entry("/cold/fallMs", Kind.LESS),
            Map.entry("/cold/warmMs", Kind.MORE),
            Map.entry("/comeback/told", Kind.BOTH),
            Map.entry("/comeback/longestMs", Kind.LESS),
            Map.entry("/inHand/most", Kind.COUNT_LESS));

    private final SortedMap<String, Object> fields;

    private PolicySettings(SortedMap<String, Object> fields) {
        this.fields = fields;
    }

    /** Of values by field; an IllegalArgumentException says in one line which one is wrong. */
    public static PolicySettings of(Map<String, ?> values) {
        TreeMap<String, Object> fields = new TreeMap<>();
        values.forEach((field, value) -> fields.put(field, checked(field, value)));
        return new PolicySettings(fields);
    }

    /** What a version states, as a JSON object, nested or by fields. */
    public static PolicySettings parse(String text) {
        try (JsonParser parser = new JsonFactory().createParser(text)) {
            if (parser.nextToken() == null || !(JsonTree.readValue(parser) instanceof Map<?, ?> tree)) {
                throw new IllegalArgumentException("a JSON object is expected");
            }
            Map<String, Object> values = new TreeMap<>();
            flat("", tree, values);
            return of(values);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException(
                    "no JSON: " + JsonTree.describe(e) + " in line "
                            + e.getLocation().getLineNr(),
                    e);
        } catch (IOException e) {
            throw new IllegalStateException("text in memory", e);
        }
    }

    private static void flat(String path, Map<?, ?> tree, Map<String, Object> values) {
        tree.forEach((name, value) -> {
            String field = (name.toString().startsWith("/") ? path : path + "/") + name;
            if (value instanceof Map<?, ?> inner) {
                flat(field, inner, values);
            } else if (values.put(field, value == null ? "null" : value) != null) {
                throw new IllegalArgumentException(field + ": is there twice");
            }
        });
    }

    private static Kind kind(String field) {
        String[] steps = field.split("/", -1);
        boolean ofOpType = field.startsWith(OP_TYPES) && steps.length == 4 && !steps[2].isEmpty();
        return FIELDS.get(ofOpType ? OP_TYPES + "*/" + steps[3] : field.contains("*") ? "" : field);
    }

    private static Object checked(String field, Object value) {
        Kind kind = kind(field);
        if (kind == null) {
            throw new IllegalArgumentException(
                    field + ": cannot change while nodes run, or is not known to this program; one of "
                            + new TreeSet<>(FIELDS.keySet()) + " is expected");
        }
        switch (kind) {
            case BOTH -> {
                return flag(field, value);
            }
            case REPEAT -> {
                if (value instanceof String name && IdempotencyNames.all().contains(name)) {
                    return value;
                }
                throw new IllegalArgumentException(
                        field + ": found " + value + ", one of " + IdempotencyNames.all() + " is expected");
            }
            default -> {
                boolean share = kind.name().startsWith("SHARE");
                double least = kind == Kind.COUNT_LESS ? 1 : 0;
                double number = value instanceof Number given ? given.doubleValue() : Double.NaN;
                if (!(number >= least) || Double.isInfinite(number) || share && number > 1) {
                    throw new IllegalArgumentException(field + ": found " + value + ", "
                            + (share ? "a share of 0 to 1" : "a number of " + (int) least + " or more")
                            + " is expected");
                }
                return number;
            }
        }
    }

    private static Object flag(String field, Object value) {
        if (!(value instanceof Boolean)) {
            throw new IllegalArgumentException(field + ": found " + value + ", true or false is expected");
        }
        return value;
    }

    /** These, and of that what it states; an IllegalArgumentException where it states what a node does not have. */
    public PolicySettings overriddenBy(PolicySettings version) {
        TreeMap<String, Object> all = new TreeMap<>(fields);
        version.fields.forEach((field, value) -> {
            if (all.put(field, value) == null) {
                throw new IllegalArgumentException(field + ": this node has no such op type");
            }
        });
        PolicySettings made = new PolicySettings(all);
        made.opTypeNames().forEach(name -> {
            if (made.number(OP_TYPES + name + "/budgetMs") > made.number(OP_TYPES + name + "/timeoutMs")) {
                throw new IllegalArgumentException(OP_TYPES + name + "/budgetMs: found "
                        + made.number(OP_TYPES + name + "/budgetMs") + ", no more than timeoutMs, "
                        + made.number(OP_TYPES + name + "/timeoutMs") + ", is expected");
            }
        });
        return made;
    }

    /** Field by field the stricter of both, as the table above says. Both are of one node, so that they have the same fields. */
    public PolicySettings stricterOf(PolicySettings other) {
        TreeMap<String, Object> all = new TreeMap<>();
        fields.forEach((field, value) -> all.put(field, stricterOf(kind(field), value, other.fields.get(field))));
        if (!Objects.equals(fields.get(SPAN), other.fields.get(SPAN))) {
            PolicySettings without = number(SPAN) == 0 ? this : other;
            PolicySettings with = without == this ? other : this;
            if (without.number(SPAN) == 0) {
                with.fields.subMap("/furtherSends/", "/furtherSends0").forEach(all::put);
            } else {
                all.put(SHARE, 0.0);
            }
        }
        return new PolicySettings(all);
    }

    private static Object stricterOf(Kind kind, Object one, Object other) {
        return switch (kind) {
            case LESS, SHARE_LESS, COUNT_LESS -> Math.min((double) one, (double) other);
            case MORE, SHARE_MORE, BUDGET -> Math.max((double) one, (double) other);
            case BOTH -> (boolean) one && (boolean) other;
            case REPEAT -> IdempotencyNames.stricter((String) one, (String) other);
            default -> one;
        };
    }

    /** Whether whoever keeps to these keeps to those, too; what only orders work is not asked. */
    public boolean isWithin(PolicySettings wider) {
        return wider.stricterOf(this).fields.entrySet().stream()
                .allMatch(each -> kind(each.getKey()).name().endsWith("FIRST")
                        || each.getValue().equals(fields.get(each.getKey())));
    }

    /** Names of op types that are told of. */
    public List<String> opTypeNames() {
        return fields.keySet().stream()
                .filter(field -> field.startsWith(OP_TYPES))
                .map(field -> field.split("/")[2])
                .distinct()
                .toList();
    }

    public double number(String field) {
        return (double) fields.get(field);
    }

    public boolean flag(String field) {
        return (boolean) fields.get(field);
    }

    public String text(String field) {
        return (String) fields.get(field);
    }

    /** What differs, a line each: field, here, there. */
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

    /** As a JSON object by fields, in their order: the same terms are the same text. */
    public String toJson() {
        StringWriter text = new StringWriter();
        try (JsonGenerator out = new JsonFactory().createGenerator(text)) {
            out.writeStartObject();
            for (Map.Entry<String, Object> field : fields.entrySet()) {
                out.writeFieldName(field.getKey());
                if (field.getValue() instanceof Boolean flag) {
                    out.writeBoolean(flag);
                } else if (field.getValue() instanceof Double number) {
                    out.writeNumber(number);
                } else {
                    out.writeString(field.getValue().toString());
                }
            }
            out.writeEndObject();
        } catch (IOException e) {
            throw new IllegalStateException("text in memory", e);
        }
        return text.toString();
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof PolicySettings terms && terms.fields.equals(fields);
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
