package spartrail.config;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import spartrail.model.OpType;
import spartrail.policy.IdempotencyNames;
import spartrail.policy.PolicySettings;

/** Maps the settings of the deploy file, with times in seconds, to the fields of policy, in milliseconds, and back. */
public final class PolicyFields {
    private record Field(String policyField, String section, String setting, double unitFactor, Object defaultValue) {
        /** Converts a setting to the unit of the policy field; the default if the setting is missing. */
        Object toPolicy(Object value) {
            if (value instanceof Number number) {
                return number.doubleValue() * unitFactor;
            }
            return value == null ? defaultValue : value;
        }
    }

    private static final List<Field> FIELDS = List.of(
            new Field("/sends/most", "bounds", "try-limit", 1, (double) Integer.MAX_VALUE),
            new Field("/sends/parallel", "bounds", "parallel-tries", 0, false),
            new Field("/furtherSends/spanMs", "rules", "budget-window", 1000, 0.0),
            new Field("/furtherSends/free", "rules", "min-extra", 1, 0.0),
            new Field("/furtherSends/share", "rules", "further-ratio", 1, 0.0),
            new Field("/cold/leastShare", "rules", "cold-share", 1, 1.0),
            new Field("/cold/warmMs", "rules", "warm-within", 1000, 0.0),
            new Field("/cold/tipMultiple", "rules", "tip-multiple", 1, 1.0),
            new Field("/cold/fallMs", "rules", "fall", 1000, 0.0),
            new Field("/comeback/told", "bounds", "retry-after", 0, false),
            new Field("/comeback/longestMs", "bounds", "max-retry-after", 1000, 0.0),
            new Field("/inHand/most", "bounds", "open-cap", 1, (double) Integer.MAX_VALUE));
    private static final Map<String, String> CLASS_SETTINGS = Map.of(
            "importance",
            "worth",
            "budgetMs",
            "aim",
            "timeoutMs",
            "deadline",
            "lateShare",
            "late-share",
            "dedupMs",
            "key-ttl");
    private static final Map<String, String> LAYOUT_SETTINGS =
            Map.of("need", "class-need", "floor", "class-floor", "partialShare", "class-partial");
    private static final Map<String, String> EFFECTS_BY_POLICY_NAME =
            Map.of("RETRIABLE", "free", "DEDUPED", "guarded", "NON_RETRIABLE", "single_shot");

    private PolicyFields() {}

    /** Reads the settings of a file that policy may change. */
    public static PolicySettings read(DeploymentFile file) {
        Map<String, Object> values = new TreeMap<>();
        for (OpType op : file.opTypes()) {
            String prefix = "/opTypes/" + op.name + "/";
            values.putAll(Map.of(
                    prefix + "importance",
                    op.priorityWeight,
                    prefix + "budgetMs",
                    op.latencyObjectiveMs,
                    prefix + "timeoutMs",
                    op.timeoutMs,
                    prefix + "lateShare",
                    op.lateShare,
                    prefix + "repeat",
                    IdempotencyNames.nameOf(op.idempotency),
                    prefix + "dedupMs",
                    op.deduplicationWindowMs,
                    prefix + "need",
                    op.completeWeight,
                    prefix + "floor",
                    op.minimumWeight,
                    prefix + "partialShare",
                    op.partialShare));
        }
        for (Field field : FIELDS) {
            Object value = CoordinatorSettings.readSection(file.settings(), field.section)
                    .get(field.setting);
            values.put(field.policyField, field.toPolicy(value));
        }
        return PolicySettings.of(values);
    }

    /**
     * The file with these policy settings instead of its own; an IllegalArgumentException if the result is not usable.
     */
    public static DeploymentFile apply(DeploymentFile file, PolicySettings policy) {
        PolicySettings own = read(file);
        Map<String, Object> settings = copy(file.settings());
        for (Field field : FIELDS) {
            Object value = field.unitFactor == 0
                    ? (Object) policy.flag(field.policyField)
                    : policy.number(field.policyField) / field.unitFactor;
            boolean unchanged = field.unitFactor == 0
                    ? policy.flag(field.policyField) == own.flag(field.policyField)
                    : policy.number(field.policyField) == own.number(field.policyField);
            if (!unchanged) {
                copySection(settings, field.section).put(field.setting, value);
            }
        }
        List<Object> classes = new ArrayList<>();
        Map<String, Object> layout = copySection(settings, "family-info");
        List<OpType> opTypes = file.opTypes();
        for (int i = 0; i < opTypes.size(); i++) {
            String prefix = "/opTypes/" + opTypes.get(i).name + "/";
            Map<String, Object> line =
                    copy((Map<?, ?>) ((List<?>) file.settings().get("classes")).get(i));
            CLASS_SETTINGS.forEach(
                    (field, name) -> line.put(name, policy.number(prefix + field) / (field.endsWith("Ms") ? 1000 : 1)));
            line.put("effect", EFFECTS_BY_POLICY_NAME.get(policy.text(prefix + "repeat")));
            classes.add(line);
        }
        settings.put("classes", classes);
        LAYOUT_SETTINGS.forEach((field, name) -> layout.put(
                name,
                opTypes.stream()
                        .map(op -> (Object) policy.number("/opTypes/" + op.name + "/" + field))
                        .toList()));
        return file.withSettings(settings);
    }

    private static Map<String, Object> copy(Map<?, ?> map) {
        Map<String, Object> copy = new LinkedHashMap<>();
        map.forEach((name, value) -> copy.put(name.toString(), value));
        return copy;
    }

    /** Replaces a section of the settings by a copy that can be changed, and returns that. */
    private static Map<String, Object> copySection(Map<String, Object> settings, String name) {
        Map<String, Object> section = copy(CoordinatorSettings.readSection(settings, name));
        settings.put(name, section);
        return section;
    }
}
