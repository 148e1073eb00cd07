package spartrail.lab.drill;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import spartrail.lab.dns.DnsServerEmulator.Behavior;

class DnsResolverDrillTest {
    /** Checks the faults that occur only on sockets; the resolver's own tests check the others on virtual time. */
    @Test
    void targetsSurviveFaultsOnSockets() throws Exception {
        for (Behavior behavior : new Behavior[] {
            Behavior.TRUNCATE,
            Behavior.TRUNCATE_AND_CUT_TCP,
            Behavior.TCP_ONE_OCTET_AT_A_TIME,
            Behavior.SPOOF,
            Behavior.EMPTY
        }) {
            Drill.Findings findings = new Drill.Findings();
            DnsResolverDrill.runWithBehavior(behavior, 5, findings);
            assertThat(findings.all()).allMatch(Drill.Finding::passed);
        }
    }
}
