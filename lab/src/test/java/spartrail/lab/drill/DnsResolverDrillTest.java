package spartrail.lab.drill;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import spartrail.lab.dns.DnsServerEmulator.Behavior;

class DnsResolverDrillTest {
    /** The troubles that are met on sockets alone; the others are played on virtual time by the resolver's own tests. */
    @Test
    void troublesOnSocketsEmptyNoList() throws Exception {
        for (Behavior behavior : new Behavior[] {
            Behavior.TRUNCATE,
            Behavior.TRUNCATE_AND_CUT_TCP,
            Behavior.TCP_ONE_OCTET_AT_A_TIME,
            Behavior.SPOOF,
            Behavior.EMPTY
        }) {
            Drill.Findings findings = new Drill.Findings();
            DnsResolverDrill.play(behavior, 5, findings);
            assertThat(findings.all()).allMatch(Drill.Finding::passed);
        }
    }
}
