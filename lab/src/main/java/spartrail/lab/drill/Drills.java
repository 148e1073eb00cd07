package spartrail.lab.drill;

import java.util.ArrayList;
import java.util.List;
import java.util.ServiceLoader;
import spartrail.lab.file.InvalidInputException;

/** The list of drills: those of this package and those that other subsystems register as services. */
public final class Drills {
    private Drills() {}

    public static List<Drill> all() {
        List<Drill> drills = new ArrayList<>(List.of(
                new LoadDelayDrill(),
                new LoadStallDrill(),
                new LoadTraceOrderDrill(),
                new RuleMutationDrill(),
                new DnsResolverDrill(),
                new DnsNodeDrill(true),
                new DnsNodeDrill(false),
                new BadClientsDrill(),
                new SubsetDrill()));
        drills.addAll(PeersDrill.all());
        drills.addAll(PolicyDrill.all());
        ServiceLoader.load(Drill.class).forEach(drills::add);
        return drills;
    }

    public static Drill named(String name) {
        return all().stream()
                .filter(drill -> drill.name().equals(name))
                .findFirst()
                .orElseThrow(() -> new InvalidInputException("no drill is named '" + name + "'; there are "
                        + all().stream().map(Drill::name).toList()));
    }
}
