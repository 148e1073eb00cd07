package spartrail.endpoint.sources;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import spartrail.endpoint.MergeLimits;
import spartrail.json.JsonTree;
import spartrail.model.AddressRanges;

/**
 * The file that configures additional sources of endpoints and how they are merged; its schema is
 * {@code deploy/members.schema.json}. Times are in milliseconds. An invalid file causes an IllegalArgumentException
 * whose message is one line with the position.
 */
public final class EndpointSourcesFile {
    private static final String ALLOW = "allow";
    private static final String MERGE = "merge";
    private static final Set<String> SECTIONS = Set.of(ALLOW, MERGE, "dns");
    private static final Set<String> LIMITS = Set.of(
            "floor",
            "freezeMs",
            "suspectMs",
            "rollConfirmMs",
            "confirmMs",
            "confirmAnswers",
            "flapMs",
            "flapMostMs",
            "flapForgetMs",
            "keptMs",
            "mostMembers");

    private final Map<?, ?> tree;
    private final MergeLimits limits;
    private final Predicate<String> allowedAddresses;

    private EndpointSourcesFile(Map<?, ?> tree) {
        this.tree = tree;
        checkNames(tree, SECTIONS, "/");
        this.limits = readLimits(tree.get(MERGE) instanceof Map<?, ?> merge ? merge : Map.of());
        this.allowedAddresses =
                new AddressRanges(tree.get(ALLOW) instanceof List<?> ranges ? ranges : List.of(), "/" + ALLOW);
    }

    /** Reads and validates a file. */
    public static EndpointSourcesFile read(Path path) throws IOException {
        String text = readText(path);
        try (JsonParser parser = new JsonFactory().createParser(text)) {
            if (parser.nextToken() == null || !(JsonTree.readValue(parser) instanceof Map<?, ?> tree)) {
                throw new IllegalArgumentException("a JSON object is expected");
            }
            return new EndpointSourcesFile(tree);
        } catch (JsonProcessingException e) {
            String place = path + ":" + e.getLocation().getLineNr();
            throw new IllegalArgumentException(place + ": no JSON: " + JsonTree.describe(e), e);
        } catch (IllegalArgumentException e) {
            throw new IllegalArgumentException(path + ": " + e.getMessage(), e);
        }
    }

    private static String readText(Path path) {
        try {
            return Files.readString(path);
        } catch (IOException e) {
            throw new IllegalArgumentException("cannot read " + path, e);
        }
    }

    private static void checkNames(Map<?, ?> section, Set<String> known, String place) {
        for (Object name : section.keySet()) {
            if (!known.contains(name)) {
                throw new IllegalArgumentException(place + name + ": is unknown, one of "
                        + known.stream().sorted().toList() + " is expected");
            }
        }
    }

    private static MergeLimits readLimits(Map<?, ?> merge) {
        checkNames(merge, LIMITS, "/" + MERGE + "/");
        MergeLimits defaults = MergeLimits.DEFAULT;
        return new MergeLimits(
                (int) readNumber(merge, "floor", defaults.floor()),
                readNumber(merge, "freezeMs", defaults.freezeMs()),
                readNumber(merge, "suspectMs", defaults.suspectMs()),
                readNumber(merge, "rollConfirmMs", defaults.discoveryConfirmMs()),
                readNumber(merge, "confirmMs", defaults.confirmMs()),
                (int) readNumber(merge, "confirmAnswers", defaults.confirmAnswers()),
                readNumber(merge, "flapMs", defaults.flapDelayMs()),
                readNumber(merge, "flapMostMs", defaults.maxFlapDelayMs()),
                readNumber(merge, "flapForgetMs", defaults.flapHalfLifeMs()),
                readNumber(merge, "keptMs", defaults.retentionMs()),
                (int) readNumber(merge, "mostMembers", defaults.maxEndpoints()));
    }

    private static double readNumber(Map<?, ?> merge, String name, double defaultValue) {
        Object value = merge.get(name);
        if (value == null) {
            return defaultValue;
        }
        if (!(value instanceof Number number) || number.doubleValue() < 0) {
            throw new IllegalArgumentException(
                    "/merge/" + name + ": found " + value + ", a number of 0 or more is expected");
        }
        return number.doubleValue();
    }

    /** The section for a kind of source, or null. */
    Map<?, ?> section(String name) {
        return tree.get(name) instanceof Map<?, ?> section ? section : null;
    }

    /** The limits for merging the sources. */
    MergeLimits limits() {
        return limits;
    }

    /**
     * Accepts the addresses that sources may list: IPv4 ranges such as 10.0.0.0/8; without ranges, no address from DNS.
     */
    Predicate<String> allowedAddresses() {
        return allowedAddresses;
    }
}
