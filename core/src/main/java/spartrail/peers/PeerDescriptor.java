package spartrail.peers;

import java.util.regex.Pattern;

/**
 * How a node describes itself to the others.
 *
 * @param address where it receives messages, such as 10.0.3.7:7400
 * @param weight its share of the fleet's load relative to other nodes; 1 if all nodes are alike
 * @param programVersion version of the program
 * @param settingsVersion version of the settings that it uses, empty if unknown
 * @param incarnation the run of its process
 * @param refutations how often, in this incarnation, it has refuted other nodes' updates about it; no other node
 *     changes this
 */
public record PeerDescriptor(
        String name,
        String address,
        String zone,
        double weight,
        String programVersion,
        String settingsVersion,
        Incarnation incarnation,
        int refutations) {
    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9._-]{1,64}");
    private static final Pattern ADDRESS = Pattern.compile("[0-9]{1,3}(\\.[0-9]{1,3}){3}:[0-9]{1,5}");
    private static final int MAX_TEXT_LENGTH = 64;
    private static final double MAX_WEIGHT = 1e6;
    /** Encoded size of a descriptor's numbers and text headers, and of the fields that an update adds. */
    private static final int MAX_FIXED_BYTES = 60;

    /**
     * Whether other nodes can accept it: its texts are short and have the expected form, and its numbers are in range.
     */
    public boolean isWellFormed() {
        return NAME.matcher(name).matches()
                && ADDRESS.matcher(address).matches()
                && zone.length() <= MAX_TEXT_LENGTH
                && programVersion.length() <= MAX_TEXT_LENGTH
                && settingsVersion.length() <= MAX_TEXT_LENGTH
                && weight >= 0
                && weight <= MAX_WEIGHT
                && incarnation.startMs() > 0
                && refutations >= 0;
    }

    /** Whether the text is a valid node name. */
    public static boolean isValidName(String text) {
        return NAME.matcher(text).matches();
    }

    PeerDescriptor withIncarnation(Incarnation newIncarnation, int newRefutations) {
        return new PeerDescriptor(
                name, address, zone, weight, programVersion, settingsVersion, newIncarnation, newRefutations);
    }

    PeerDescriptor withSettingsVersion(String version, int newRefutations) {
        return new PeerDescriptor(name, address, zone, weight, programVersion, version, incarnation, newRefutations);
    }

    /** Maximum encoded size as part of an update. */
    int maxEncodedBytes() {
        return MAX_FIXED_BYTES
                + name.length()
                + address.length()
                + zone.length()
                + programVersion.length()
                + settingsVersion.length();
    }
}
