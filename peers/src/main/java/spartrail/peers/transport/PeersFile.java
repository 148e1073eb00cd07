package spartrail.peers.transport;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import spartrail.json.JsonTree;
import spartrail.model.AddressRanges;
import spartrail.peers.GossipTimings;
import spartrail.peers.PeerDescriptor;

/** The file that tells a node how to talk to the others; its form is {@code deploy/peers.schema.json}. */
final class PeersFile {
    private static final Set<String> NAMES = new TreeSet<>(Set.of(
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
            "policy"));
    private static final Set<String> TIMES = new TreeSet<>(Set.of(
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

    final String fleet;
    final String name;
    final InetSocketAddress listen;
    final String advertise;
    final List<String> seeds;
    final AddressRanges allowed;
    final AddressRanges operators;
    final String zone;
    final double weight;
    final String settings;
    final GossipTimings times;
    private final Map<?, ?> tree;

    private PeersFile(Map<?, ?> tree) {
        only(tree, NAMES, "");
        this.tree = tree;
        if (tree.get("policy") != null && !(tree.get("policy") instanceof Map<?, ?>)) {
            throw new IllegalArgumentException("/policy: found " + tree.get("policy") + ", an object is expected");
        }
        fleet = named(tree, "fleet");
        name = named(tree, "name");
        listen = socket(address(text(tree, "listen"), "/listen"));
        advertise =
                tree.get("advertise") == null ? text(tree, "listen") : address(text(tree, "advertise"), "/advertise");
        if (advertise.startsWith("0.0.0.0:")) {
            throw new IllegalArgumentException(
                    "/advertise: is missing, the address that others reach it by is expected where"
                            + " /listen is 0.0.0.0");
        }
        seeds = new ArrayList<>();
        for (Object seed : list(tree, "seeds", List.of())) {
            seeds.add(address(String.valueOf(seed), "/seeds/" + seeds.size()));
        }
        allowed = new AddressRanges(list(tree, "allow", LOOPBACK), "/allow");
        operators = new AddressRanges(list(tree, "operators", LOOPBACK), "/operators");
        if (!allowed.test(advertise)) {
            throw new IllegalArgumentException(
                    "/advertise: found " + advertise + ", an address within /allow is expected");
        }
        zone = tree.get("zone") == null ? "" : text(tree, "zone");
        weight = number(tree, "weight", 1, "");
        settings = tree.get("settings") == null ? "" : text(tree, "settings");
        times = times(tree.get("times") instanceof Map<?, ?> given ? given : Map.of());
    }

    /** What is said to another subsystem, which reads it itself; empty where there is nothing. */
    Map<?, ?> part(String part) {
        return tree.get(part) instanceof Map<?, ?> said ? said : Map.of();
    }

    static PeersFile read(Path path) {
        String text;
        try {
            text = Files.readString(path);
        } catch (IOException e) {
            throw new IllegalArgumentException("cannot read " + path, e);
        }
        try (JsonParser parser = new JsonFactory().createParser(text)) {
            if (parser.nextToken() == null || !(JsonTree.value(parser) instanceof Map<?, ?> tree)) {
                throw new IllegalArgumentException("a JSON object is expected");
            }
            return new PeersFile(tree);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException(
                    path + ":" + e.getLocation().getLineNr() + ": no JSON: " + JsonTree.fault(e), e);
        } catch (IllegalArgumentException | IOException e) {
            throw new IllegalArgumentException(path + ": " + e.getMessage(), e);
        }
    }

    private static GossipTimings times(Map<?, ?> tree) {
        only(tree, TIMES, "/times");
        GossipTimings usual = GossipTimings.DEFAULT;
        GossipTimings times = new GossipTimings(
                number(tree, "roundMs", usual.probeIntervalMs(), "/times"),
                number(tree, "answerMs", usual.ackTimeoutMs(), "/times"),
                number(tree, "suspectRounds", usual.suspicionRounds(), "/times"),
                number(tree, "stoodMs", usual.pauseThresholdMs(), "/times"),
                number(tree, "staleMs", usual.maxMessageDelayMs(), "/times"),
                number(tree, "keptMs", usual.departedRetentionMs(), "/times"),
                (int) number(tree, "mostPeers", usual.maxPeers(), "/times"),
                (int) number(tree, "wordBytes", usual.maxUpdateBytes(), "/times"),
                (int) number(tree, "answersPerS", usual.maxAnswersPerSecond(), "/times"));
        if (times.probeIntervalMs() < 10 || times.ackTimeoutMs() >= times.probeIntervalMs()) {
            throw new IllegalArgumentException(
                    "/times/answerMs: found " + times.ackTimeoutMs() + " at rounds of " + times.probeIntervalMs()
                            + ", rounds of 10 or more and less for an answer than a round are expected");
        }
        if (times.maxUpdateBytes() > PeerMessageCodec.MAX_FRAME_BYTES - PeerMessageCodec.LEFT_FOR_CARDS) {
            throw new IllegalArgumentException("/times/wordBytes: found " + times.maxUpdateBytes() + ", at most "
                    + (PeerMessageCodec.MAX_FRAME_BYTES - PeerMessageCodec.LEFT_FOR_CARDS)
                    + " is expected, as a message is one datagram");
        }
        return times;
    }

    private static void only(Map<?, ?> tree, Set<String> names, String place) {
        for (Object name : tree.keySet()) {
            if (!names.contains(name)) {
                throw new IllegalArgumentException(
                        place + "/" + name + ": is unknown, one of " + names + " is expected");
            }
        }
    }

    private static String text(Map<?, ?> tree, String name) {
        if (tree.get(name) instanceof String text && !text.isEmpty() && text.length() <= 64) {
            return text;
        }
        throw new IllegalArgumentException(
                "/" + name + ": found " + tree.get(name) + ", a text of 1 to 64 signs is expected");
    }

    private static String named(Map<?, ?> tree, String name) {
        String text = text(tree, name);
        if (!PeerDescriptor.isValidName(text)) {
            throw new IllegalArgumentException(
                    "/" + name + ": found '" + text + "', letters, digits, '.', '_' and '-' are expected");
        }
        return text;
    }

    private static List<?> list(Map<?, ?> tree, String name, List<?> usual) {
        Object value = tree.get(name);
        if (value == null) {
            return usual;
        }
        if (value instanceof List<?> list) {
            return list;
        }
        throw new IllegalArgumentException("/" + name + ": found " + value + ", a list is expected");
    }

    private static double number(Map<?, ?> tree, String name, double usual, String place) {
        Object value = tree.get(name);
        if (value == null) {
            return usual;
        }
        if (value instanceof Number number && number.doubleValue() > 0) {
            return number.doubleValue();
        }
        throw new IllegalArgumentException(place + "/" + name + ": found " + value + ", a number above 0 is expected");
    }

    private static String address(String text, String place) {
        if (!PeerMessageCodec.isAddress(text)) {
            throw new IllegalArgumentException(
                    place + ": found '" + text + "', an address such as 10.0.3.7:7400 is expected");
        }
        return text;
    }

    static InetSocketAddress socket(String address) {
        int colon = address.lastIndexOf(':');
        return new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
    }
}
