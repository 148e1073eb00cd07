package spartrail.lab.drill;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import spartrail.lab.dns.DnsServerEmulator.Manner;

class DnsResolverDrillTest {
    /** The troubles that are met on sockets alone; the others are played on virtual time by the resolver's own tests. */
    @Test
    void troublesOnSocketsEmptyNoList() throws Exception {
        for (Manner manner : new Manner[] {
            Manner.TRUNCATE, Manner.TRUNCATE_AND_CUT_TCP, Manner.TCP_ONE_OCTET_AT_A_TIME, Manner.SPOOF, Manner.EMPTY
        }) {
            Drill.Findings findings = new Drill.Findings();
            DnsResolverDrill.play(manner, 5, findings);
            assertThat(findings.all()).allMatch(Drill.Finding::good);
        }
    }
}
