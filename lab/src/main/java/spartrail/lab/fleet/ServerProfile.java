package spartrail.lab.fleet;

/**
 * The properties of one kind of emulated index server.
 *
 * @param speed milliseconds of work that each core does in one millisecond
 * @param slots maximum of parts that run at a time; up to {@code queue} more wait
 * @param workMs mean work of a part whose text states none
 * @param variation coefficient of variation of a part's work around its mean
 * @param callMs work of each frame of parts, in addition to that of the parts
 * @param coldFrom share of the full capacity right after a start
 * @param warmMs age at which the full capacity is reached
 * @param tipMultiple a cold server crashes when it is sent more than this multiple of its current capacity
 * @param tipMs time span over which the received work is summed for {@code tipMultiple}
 * @param downMs time from a crash to the restart; infinite for no restart
 * @param handshakeMs work of a new connection
 * @param connections maximum of open connections; further ones are reset
 * @param errorShare share of parts that end in an error
 * @param pauseMs length of the random pauses; 0 for none
 * @param pauseEveryMs mean time between random pauses
 * @param reportLateMs age of the load reports in the answers
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
