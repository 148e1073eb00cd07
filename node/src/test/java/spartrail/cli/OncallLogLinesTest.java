package spartrail.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/**
 * Compares the log lines on the on-call page with the string literals in the code, so that the page stays up to date.
 */
class OncallLogLinesTest {
    private static final Path PAGE = Path.of("docs/oncall.md");
    private static final List<String> MODULES = List.of("core", "node", "dns", "peers", "policy");

    /** A row of the page's table of log lines: the logger's name and the text. */
    private static final Pattern ROW = Pattern.compile("^\\| `(spartrail\\.[a-z.]+): ([^`]+)`", Pattern.MULTILINE);

    /** The variable text in a log line: words in capitals, words with a digit, and an ellipsis. */
    private static final Pattern VARIABLE = Pattern.compile("\\b[A-Z][A-Z_]*\\b|\\S*\\d\\S*|\\.\\.\\.");

    private static final Pattern LITERAL = Pattern.compile("\"((?:[^\"\\\\]|\\\\.)*)\"");
    private static final Pattern LOGGER = Pattern.compile("getLogger\\(\\s*\"(spartrail[a-z.]*)\"\\)");

    private record LogLine(String logger, String text) {}

    @Test
    void eachLogLineOfThePageIsInTheCode() throws IOException {
        Set<String> loggers = new HashSet<>();
        StringBuilder printed = new StringBuilder();
        for (String source : readMainSources()) {
            LOGGER.matcher(source).results().forEach(match -> loggers.add(match.group(1)));
            LITERAL.matcher(source).results().forEach(match -> printed.append(match.group(1))
                    .append('\n'));
        }
        List<LogLine> lines = ROW.matcher(Files.readString(PAGE))
                .results()
                .map(match -> new LogLine(match.group(1), match.group(2)))
                .toList();
        assertThat(lines).hasSizeGreaterThan(20);
        assertThat(lines).extracting(LogLine::logger).isSubsetOf(loggers);
        List<String> missing = new ArrayList<>();
        for (LogLine line : lines) {
            splitIntoFragments(line.text()).stream()
                    .filter(fragment -> printed.indexOf(fragment) < 0)
                    .forEach(fragment -> missing.add(line + ": '" + fragment + "'"));
        }
        assertThat(missing).isEmpty();
    }

    private static List<String> splitIntoFragments(String text) {
        return Stream.of(VARIABLE.split(text))
                .flatMap(part -> Stream.of(part.split("[,;:()]")))
                .map(String::strip)
                .filter(part -> part.length() > 2)
                .toList();
    }

    private static List<String> readMainSources() throws IOException {
        List<String> sources = new ArrayList<>();
        for (String module : MODULES) {
            try (Stream<Path> files = Files.walk(Path.of(module, "src/main/java"))) {
                for (Path file :
                        files.filter(path -> path.toString().endsWith(".java")).toList()) {
                    sources.add(Files.readString(file).replaceAll("\"\\s*\\+\\s*\"", ""));
                }
            }
        }
        return sources;
    }
}
