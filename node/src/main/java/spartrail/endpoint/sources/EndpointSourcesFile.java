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
 * The file that names further sources and how they are merged; its form is {@code deploy/members.schema.json}. Times are
 * milliseconds.
 */
public final class EndpointSourcesFile {
    private static final Set<String> BOUNDS = Set.of(
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

    private EndpointSourcesFile(Map<?, ?> tree) {
        this.tree = tree;
    }

    public static EndpointSourcesFile read(Path path) throws IOException {
        String text;
        try {
            text = Files.readString(path);
        } catch (IOException e) {
            throw new IllegalArgumentException("cannot read " + path, e);
        }
        try (JsonParser parser = new JsonFactory().createParser(text)) {
            if (parser.nextToken() == null || !(JsonTree.value(parser) instanceof Map<?, ?> tree)) {
                throw new IllegalArgumentException(path + ": a JSON object is expected");
            }
            EndpointSourcesFile file = new EndpointSourcesFile(tree);
            file.known();
            file.bounds();
            file.allowed();
            return file;
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException(
                    path + ":" + e.getLocation().getLineNr() + ": no JSON: " + JsonTree.fault(e), e);
        } catch (IllegalArgumentException e) {
            throw new IllegalArgumentException(
                    e.getMessage().startsWith(path.toString()) ? e.getMessage() : path + ": " + e.getMessage(), e);
        }
    }

    /** The part of a kind of source, or null. */
    Map<?, ?> section(String name) {
        return tree.get(name) instanceof Map<?, ?> section ? section : null;
    }

    private void known() {
        for (Object name : tree.keySet()) {
            if (!Set.of("allow", "merge", "dns").contains(name)) {
                throw new IllegalArgumentException("/" + name + ": is unknown, one of [allow, dns, merge] is expected");
            }
        }
    }

    MergeLimits bounds() {
        Map<?, ?> merge = tree.get("merge") instanceof Map<?, ?> given ? given : Map.of();
        for (Object name : merge.keySet()) {
            if (!BOUNDS.contains(name)) {
                throw new IllegalArgumentException("/merge/" + name + ": is unknown, one of "
                        + BOUNDS.stream().sorted().toList() + " is expected");
            }
        }
        MergeLimits usual = MergeLimits.USUAL;
        return new MergeLimits(
                (int) number(merge, "floor", usual.floor()),
                number(merge, "freezeMs", usual.freezeMs()),
                number(merge, "suspectMs", usual.suspectMs()),
                number(merge, "rollConfirmMs", usual.rollConfirmMs()),
                number(merge, "confirmMs", usual.confirmMs()),
                (int) number(merge, "confirmAnswers", usual.confirmAnswers()),
                number(merge, "flapMs", usual.flapMs()),
                number(merge, "flapMostMs", usual.flapMostMs()),
                number(merge, "flapForgetMs", usual.flapForgetMs()),
                number(merge, "keptMs", usual.keptMs()),
                (int) number(merge, "mostMembers", usual.mostMembers()));
    }

    private static double number(Map<?, ?> merge, String name, double usual) {
        Object value = merge.get(name);
        if (value == null) {
            return usual;
        }
        if (!(value instanceof Number number) || number.doubleValue() < 0) {
            throw new IllegalArgumentException(
                    "/merge/" + name + ": found " + value + ", a number of 0 or more is expected");
        }
        return number.doubleValue();
    }

    /** Which endpoints may be connected to: IPv4 ranges such as 10.0.0.0/8; without them nothing that DNS names. */
    Predicate<String> allowed() {
        return new AddressRanges(tree.get("allow") instanceof List<?> list ? list : List.of(), "/allow");
    }
}
