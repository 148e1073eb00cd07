package spartrail.peers;

import java.util.regex.Pattern;

/**
 * What a node says of itself. Its turn goes up when it refutes what others hold of it; nobody else moves it.
 *
 * @param address where its messages go, such as 10.0.3.7:7400
 * @param weight its share of the fleet's work against other nodes', 1 where all are alike
 * @param program version of the program
 * @param settings version of the settings that it goes by, empty where none is known
 */
public record PeerDescriptor(
        String name,
        String address,
        String zone,
        double weight,
        String program,
        String settings,
        Incarnation life,
        int turn) {
    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9._-]{1,64}");
    private static final Pattern ADDRESS = Pattern.compile("[0-9]{1,3}(\\.[0-9]{1,3}){3}:[0-9]{1,5}");
    private static final int LONGEST = 64;

    /** Whether others can take it up: its texts are short and of the expected form. */
    public boolean wellFormed() {
        return NAME.matcher(name).matches()
                && ADDRESS.matcher(address).matches()
                && zone.length() <= LONGEST
                && program.length() <= LONGEST
                && settings.length() <= LONGEST
                && weight >= 0
                && weight <= 1e6
                && life.startMs() > 0
                && turn >= 0;
    }

    public static boolean isName(String text) {
        return NAME.matcher(text).matches();
    }

    PeerDescriptor at(Incarnation newLife, int newTurn) {
        return new PeerDescriptor(name, address, zone, weight, program, settings, newLife, newTurn);
    }

    /** At most so many bytes it takes in a message, with what a word adds to it. */
    int bytes() {
        return 60 + name.length() + address.length() + zone.length() + program.length() + settings.length();
    }
}
