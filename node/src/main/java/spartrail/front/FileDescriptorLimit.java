package spartrail.front;

import java.io.File;

/** Divides the file descriptors of the process between clients' connections and all others. */
final class FileDescriptorLimit {
    private static final int DESCRIPTORS_PER_SERVER = 4;

    private FileDescriptorLimit() {}

    /**
     * The most connections of clients: half of the free descriptors or, if that is more, three quarters of them less
     * four for each server. Without a limit, clients' connections would use up the descriptors for connections to
     * servers and to discovery.
     */
    static int forClientConnections(int maxDescriptors, int servers) {
        int free = maxDescriptors - countOpen();
        int leftByServers = free - DESCRIPTORS_PER_SERVER * servers - free / 4;
        return Math.max(1, Math.max(free / 2, leftByServers));
    }

    /** The number of descriptors that are open; 0 where the system does not report it. */
    static int countOpen() {
        String[] open = new File("/proc/self/fd").list();
        return open == null ? 0 : open.length;
    }
}
