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

/** Reads the file that tells a node of its fleet; its form is {@code deploy/peers.schema.json}. */
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
     * Reads and checks the file.
     *
     * @throws InvalidPeersFileException which says in one line what is wrong with it
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
            return config(new JsonFields(tree, "", FIELDS));
        } catch (JsonProcessingException e) {
            throw new InvalidPeersFileException(
                    path + ":" + e.getLocation().getLineNr() + ": no JSON: " + JsonTree.describe(e), e);
        } catch (IllegalArgumentException | IOException e) {
            throw new InvalidPeersFileException(path + ": " + e.getMessage(), e);
        }
    }

    private static PeersConfig config(JsonFields fields) {
        fields.requireObjectOrAbsent(POLICY_SECTION);
        String fleet = fields.identifier("fleet");
        String name = fields.identifier("name");
        String listen = fields.address("listen");
        String advertise = advertise(fields, listen);
        List<String> seeds = fields.addresses("seeds");
        AddressRanges allowed = new AddressRanges(fields.list("allow", LOOPBACK), "/allow");
        AddressRanges operators = new AddressRanges(fields.list("operators", LOOPBACK), "/operators");
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
                fields.positiveNumber("weight", 1),
                fields.textOr("settings", ""),
                timings(new JsonFields(fields.object("times"), "/times", TIMES_FIELDS)),
                Map.of(POLICY_SECTION, fields.object(POLICY_SECTION)));
    }

    private static String advertise(JsonFields fields, String listen) {
        String advertise = fields.has("advertise") ? fields.address("advertise") : listen;
        if (advertise.startsWith(ANY_ADDRESS)) {
            throw new InvalidPeersFileException(
                    "/advertise: is missing, the address that others reach it by is expected where"
                            + " /listen is 0.0.0.0");
        }
        return advertise;
    }

    private static GossipTimings timings(JsonFields fields) {
        GossipTimings absent = GossipTimings.DEFAULT;
        GossipTimings timings = new GossipTimings(
                fields.positiveNumber("roundMs", absent.probeIntervalMs()),
                fields.positiveNumber("answerMs", absent.ackTimeoutMs()),
                fields.positiveNumber("suspectRounds", absent.suspicionRounds()),
                fields.positiveNumber("stoodMs", absent.pauseThresholdMs()),
                fields.positiveNumber("staleMs", absent.maxMessageDelayMs()),
                fields.positiveNumber("keptMs", absent.departedRetentionMs()),
                (int) fields.positiveNumber("mostPeers", absent.maxPeers()),
                (int) fields.positiveNumber("wordBytes", absent.maxUpdateBytes()),
                (int) fields.positiveNumber("answersPerS", absent.maxAnswersPerSecond()));
        if (timings.probeIntervalMs() < MIN_PROBE_INTERVAL_MS || timings.ackTimeoutMs() >= timings.probeIntervalMs()) {
            throw new InvalidPeersFileException("/times/answerMs: found " + timings.ackTimeoutMs() + " at rounds of "
                    + timings.probeIntervalMs()
                    + ", rounds of 10 or more and less for an answer than a round are expected");
        }
        if (timings.maxUpdateBytes() > MAX_UPDATE_BYTES) {
            throw new InvalidPeersFileException("/times/wordBytes: found " + timings.maxUpdateBytes() + ", at most "
                    + MAX_UPDATE_BYTES + " is expected, as a message is one datagram");
        }
        return timings;
    }
}
