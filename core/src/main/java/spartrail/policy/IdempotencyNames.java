package spartrail.policy;

import java.util.List;
import java.util.stream.Stream;
import spartrail.model.OpType.Idempotency;

/** The names of {@link Idempotency} constants in policy messages and on disk; independent of the Java names. */
public final class IdempotencyNames {
    private IdempotencyNames() {}

    /** The name of a constant in messages and on disk. */
    public static String nameOf(Idempotency idempotency) {
        return switch (idempotency) {
            case IDEMPOTENT -> "RETRIABLE";
            case IDEMPOTENCY_KEY -> "DEDUPED";
            case NON_IDEMPOTENT -> "NON_RETRIABLE";
        };
    }

    /** All names, from the least to the most strict. */
    static List<String> allNames() {
        return Stream.of(Idempotency.values()).map(IdempotencyNames::nameOf).toList();
    }

    /** The stricter of two names. */
    static String stricterOf(String first, String second) {
        return allNames().indexOf(first) >= allNames().indexOf(second) ? first : second;
    }
}
