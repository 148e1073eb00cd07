/** An index server as discovery lists it. */
record Entry(String uid, int port, String zone, int cell, String state, long bootMs) {
    String toJson() {
        return "{\"uid\":\"" + uid + "\",\"endpoint\":\"127.0.0.1:" + port + "\",\"az\":\"" + zone
                + "\",\"model\":\"m\",\"pod_group\":" + cell + ",\"state\":\"" + state
                + "\",\"capacity_hint\":1.0,\"boot_ms\":" + bootMs + "}";
    }

    Entry with(String newState) {
        return new Entry(uid, port, zone, cell, newState, bootMs);
    }
}
