package spartrail.policy;

/** What a field of {@link PolicySettings} holds, and which of two values is the stricter. */
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
        /** The field orders work and bounds nothing. */
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

    /** Whether the field bounds what a node may do. */
    boolean isBinding() {
        return order != Order.FIRST;
    }

    /** The value as it is stored; an IllegalArgumentException names the field, what was found and what is expected. */
    Object checked(String field, Object value) {
        return switch (type) {
            case NUMBER -> checkedNumber(field, value, 0, Double.POSITIVE_INFINITY, "a number of 0 or more");
            case COUNT -> checkedNumber(field, value, 1, Double.POSITIVE_INFINITY, "a number of 1 or more");
            case SHARE -> checkedNumber(field, value, 0, 1, "a share of 0 to 1");
            case FLAG -> checkedFlag(field, value);
            case IDEMPOTENCY -> checkedIdempotency(field, value);
        };
    }

    private static Object checkedNumber(String field, Object value, double least, double most, String expected) {
        double number = value instanceof Number parsed ? parsed.doubleValue() : Double.NaN;
        boolean isValid = number >= least && number <= most && !Double.isInfinite(number);
        if (!isValid) {
            throw unexpected(field, value, expected);
        }
        return number;
    }

    private static Object checkedFlag(String field, Object value) {
        if (!(value instanceof Boolean)) {
            throw unexpected(field, value, "true or false");
        }
        return value;
    }

    private static Object checkedIdempotency(String field, Object value) {
        if (value instanceof String name && IdempotencyNames.all().contains(name)) {
            return value;
        }
        throw unexpected(field, value, "one of " + IdempotencyNames.all());
    }

    private static IllegalArgumentException unexpected(String field, Object found, String expected) {
        return new IllegalArgumentException(field + ": found " + found + ", " + expected + " is expected");
    }

    /** The stricter of two checked values. */
    Object stricterOf(Object one, Object other) {
        return switch (order) {
            case SMALLER -> Math.min((double) one, (double) other);
            case LARGER -> Math.max((double) one, (double) other);
            case FIRST -> one;
            case BOTH -> (boolean) one && (boolean) other;
            case LEAST_REPEATABLE -> IdempotencyNames.stricter((String) one, (String) other);
        };
    }
}
