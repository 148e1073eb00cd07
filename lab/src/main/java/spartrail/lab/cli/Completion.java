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

/** Prints what a shell needs to complete our commands and options. */
final class Completion extends Command {
    @Argument(required = true, metaVar = "SHELL", usage = "bash")
    private String shell;

    @Override
    String summary() {
        return "prints completion for a shell: eval \"$(bin/spartrail completion bash)\"";
    }

    @Override
    int run(PrintStream out, PrintStream err) {
        if (!shell.equals("bash")) {
            throw new InvalidInputException("found '" + shell + "', bash is expected");
        }
        Map<String, Set<String>> next = new LinkedHashMap<>();
        Map<String, String> options = new LinkedHashMap<>();
        Set<String> first = new LinkedHashSet<>(Set.of("serve", "check", "simhost", "version"));
        LabCommandLine.COMMANDS.forEach((name, command) -> {
            String[] words = name.split(" ");
            first.add(words[0]);
            if (words.length > 1) {
                next.computeIfAbsent(words[0], word -> new LinkedHashSet<>()).add(words[1]);
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
        out.println("    1:*) words=\"" + String.join(" ", first) + "\" ;;");
        next.forEach((word, seconds) ->
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
