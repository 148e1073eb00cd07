/** The settings of a small deployment, in the form of an instance's first message. */
final class Settings {
    String discovery = "push";
    String classes = opType("orders", "free", 2.0, 4.0, 5.0);
    boolean parallelTries = true;
    boolean cancelling = true;
    int tryLimit = 4;
    int openCap = 600;
    int slabs = 2;
    int sets = 2;
    int width = 1;
    int batch = 1;
    int streams = 100;
    int frontNodes = 1;
    double graceS = 0.5;
    String budget = "";
    String needs = "1.0";
    String floors = "1.0";
    double coldShare = 0.2;
    double warmS = 10;
    double multiple = 2.5;
    double fallS = 2;

    static String opType(String name, String effect, double aimS, double deadlineS, double keyTtlS) {
        return "{\"name\":\"" + name + "\",\"aim\":" + aimS + ",\"deadline\":" + deadlineS
                + ",\"late-share\":0.3,\"worth\":1.0,\"effect\":\"" + effect
                + "\",\"dedup-scope\":\"all\",\"stream\":false,\"key-ttl\":" + keyTtlS + "}";
    }

    String toJson() {
        int count = classes.split("\"name\"").length - 1;
        String ones = "1.0" + ",1.0".repeat(count - 1);
        return "{\"tick\":0.005,\"peers-total\":" + frontNodes + ",\"discovery\":\"" + discovery
                + "\",\"zone\":\"a\",\"areas\":[\"a\"],\"workload\":\"fanout\",\"classes\":[" + classes + "],"
                + "\"bounds\":{\"cancelling\":" + cancelling + ",\"connect-timeout\":0.25,\"keepalive\":30.0,"
                + "\"max-retry-after\":1.0,\"open-cap\":" + openCap + ",\"parallel-tries\":" + parallelTries
                + ",\"retry-after\":true,\"streams-per-conn\":" + streams + ",\"try-limit\":" + tryLimit + "},"
                + "\"family-info\":{\"slabs\":" + slabs + ",\"sets\":" + sets + ",\"width\":" + width + ",\"batch\":"
                + batch + ",\"call\":0.0,\"class-need\":[" + (count == 1 ? needs : ones) + "],\"class-floor\":["
                + (count == 1 ? floors : ones) + "],\"class-partial\":[" + ones + "],\"fetch-parts\":["
                + "0" + ",0".repeat(count - 1) + "]},"
                + "\"rules\":{" + budget + "\"answer-slack\":0.02,\"ask-within\":10.0,\"cold-share\":" + coldShare
                + ",\"warm-within\":" + warmS + ",\"tip-multiple\":" + multiple + ",\"fall\":" + fallS
                + ",\"stop-sending-within\":" + graceS + "}}";
    }
}
