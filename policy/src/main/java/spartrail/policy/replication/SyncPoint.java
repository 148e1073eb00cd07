package spartrail.policy.replication;

/** The syncs that must complete before the voter makes a promise, each with its name in a {@link CrashPoint}. */
enum SyncPoint {
    LOCAL_ENDPOINT("SELF"),
    INITIAL_MEMBERS("GROUP"),
    TERM("TERM"),
    FLUSH("FLUSH"),
    REWRITE("ANEW");

    private final String crashPointName;

    SyncPoint(String crashPointName) {
        this.crashPointName = crashPointName;
    }

    /** The name of this sync in the names of crash points. */
    String crashPointName() {
        return crashPointName;
    }
}
