package spartrail.lab.cli;

import java.io.PrintStream;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.CmdLineParser;
import spartrail.lab.file.InvalidInputException;

/** Prints a script with which a shell completes the names of commands and options. */
final class Completion extends Command {
    @Argument(required = true, metaVar = "SHELL", usage = "the shell; only bash is supported")
    private String shell;

    @Override
    String summary() {
        return "prints a completion script for a shell; use it with: eval \"$(bin/spartrail completion bash)\"";
    }

    @Override
    int run(PrintStream out, PrintStream err) {
        if (!shell.equals("bash")) {
            throw new InvalidInputException("found '" + shell + "', bash is expected");
        }
        Map<String, Set<String>> secondWords = new LinkedHashMap<>();
        Map<String, String> options = new LinkedHashMap<>();
        Set<String> firstWords = new LinkedHashSet<>(Set.of("serve", "check", "simhost", "version"));
        LabCommandLine.COMMANDS.forEach((name, command) -> {
            String[] words = name.split(" ");
            firstWords.add(words[0]);
            if (words.length > 1) {
                secondWords
                        .computeIfAbsent(words[0], word -> new LinkedHashSet<>())
                        .add(words[1]);
            }
            options.put(
                    name,
                    new CmdLineParser(command.get())
                            .getOptions().stream()
                                    .map(option -> option.option.toString().split(" ")[0])
                                    .collect(Collectors.joining(" ")));
        });
        out.println("_spartrail() {");
        out.println("  local now=${COMP_WORDS[COMP_CWORD]} words=");
        out.println("  case \"$COMP_CWORD:${COMP_WORDS[1]} ${COMP_WORDS[2]}\" in");
        out.println("    1:*) words=\"" + String.join(" ", firstWords) + "\" ;;");
        secondWords.forEach((word, seconds) ->
                out.println("    2:" + word + "\\ *) words=\"" + String.join(" ", seconds) + "\" ;;"));
        options.forEach((name, list) -> out.println("    *:" + name.replace(" ", "\\ ")
                + (name.contains(" ") ? "" : "\\ ") + "*) words=\"" + list + "\" ;;"));
        out.println("  esac");
        out.println("  COMPREPLY=($(compgen -W \"$words\" -- \"$now\"))");
        out.println("  [ -n \"$words\" ] && [ ${#COMPREPLY[@]} -gt 0 ] || COMPREPLY+=($(compgen -f -- \"$now\"))");
        out.println("}");
        out.println("complete -F _spartrail spartrail bin/spartrail");
        return 0;
    }
}
