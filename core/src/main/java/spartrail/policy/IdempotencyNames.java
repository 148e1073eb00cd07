package spartrail.policy;

import java.util.List;
import java.util.stream.Stream;
import spartrail.model.OpType.Idempotency;

/** The names of idempotency in policy's messages and on disk; they stay when the constants get other names. */
public final class IdempotencyNames {
    private IdempotencyNames() {}

    /** The name that is written. */
    public static String nameOf(Idempotency idempotency) {
        return switch (idempotency) {
            case IDEMPOTENT -> "RETRIABLE";
            case IDEMPOTENCY_KEY -> "DEDUPED";
            case NON_IDEMPOTENT -> "NON_RETRIABLE";
        };
    }

    /** All names that may be read, from the least to the strictest. */
    static List<String> all() {
        return Stream.of(Idempotency.values()).map(IdempotencyNames::nameOf).toList();
    }

    /** The stricter of two names. */
    static String stricter(String one, String other) {
        return all().indexOf(one) >= all().indexOf(other) ? one : other;
    }
}
