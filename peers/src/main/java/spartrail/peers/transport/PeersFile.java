package spartrail.peers.transport;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import spartrail.json.JsonTree;
import spartrail.model.AddressRanges;
import spartrail.peers.GossipTimings;

/**
 * Reads the peers file, which configures a node's membership in its fleet; the schema is {@code
 * deploy/peers.schema.json}.
 */
final class PeersFile {
    private static final String POLICY_SECTION = "policy";
    private static final Set<String> FIELDS = new TreeSet<>(Set.of(
            "fleet",
            "name",
            "listen",
            "advertise",
            "seeds",
            "allow",
            "operators",
            "zone",
            "weight",
            "settings",
            "times",
            POLICY_SECTION));
    private static final Set<String> TIMES_FIELDS = new TreeSet<>(Set.of(
            "roundMs",
            "answerMs",
            "suspectRounds",
            "stoodMs",
            "staleMs",
            "keptMs",
            "mostPeers",
            "wordBytes",
            "answersPerS"));
    private static final List<String> LOOPBACK = List.of("127.0.0.0/8");
    private static final String ANY_ADDRESS = "0.0.0.0:";
    private static final double MIN_PROBE_INTERVAL_MS = 10;
    private static final int MAX_UPDATE_BYTES = DatagramFrame.MAX_BYTES - PeerMessageCodec.DESCRIPTOR_BYTES;

    private PeersFile() {}

    /**
     * Reads and validates the file.
     *
     * @throws InvalidPeersFileException if the file is invalid; the message describes the error in one line
     */
    static PeersConfig read(Path path) {
        String text;
        try {
            text = Files.readString(path);
        } catch (IOException e) {
            throw new InvalidPeersFileException("cannot read " + path, e);
        }
        try (JsonParser parser = new JsonFactory().createParser(text)) {
            if (parser.nextToken() == null || !(JsonTree.readValue(parser) instanceof Map<?, ?> tree)) {
                throw new InvalidPeersFileException("a JSON object is expected");
            }
            return readConfig(new JsonFields(tree, "", FIELDS));
        } catch (JsonProcessingException e) {
            throw new InvalidPeersFileException(
                    path + ":" + e.getLocation().getLineNr() + ": not valid JSON: " + JsonTree.describe(e), e);
        } catch (IllegalArgumentException | IOException e) {
            throw new InvalidPeersFileException(path + ": " + e.getMessage(), e);
        }
    }

    private static PeersConfig readConfig(JsonFields fields) {
        fields.requireObjectOrAbsent(POLICY_SECTION);
        String fleet = fields.requireIdentifier("fleet");
        String name = fields.requireIdentifier("name");
        String listen = fields.requireAddress("listen");
        String advertise = readAdvertisedAddress(fields, listen);
        List<String> seeds = fields.readAddresses("seeds");
        AddressRanges allowed = new AddressRanges(fields.listOr("allow", LOOPBACK), "/allow");
        AddressRanges operators = new AddressRanges(fields.listOr("operators", LOOPBACK), "/operators");
        if (!allowed.test(advertise)) {
            throw InvalidPeersFileException.of("/advertise", advertise, "an address within /allow");
        }
        return new PeersConfig(
                fleet,
                name,
                SocketAddresses.parse(listen),
                advertise,
                seeds,
                allowed,
                operators,
                fields.textOr("zone", ""),
                fields.positiveNumberOr("weight", 1),
                fields.textOr("settings", ""),
                readTimings(new JsonFields(fields.objectOrEmpty("times"), "/times", TIMES_FIELDS)),
                Map.of(POLICY_SECTION, fields.objectOrEmpty(POLICY_SECTION)));
    }

    private static String readAdvertisedAddress(JsonFields fields, String listen) {
        String advertise = fields.has("advertise") ? fields.requireAddress("advertise") : listen;
        if (advertise.startsWith(ANY_ADDRESS)) {
            throw new InvalidPeersFileException(
                    "/advertise: is missing, the address at which other nodes reach this one is expected because"
                            + " /listen is 0.0.0.0");
        }
        return advertise;
    }

    private static GossipTimings readTimings(JsonFields fields) {
        GossipTimings defaults = GossipTimings.DEFAULT;
        GossipTimings timings = new GossipTimings(
                fields.positiveNumberOr("roundMs", defaults.probeIntervalMs()),
                fields.positiveNumberOr("answerMs", defaults.ackTimeoutMs()),
                fields.positiveNumberOr("suspectRounds", defaults.suspicionRounds()),
                fields.positiveNumberOr("stoodMs", defaults.pauseThresholdMs()),
                fields.positiveNumberOr("staleMs", defaults.maxMessageDelayMs()),
                fields.positiveNumberOr("keptMs", defaults.departedRetentionMs()),
                (int) fields.positiveNumberOr("mostPeers", defaults.maxPeers()),
                (int) fields.positiveNumberOr("wordBytes", defaults.maxUpdateBytes()),
                (int) fields.positiveNumberOr("answersPerS", defaults.maxAnswersPerSecond()));
        if (timings.probeIntervalMs() < MIN_PROBE_INTERVAL_MS || timings.ackTimeoutMs() >= timings.probeIntervalMs()) {
            throw new InvalidPeersFileException("/times/answerMs: found " + timings.ackTimeoutMs() + " with roundMs "
                    + timings.probeIntervalMs()
                    + ", a roundMs of at least 10 and an answerMs below roundMs are expected");
        }
        if (timings.maxUpdateBytes() > MAX_UPDATE_BYTES) {
            throw new InvalidPeersFileException("/times/wordBytes: found " + timings.maxUpdateBytes() + ", at most "
                    + MAX_UPDATE_BYTES + " is expected because a message has to fit into one datagram");
        }
        return timings;
    }
}
