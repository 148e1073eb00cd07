package spartrail.front;

import java.io.File;

/** How the file descriptors that the process may hold are shared out. */
final class FileDescriptorLimit {
    private static final int DESCRIPTORS_PER_SERVER = 4;

    private FileDescriptorLimit() {}

    /**
     * Most connections of clients: half of what is not open already, or more where servers need less. Without a limit clients'
     * connections would use up what connections to servers and to discovery need.
     */
    static int forClientConnections(int maxDescriptors, int servers) {
        int free = maxDescriptors - openCount();
        int leftByServers = free - DESCRIPTORS_PER_SERVER * servers - free / 4;
        return Math.max(1, Math.max(free / 2, leftByServers));
    }

    /** How many are open now; 0 where the system does not say. */
    static int openCount() {
        String[] open = new File("/proc/self/fd").list();
        return open == null ? 0 : open.length;
    }
}
