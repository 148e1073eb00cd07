package spartrail.lab.model;

import java.util.Arrays;

/**
 * A set of values in insertion order, each with the index of its predecessor. A breadth-first search uses it as the
 * set of visited states, as its queue and as its search tree.
 */
final class LongSet {
    private static final int FREE_SLOT = -1;
    private static final int INITIAL_CAPACITY = 1 << 16;
    private static final int INITIAL_SLOTS = 1 << 18;
    private static final long HASH_MULTIPLIER = 0x9E3779B97F4A7C15L;

    private long[] values = new long[INITIAL_CAPACITY];
    private int[] predecessors = new int[INITIAL_CAPACITY];
    private int[] slots = new int[INITIAL_SLOTS];
    private int count;

    LongSet() {
        Arrays.fill(slots, FREE_SLOT);
    }

    /** Adds a value that was reached from the value at index {@code predecessor}; returns whether it is new. */
    boolean add(long value, int predecessor) {
        int mask = slots.length - 1;
        int slot = slotOf(value, mask);
        while (slots[slot] != FREE_SLOT) {
            if (values[slots[slot]] == value) {
                return false;
            }
            slot = slot + 1 & mask;
        }
        if (count == values.length) {
            values = Arrays.copyOf(values, 2 * count);
            predecessors = Arrays.copyOf(predecessors, 2 * count);
        }
        slots[slot] = count;
        values[count] = value;
        predecessors[count] = predecessor;
        count++;
        if (4L * count > 3L * slots.length) {
            grow();
        }
        return true;
    }

    private static int slotOf(long value, int mask) {
        long hash = value * HASH_MULTIPLIER;
        return (int) (hash >>> 32) & mask;
    }

    private void grow() {
        slots = new int[2 * slots.length];
        Arrays.fill(slots, FREE_SLOT);
        int mask = slots.length - 1;
        for (int i = 0; i < count; i++) {
            int slot = slotOf(values[i], mask);
            while (slots[slot] != FREE_SLOT) {
                slot = slot + 1 & mask;
            }
            slots[slot] = i;
        }
    }

    /** The number of values. */
    int size() {
        return count;
    }

    /** The value at this index, in insertion order from 0. */
    long get(int index) {
        return values[index];
    }

    /** The index of the predecessor of the value at this index; -1 for the first value. */
    int predecessor(int index) {
        return predecessors[index];
    }
}
