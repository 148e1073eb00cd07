package spartrail.lab.model;

import java.util.Arrays;

/** Numbers in the order in which they were added, each with one more: a set, a queue and a tree of where states came from. */
final class LongSet {
    private static final int FREE = -1;

    private long[] numbers = new long[1 << 16];
    private int[] from = new int[1 << 16];
    private int[] places = new int[1 << 18];
    private int count;

    LongSet() {
        Arrays.fill(places, FREE);
    }

    /** Adds a number that came from the one at this place; whether it is new. */
    boolean add(long number, int cameFrom) {
        int mask = places.length - 1;
        int at = place(number, mask);
        while (places[at] != FREE) {
            if (numbers[places[at]] == number) {
                return false;
            }
            at = at + 1 & mask;
        }
        if (count == numbers.length) {
            numbers = Arrays.copyOf(numbers, 2 * count);
            from = Arrays.copyOf(from, 2 * count);
        }
        places[at] = count;
        numbers[count] = number;
        from[count] = cameFrom;
        count++;
        if (4L * count > 3L * places.length) {
            grow();
        }
        return true;
    }

    private static int place(long number, int mask) {
        long hash = number * 0x9E3779B97F4A7C15L;
        return (int) (hash >>> 32) & mask;
    }

    private void grow() {
        places = new int[2 * places.length];
        Arrays.fill(places, FREE);
        int mask = places.length - 1;
        for (int i = 0; i < count; i++) {
            int at = place(numbers[i], mask);
            while (places[at] != FREE) {
                at = at + 1 & mask;
            }
            places[at] = i;
        }
    }

    int size() {
        return count;
    }

    long at(int place) {
        return numbers[place];
    }

    int from(int place) {
        return from[place];
    }
}
