import java.util.Locale;

/** The configuration of a front node of a small deployment. */
final class Config {
    int memoryMb = 192;
    int sockets = 1024;
    int shards = 4;
    int cells = 4;
    int width = 2;
    int openCap = 187;
    String kind = "orders";
    String effect = "free";
    double aimS = 2.0;
    double deadlineS = 4.0;
    double lateShare = 0.3;
    double connectTimeoutS = 0.25;
    double keepaliveS = 30;
    int batch = 4;
    boolean parallel = true;
    boolean cancelling = true;
    String discovery = "push";
    String extraRules = "";

    String json(Rig rig, int port) {
        return json(rig, port, rig.discovery.address());
    }

    String json(Rig rig, int port, String discoveryAddress) {
        return String.format(
                Locale.ROOT,
                "{\"name\":\"n0\",\"listen\":\"127.0.0.1:%d\",\"discovery\":\"%s\",\"seed\":\"8c1f30d27a5be964\",%n"
                        + "\"limits\":{\"cores\":1.0,\"memory_mb\":%d,\"sockets\":%d},%n\"known\":%s,%n"
                        + "\"settings\":{\"tick\":0.005,\"peers-total\":1,\"discovery\":\"%s\",\"zone\":\"a\",\"areas\":[\"a\"],%n"
                        + "\"classes\":[{\"name\":\"%s\",\"aim\":%.3f,\"deadline\":%.3f,\"late-share\":%.2f,\"worth\":1.0,\"effect\":\"%s\"}],%n"
                        + "\"bounds\":{\"cancelling\":%b,\"connect-timeout\":%.3f,\"keepalive\":%.3f,\"max-retry-after\":1.0,\"open-cap\":%d,"
                        + "\"parallel-tries\":%b,\"retry-after\":true,\"streams-per-conn\":100,\"try-limit\":4},%n"
                        + "\"family-info\":{\"slabs\":%d,\"sets\":%d,\"width\":%d,\"batch\":%d,\"call\":0.0,\"class-need\":[1.0],"
                        + "\"class-floor\":[1.0],\"class-partial\":[0.9],\"fetch-parts\":[0]},%n"
                        + "\"rules\":{\"cold-share\":0.2,\"warm-within\":10.0,\"tip-multiple\":2.0,\"fall\":1.0,"
                        + "\"stop-sending-within\":0.5,\"answer-slack\":0.02%s}}}%n",
                port, discoveryAddress, memoryMb, sockets, rig.discovery.whole(), discovery, kind, aimS, deadlineS, lateShare,
                effect, cancelling, connectTimeoutS, keepaliveS, openCap, parallel, shards, cells, width, batch, extraRules);
    }
}
