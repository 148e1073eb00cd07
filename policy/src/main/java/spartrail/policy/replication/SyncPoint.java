package spartrail.policy.replication;

/** What is made durable before anything is promised that rests on it, with its name in {@link CrashPoint}. */
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

    /** How crash points name it. */
    String crashPointName() {
        return crashPointName;
    }
}
