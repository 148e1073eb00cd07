package spartrail.policy;

/** The type of a field of {@link PolicySettings}, and the order that tells which of two values is the stricter. */
enum SettingRule {
    SMALLER(Type.NUMBER, Order.SMALLER),
    LARGER(Type.NUMBER, Order.LARGER),
    UNORDERED(Type.NUMBER, Order.FIRST),
    SMALLER_SHARE(Type.SHARE, Order.SMALLER),
    LARGER_SHARE(Type.SHARE, Order.LARGER),
    UNORDERED_SHARE(Type.SHARE, Order.FIRST),
    SMALLER_COUNT(Type.COUNT, Order.SMALLER),
    ONLY_IF_BOTH(Type.FLAG, Order.BOTH),
    LEAST_REPEATABLE(Type.IDEMPOTENCY, Order.LEAST_REPEATABLE);

    private enum Type {
        NUMBER,
        SHARE,
        COUNT,
        FLAG,
        IDEMPOTENCY
    }

    private enum Order {
        SMALLER,
        LARGER,
        /** The field only ranks work and limits nothing, so that neither value is stricter: the first is taken. */
        FIRST,
        BOTH,
        LEAST_REPEATABLE
    }

    private final Type type;
    private final Order order;

    SettingRule(Type type, Order order) {
        this.type = type;
        this.order = order;
    }

    /** Whether the field limits what a node may do. */
    boolean isBinding() {
        return order != Order.FIRST;
    }

    /** The value as it is stored; the IllegalArgumentException names the field, the value and what is expected. */
    Object requireValid(String field, Object value) {
        return switch (type) {
            case NUMBER -> requireNumber(field, value, 0, Double.POSITIVE_INFINITY, "a number of 0 or more");
            case COUNT -> requireNumber(field, value, 1, Double.POSITIVE_INFINITY, "a number of 1 or more");
            case SHARE -> requireNumber(field, value, 0, 1, "a share of 0 to 1");
            case FLAG -> requireFlag(field, value);
            case IDEMPOTENCY -> requireIdempotency(field, value);
        };
    }

    private static Object requireNumber(String field, Object value, double min, double max, String expected) {
        double number = value instanceof Number parsed ? parsed.doubleValue() : Double.NaN;
        boolean isValid = number >= min && number <= max && !Double.isInfinite(number);
        if (!isValid) {
            throw unexpectedValue(field, value, expected);
        }
        return number;
    }

    private static Object requireFlag(String field, Object value) {
        if (!(value instanceof Boolean)) {
            throw unexpectedValue(field, value, "true or false");
        }
        return value;
    }

    private static Object requireIdempotency(String field, Object value) {
        if (value instanceof String name && IdempotencyNames.allNames().contains(name)) {
            return value;
        }
        throw unexpectedValue(field, value, "one of " + IdempotencyNames.allNames());
    }

    private static IllegalArgumentException unexpectedValue(String field, Object found, String expected) {
        return new IllegalArgumentException(field + ": found " + found + ", " + expected + " is expected");
    }

    /** The stricter of two valid values. */
    Object stricterOf(Object first, Object second) {
        return switch (order) {
            case SMALLER -> Math.min((double) first, (double) second);
            case LARGER -> Math.max((double) first, (double) second);
            case FIRST -> first;
            case BOTH -> (boolean) first && (boolean) second;
            case LEAST_REPEATABLE -> IdempotencyNames.stricterOf((String) first, (String) second);
        };
    }
}
