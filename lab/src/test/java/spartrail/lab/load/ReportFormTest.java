package spartrail.lab.load;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import spartrail.lab.Forms;
import spartrail.lab.drill.DrillPlans;
import spartrail.lab.file.Document;
import spartrail.lab.plan.LoadPlan;

/** Checks that the JSON of {@code load run --report} is byte for byte what version d4872eb wrote. */
class ReportFormTest {
    private static String reportJson(LoadPlan plan, VirtualClientTransport.Responder responder, String stopReason)
            throws Exception {
        Recorder recorder = new Recorder();
        VirtualClientTransport transport = new VirtualClientTransport(responder);
        transport.play(new LoadGenerator(plan, plan.arrivals(), transport, recorder, LoadListener.NONE));
        return Document.JSON
                        .writerWithDefaultPrettyPrinter()
                        .writeValueAsString(LoadReport.tree(plan, recorder, stopReason, 1234.5678))
                + "\n";
    }

    @Test
    void reportOfInTimeLateAndMissingAnswersKeepsItsBytes() throws Exception {
        LoadPlan plan = DrillPlans.even(10, 1000, 200, 100, 1);
        VirtualClientTransport.Responder responder = (number, atMs) -> switch ((int) (number % 3)) {
            case 0 -> atMs + 100;
            case 1 -> atMs + 300;
            default -> Double.POSITIVE_INFINITY;
        };
        assertThat(reportJson(plan, responder, null)).isEqualTo(Forms.text("report.json"));
    }

    @Test
    void reportOfAnUnfitRunKeepsItsBytes() throws Exception {
        LoadPlan plan = DrillPlans.even(2, 1000, 200, 100, 1);
        assertThat(reportJson(plan, (number, atMs) -> atMs + 100, "ended by SIGINT before the plan was through"))
                .isEqualTo(Forms.text("report-unfit.json"));
    }
}
