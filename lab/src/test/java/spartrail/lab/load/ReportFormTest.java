package spartrail.lab.load;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import spartrail.lab.Forms;
import spartrail.lab.drill.DrillPlans;
import spartrail.lab.file.Document;
import spartrail.lab.plan.LoadPlan;

/** The JSON of {@code load run --report} keeps the bytes that version d4872eb wrote. */
class ReportFormTest {
    private static String report(LoadPlan plan, VirtualClientTransport.Responder responder, String fault)
            throws Exception {
        Recorder recorder = new Recorder();
        VirtualClientTransport sockets = new VirtualClientTransport(responder);
        sockets.play(new LoadGenerator(plan, plan.arrivals(), sockets, recorder, LoadListener.NONE));
        return Document.JSON
                        .writerWithDefaultPrettyPrinter()
                        .writeValueAsString(LoadReport.tree(plan, recorder, fault, 1234.5678))
                + "\n";
    }

    @Test
    void aRunWithAnswersInTimeLateAndMissingKeepsItsBytes() throws Exception {
        LoadPlan plan = DrillPlans.even(10, 1000, 200, 100, 1);
        VirtualClientTransport.Responder responder = (number, atMs) -> switch ((int) (number % 3)) {
            case 0 -> atMs + 100;
            case 1 -> atMs + 300;
            default -> Double.POSITIVE_INFINITY;
        };
        assertThat(report(plan, responder, null)).isEqualTo(Forms.text("report.json"));
    }

    @Test
    void aRunThatIsUnfitKeepsItsBytes() throws Exception {
        LoadPlan plan = DrillPlans.even(2, 1000, 200, 100, 1);
        assertThat(report(plan, (number, atMs) -> atMs + 100, "ended by SIGINT before the plan was through"))
                .isEqualTo(Forms.text("report-unfit.json"));
    }
}
