package spartrail.lab.fleet;

/**
 * What a kind of stand-in server is like.
 *
 * @param speed 1 does a millisecond of work in a millisecond on each core
 * @param slots parts it works on at a time; more wait, up to {@code queue}
 * @param workMs work of a part that does not tell its own
 * @param variation coefficient of variation of a part's work, told or not
 * @param callMs work of each call beside that of its parts
 * @param coldFrom share of its capacity that it has right after its start
 * @param warmMs when it has all of it
 * @param tipMultiple a cold server that was sent more than this multiple of its capacity at its age ...
 * @param tipMs ... over so long falls over
 * @param downMs how long it then stays down; infinite without a restart
 * @param handshakeMs work of a new connection
 * @param connections most connections; further ones are reset
 * @param errorShare share of parts that end in an error
 * @param pauseMs length of the pauses it makes on its own, about every {@code pauseEveryMs}; 0 makes none
 * @param reportLateMs age of the load reports it sends along
 */
public record ServerProfile(
        String name,
        int cores,
        double speed,
        int slots,
        int queue,
        double workMs,
        double variation,
        double callMs,
        double coldFrom,
        double warmMs,
        double tipMultiple,
        double tipMs,
        double downMs,
        double handshakeMs,
        int connections,
        double errorShare,
        double pauseMs,
        double pauseEveryMs,
        double reportLateMs) {}
