package spartrail.lab.load;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Locale;
import org.junit.jupiter.api.Test;
import spartrail.lab.Table;
import spartrail.lab.drill.DrillPlans;
import spartrail.lab.fleet.NullResponder;
import spartrail.lab.plan.LoadPlan;

class LoadGeneratorTest {
    private static Recorder runVirtually(LoadPlan plan, VirtualClientTransport.Responder responder) {
        Recorder recorder = new Recorder();
        VirtualClientTransport transport = new VirtualClientTransport(responder);
        transport.play(new LoadGenerator(plan, plan.arrivals(), transport, recorder, LoadListener.NONE));
        return recorder;
    }

    private static String describe(Recorder recorder) {
        StringBuilder text = new StringBuilder();
        for (AttemptResult kind : AttemptResult.values()) {
            if (recorder.count(kind) > 0) {
                text.append(' ').append(kind).append(' ').append(recorder.count(kind));
            }
        }
        return text + ", twice " + recorder.unexpectedResponses + ", sent once more " + recorder.resent + ", clients "
                + recorder.served.getTotalCount() + " served " + recorder.unserved + " not";
    }

    /** One connection, answers after 100 ms, arrivals every 50 ms: the n-th arrival waits n times 50 ms. */
    @Test
    void latencyIncludesTheWaitForAConnection() {
        Recorder recorder = runVirtually(DrillPlans.even(20, 1000, 60_000, 1, 1), (number, atMs) -> atMs + 100);
        assertThat(describe(recorder)).startsWith(" WHOLE 20,");
        assertThat(recorder.total(kind -> true, true).getMaxValue() / 1000).isEqualTo(100 + 19 * 50);
        assertThat(recorder.total(kind -> true, false).getMaxValue() / 1000).isEqualTo(100);
        assertThat(recorder.connectionsOpened).isEqualTo(1);
        assertThat(recorder.lag.getMaxValue()).isZero();
    }

    /**
     * Clients wait 255 ms. The first four are answered after 100, 150, 200, 250 ms; from then on the one that gets the
     * connection in its last 5 ms is answered late, the one after it never gets it.
     */
    @Test
    void anAttemptWithoutConnectionUntilItsTimeoutIsNotSent() {
        assertThat(describe(runVirtually(DrillPlans.even(20, 1000, 255, 1, 1), (number, atMs) -> atMs + 100)))
                .isEqualTo(" WHOLE 4 LATE 9 NOT_SENT 7, twice 0, sent once more 0, clients 4 served 16 not");
    }

    @Test
    void lateAndMissingAnswersAreCountedSeparately() {
        assertThat(describe(runVirtually(
                        DrillPlans.even(10, 1000, 200, 100, 1),
                        (number, atMs) -> number % 3 == 0
                                ? atMs + 100
                                : number % 3 == 1 ? atMs + 300 : Double.POSITIVE_INFINITY)))
                .isEqualTo(" WHOLE 4 NONE 3 LATE 3, twice 0, sent once more 0, clients 4 served 6 not");
    }

    @Test
    void clientsBehaveAsTheirStreamStates() throws Exception {
        StringBuilder seen = new StringBuilder();
        for (String behavior : new String[] {
            "{}",
            "{'tries':3}",
            "{'tries':3,'wait':'fixed','waitMs':100}",
            "{'leaves':{'share':1,'at':0.25}}",
            "{'ownConnection':true}"
        }) {
            LoadPlan plan = DrillPlans.parse("{'gaps':{'kind':'even'},'lingerMs':100,'phases':[{'lastsMs':1000,'rate':"
                    + "{'shape':'steady','perS':10}}],'streams':[{'opTypes':[{'name':'orders'}],'shards':{'of':8},"
                    + "'clientMs':200,'habit':" + behavior + "}]}");
            // Requests whose number is a multiple of three are answered after 60 ms, the others never.
            Recorder recorder =
                    runVirtually(plan, (number, atMs) -> number % 3 == 0 ? atMs + 60 : Double.POSITIVE_INFINITY);
            seen.append(String.format(
                    Locale.ROOT,
                    "%s:%s, opened %d, most tries %d%n",
                    behavior,
                    describe(recorder),
                    recorder.connectionsOpened,
                    recorder.tries.getMaxValue()));
        }
        Table.same("habits-played", seen.toString());
    }

    @Test
    void eachFaultyAnswerIsCountedOnceUnderItsKind() throws Exception {
        StringBuilder seen = new StringBuilder();
        for (NullResponder.Behavior behavior : NullResponder.Behavior.values()) {
            LoadPlan plan = DrillPlans.parse(
                    "{'gaps':{'kind':'even'},'lingerMs':100,'lagBoundMs':10000,'phases':[{'lastsMs':200,"
                            + "'rate':{'shape':'steady','perS':25}}],'streams':[{'opTypes':[{'name':'orders'}],'shards':{'of':8},"
                            + "'clientMs':" + (behavior == NullResponder.Behavior.SILENT ? 100 : 30_000) + "}]}");
            try (NullResponder responder = new NullResponder(0, (number, atMs) -> atMs)) {
                responder.setBehavior(behavior);
                try (LoadSession session = new LoadSession(
                        DrillPlans.at(plan, responder.address()), plan.arrivals(), 200, LoadListener.NONE)) {
                    assertThat(session.await(60_000)).isTrue();
                    seen.append(behavior)
                            .append(':')
                            .append(describe(session.recorder()).replaceAll(", clients.*", ""))
                            .append('\n');
                }
            }
        }
        Table.same("odd-answers", seen.toString());
    }

    @Test
    void aStoppedFrontNodeGivesNoConnection() throws Exception {
        LoadPlan plan = DrillPlans.even(50, 100, 5000, 10, 1);
        int port;
        try (NullResponder responder = new NullResponder(0, (number, atMs) -> atMs)) {
            port = Integer.parseInt(responder.address().split(":")[1]);
        }
        try (LoadSession session =
                new LoadSession(DrillPlans.at(plan, "127.0.0.1:" + port), plan.arrivals(), 100, LoadListener.NONE)) {
            assertThat(session.await(60_000)).isTrue();
            assertThat(describe(session.recorder())).startsWith(" NO_CONNECTION 5,");
        }
    }

    /** The report of a run whose own lag exceeds its bound says so. */
    @Test
    void lagAboveItsBoundMakesARunUnfit() {
        LoadPlan plan = DrillPlans.even(100, 100, 1000, 10, 1);
        Recorder recorder = new Recorder();
        for (int i = 0; i < 100; i++) {
            recorder.recordLag(i < 98 ? 0.1 : 60);
        }
        var tree = LoadReport.tree(plan, recorder, null, 1000);
        assertThat(tree.get("fit").asBoolean()).isFalse();
        assertThat(LoadReport.text(tree)).startsWith("UNFIT: the generator itself was 60.");
    }

    /** A generator that pauses for 300 ms is late by 300 ms; the service time of its target does not include that. */
    @Test
    void theGeneratorsOwnDelayCountsAsLagNotAsServiceTime() {
        LoadPlan plan = DrillPlans.even(100, 1000, 5000, 100, 1);
        Recorder recorder = new Recorder();
        double[] nowMs = new double[1];
        LoadGenerator[] generator = new LoadGenerator[1];
        ClientTransport transport = new ClientTransport() {
            @Override
            public void open(ClientConnection connection) {
                generator[0].onConnected(connection, nowMs[0]);
            }

            @Override
            public void send(ClientConnection connection, ClientAttempt attempt, double leftMs) {
                generator[0].onWritten(connection, nowMs[0]);
                generator[0].onResponse(
                        connection,
                        new HttpResponse(200, VirtualClientTransport.answerBody(attempt), 0, true, false),
                        nowMs[0]);
            }

            @Override
            public void close(ClientConnection connection) {
                // There are no resources to release.
            }
        };
        generator[0] = new LoadGenerator(plan, plan.arrivals(), transport, recorder, LoadListener.NONE);
        generator[0].start(0);
        while (!generator[0].isOver()) {
            double dueMs = generator[0].nextMs();
            nowMs[0] = dueMs >= 500 && dueMs < 800 ? 800 : dueMs;
            generator[0].run(nowMs[0]);
        }
        assertThat(recorder.lag.getMaxValue() / 1000).isEqualTo(300);
        assertThat(recorder.total(kind -> true, false).getMaxValue()).isZero();
        assertThat(LoadReport.tree(plan, recorder, null, 1000).get("fit").asBoolean())
                .isFalse();
    }

    /** When file descriptors run out, open attempts still end, nothing more is sent, and the report says why. */
    @Test
    void aFailureToOpenSocketsEndsTheRunInOrder() {
        LoadPlan plan = DrillPlans.even(100, 1000, 5000, 1000, 1);
        Recorder recorder = new Recorder();
        VirtualClientTransport virtual = new VirtualClientTransport((number, atMs) -> atMs + 500) {
            private int open;

            @Override
            public void open(ClientConnection connection) {
                if (++open > 7) {
                    throw new IllegalStateException("Too many open files");
                }
                super.open(connection);
            }
        };
        LoadGenerator generator = new LoadGenerator(plan, plan.arrivals(), virtual, recorder, LoadListener.NONE);
        virtual.play(generator);
        assertThat(generator.stopReason())
                .isEqualTo("cannot open another socket with 7 connections open: Too many open files");
        assertThat(describe(recorder)).startsWith(" WHOLE 7 NO_CONNECTION 1,");
        assertThat(LoadReport.text(LoadReport.tree(plan, recorder, generator.stopReason(), 1000)))
                .startsWith("UNFIT: cannot open another socket");
    }

    @Test
    void longRunsGetWiderSlices() {
        Recorder recorder = runVirtually(DrillPlans.even(1, 4_000_000, 1000, 10, 1), (number, atMs) -> atMs + 1);
        assertThat(recorder.slices().size()).isLessThanOrEqualTo(1200);
        assertThat(recorder.slices().stream().mapToLong(slice -> slice.intended).sum())
                .isEqualTo(4000);
        assertThat(recorder.sliceMs()).isEqualTo(4000);
    }
}
