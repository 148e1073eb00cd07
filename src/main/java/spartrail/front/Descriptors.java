package spartrail.front;

import java.io.File;

/** How the file descriptors that a process may hold are shared out. */
final class Descriptors {
    private Descriptors() {
    }

    /**
     * Most connections of clients: half of what is not open already, or more where servers need less. Danger:
     * clients' connections use up what servers and discovery need.
     */
    static int forClients(int most, int servers) {
        String[] held = new File("/proc/self/fd").list();
        int free = most - (held == null ? 0 : held.length);
        return Math.max(1, Math.max(free / 2, free - 4 * servers - free / 4));
    }
}
