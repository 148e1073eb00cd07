package spartrail.intake;

/** A growing set of numbers that are hashes, in an open-addressed table without an object for each number. */
final class LongHashSet {
    private static final int MIN_CAPACITY = 64;
    /** The table's mark of a free place; the number 0 itself is stored as 1. */
    private static final long FREE = 0;

    private long[] table = new long[MIN_CAPACITY];
    private int size;

    private static long toEntry(long number) {
        return number == FREE ? 1 : number;
    }

    /** The place of this entry, or the free one at which it belongs. */
    private int findPlace(long entry) {
        int mask = table.length - 1;
        int place = Long.hashCode(entry) & mask;
        while (table[place] != FREE && table[place] != entry) {
            place = (place + 1) & mask;
        }
        return place;
    }

    void add(long number) {
        long entry = toEntry(number);
        int place = findPlace(entry);
        if (table[place] == entry) {
            return;
        }
        table[place] = entry;
        size++;
        if (2 * size > table.length) {
            grow();
        }
    }

    private void grow() {
        long[] previous = table;
        table = new long[2 * previous.length];
        for (long entry : previous) {
            if (entry != FREE) {
                table[findPlace(entry)] = entry;
            }
        }
    }

    boolean contains(long number) {
        long entry = toEntry(number);
        return table[findPlace(entry)] == entry;
    }

    int size() {
        return size;
    }
}
