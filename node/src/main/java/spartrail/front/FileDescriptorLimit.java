package spartrail.front;

import java.io.File;

/** How the file descriptors that a process may hold are shared out. */
final class FileDescriptorLimit {
    private FileDescriptorLimit() {}

    /**
     * Most connections of clients: half of what is not open already, or more where servers need less. Danger:
     * clients' connections use up what servers and discovery need.
     */
    static int forClientConnections(int most, int servers) {
        int free = most - openCount();
        return Math.max(1, Math.max(free / 2, free - 4 * servers - free / 4));
    }

    /** How many are open now; 0 where the system does not say. */
    static int openCount() {
        String[] open = new File("/proc/self/fd").list();
        return open == null ? 0 : open.length;
    }
}
