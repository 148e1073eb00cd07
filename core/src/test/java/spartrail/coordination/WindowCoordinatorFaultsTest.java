package spartrail.coordination;

import static spartrail.coordination.CoordinatorScript.server;
import static spartrail.coordination.CoordinatorScript.serverInZone;

import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import spartrail.model.Attempt.Outcome;
import spartrail.model.OpType;
import spartrail.model.Server;

/** Decisions while servers, clients or the process itself are faulty, and under overload. */
class WindowCoordinatorFaultsTest {

    @Test
    void anOverdueAttemptIsHedgedElsewhereAndTheLoserIsCancelled() {
        new CoordinatorScript()
                .withFleet(1, 2, 2, 1)
                .place(1, 0)
                .advance(200)
                .outcome("1.0#1", Outcome.ANSWERED)
                .outcome("1.0#0", Outcome.CANCELLED)
                .assertTraceIs("copy");
    }

    @Test
    void anAttemptOvertakenByLaterAnswersIsHedgedEarly() {
        new CoordinatorScript()
                .withFleet(1, 2, 2, 1)
                .place(1, 0)
                .place(2, 0)
                .advance(1)
                .place(3, 0)
                .advance(50)
                .outcome("3.0#0", Outcome.ANSWERED)
                .advance(100)
                .outcome("2.0#0", Outcome.ANSWERED)
                .assertTraceIs("overtaken");
    }

    @Test
    void nothingIsHedgedWhereParallelAttemptsAreForbidden() {
        CoordinatorScript script = new CoordinatorScript().withFleet(1, 2, 2, 1);
        script.coordinator.configureAttempts(2, false, false);
        script.place(1, 0)
                .advance(320)
                .outcome("1.0#0", Outcome.TIMED_OUT)
                .advance(100)
                .outcome("1.0#1", Outcome.ANSWERED)
                .assertTraceIs("no-parallel");
    }

    @Test
    void aServerThatFailsQuicklyAttractsNoWork() {
        CoordinatorScript script = new CoordinatorScript().withFleet(1, 3, 3, 1);
        for (int i = 1; i < 10; i++) {
            script.place(i, 0).advance(2);
            for (int server = 0; server < 3; server++) {
                script.outcomeOfAllAt("s" + server, server == 0 ? Outcome.ERROR : Outcome.ANSWERED);
            }
            script.advance(100);
        }
        script.assertTraceIs("fast-errors");
    }

    @Test
    void underOverloadTheLowestPriorityIsRejectedFirst() {
        CoordinatorScript script = new CoordinatorScript();
        OpType highPriority = script.addHighPriorityOpType();
        script.withFleet(1, 1, 1, 1);
        for (int i = 1; i < 7; i++) {
            script.place(i, 0);
        }
        script.advance(500).place(7, 0).place(highPriority, 8, 2000, 0).assertTraceIs("overload");
    }

    @Test
    void aMultigetWithTooLittleTimeIsRejectedAndOneWithLittleIsNot() {
        CoordinatorScript script = new CoordinatorScript();
        script.opType.lateShare = 0;
        script.withFleet(1, 1, 1, 1)
                .place(script.opType, 1, 50, 0)
                .place(script.opType, 2, 900, 0)
                .assertTraceIs("little-time");
    }

    @Test
    void noAttemptIsStartedForAClientThatHasGone() {
        new CoordinatorScript()
                .withFleet(1, 3, 3, 1)
                .place(1, 0)
                .clientGone(1)
                .outcomeOfAllAt("s0", Outcome.RESET)
                .advance(3000)
                .place(2, 0)
                .advance(100)
                .clientGone(2)
                .advance(3000)
                .outcomeOfAllAt("s1", Outcome.ERROR)
                .advance(3000)
                .assertTraceIs("gone");
    }

    @Test
    void theEndpointListIsPolledAgainWithBackoff() {
        CoordinatorScript script = new CoordinatorScript().withFleet(1, 2, 2, 1);
        script.coordinator.configureEndpointPolling(true, 10_000);
        script.endpointUpdate(true, false, server("s0", 0, Server.State.LIVE, -1))
                .advance(300)
                .discoveryUnavailable()
                .advance(1000)
                .discoveryUnavailable()
                .advance(2000)
                .endpointUpdate(false, true)
                .advance(6000)
                .assertTraceIs("list");
    }

    @Test
    void aRetryThatCannotBeSentBlocksNothing() {
        CoordinatorScript script = new CoordinatorScript().withFleet(1, 2, 2, 1);
        script.placeEach(1, 8, 0);
        script.advance(10)
                .outcomeOfAllAt("s1", Outcome.FULL)
                .place(9, 0)
                .place(10, 0)
                .advance(10)
                .outcome("1.0#0", Outcome.ANSWERED)
                .outcome("3.0#0", Outcome.ANSWERED)
                .assertTraceIs("repeat-blocked");
    }

    @Test
    void withEmptyQueuesAdmissionGoesByRecentLatencyWhichFades() {
        CoordinatorScript script = new CoordinatorScript();
        OpType highPriority = script.addHighPriorityOpType();
        script.withFleet(4, 4, 1, 1);
        script.place(1, 0).place(2, 1).place(3, 2).place(4, 3).advance(900);
        for (int i = 0; i < 4; i++) {
            script.outcomeOfAllAt("s" + i, Outcome.ANSWERED);
        }
        script.place(5, 0)
                .place(highPriority, 6, 2000, 1)
                .advance(9000)
                .place(7, 0)
                .assertTraceIs("crowded");
    }

    @Test
    void theLatencyOfOneEjectedServerRejectsNothing() {
        CoordinatorScript script = new CoordinatorScript().withFleet(4, 4, 1, 1);
        script.coordinator.configureAttempts(1, false, false);
        for (int i = 1; i < 5; i++) {
            script.place(i, 0).advance(900).outcomeOfAllAt("s0", Outcome.ANSWERED);
        }
        script.place(5, 1).assertTraceIs("one-ill");
    }

    @Test
    void aMultigetResetByTwoServersSendsNothingFurtherUntilAPartIsAnswered() {
        CoordinatorScript script = new CoordinatorScript().withFleet(3, 6, 6, 1);
        script.place(1, 0, 1, 2)
                .place(2, 0, 1, 2)
                .advance(10)
                .outcome("1.0#0", Outcome.RESET)
                .outcome("1.1#0", Outcome.RESET)
                .outcome("1.0#1", Outcome.RESET)
                .outcome("1.2#0", Outcome.RESET);
        script.outcome("2.0#0", Outcome.RESET)
                .outcome("2.1#0", Outcome.RESET)
                .outcome("2.0#1", Outcome.RESET)
                .advance(50)
                .outcome("2.2#0", Outcome.ANSWERED)
                .assertTraceIs("broken-off");
    }

    private static int[] wideShards() {
        return IntStream.range(0, 33).toArray();
    }

    @Test
    void aWideMultigetThatCrashesServersCrashesOneAndIsGivenUp() {
        new CoordinatorScript()
                .withFleet(33, 33, 3, 1)
                .place(1, wideShards())
                .advance(10)
                .outcome("1.0#0", Outcome.RESET)
                .assertTraceIs("wide-killer");
    }

    @Test
    void aWideMultigetGoesOnWithItsFirstAnswerOrAfterTheExpectedLatency() {
        new CoordinatorScript()
                .withFleet(33, 33, 3, 1)
                .place(1, wideShards())
                .advance(60)
                .outcome("1.0#0", Outcome.ANSWERED)
                .place(2, wideShards())
                .advance(125)
                .assertTraceIs("wide");
    }

    @Test
    void whileServersCrashEveryMultigetSendsOnePartFirst() {
        CoordinatorScript script = new CoordinatorScript().withFleet(8, 8, 2, 1);
        script.endpointUpdate(
                false,
                true,
                server("s5", 5, Server.State.GONE, -1),
                server("s6", 6, Server.State.LIVE, 990),
                server("s7", 7, Server.State.GONE, -1));
        script.place(1, 0, 1, 2)
                .advance(50)
                .outcome("1.0#0", Outcome.ANSWERED)
                .advance(20_000)
                .place(2, 0, 1, 2)
                .assertTraceIs("deaths");
    }

    @Test
    void aBadPathToOneZoneIsDistinguishedFromASlowdownOfAll() {
        CoordinatorScript script = new CoordinatorScript().withFleet(1, 4, 4, 1);
        script.coordinator.configureAttempts(1, false, false);
        script.endpointUpdate(
                true,
                true,
                serverInZone("s0", 0, "a"),
                serverInZone("s1", 1, "a"),
                serverInZone("s2", 2, "b"),
                serverInZone("s3", 3, "b"));
        script.placeEach(1, 4, 0)
                .advance(60)
                .outcomeOfAllAt("s0", Outcome.ANSWERED)
                .outcomeOfAllAt("s1", Outcome.ANSWERED)
                .advance(740)
                .outcomeOfAllAt("s2", Outcome.ANSWERED)
                .outcomeOfAllAt("s3", Outcome.ANSWERED);
        script.advance(100).placeEach(5, 7, 0).assertTraceIs("zones");
    }

    @Test
    void aClientRetryPastItsLatencyObjectiveIsRejectedWithRetryAfter() {
        CoordinatorScript script = new CoordinatorScript().withFleet(1, 1, 1, 1);
        script.clientRetry = true;
        script.place(script.opType, 1, 1100, 0).place(script.opType, 2, 1000, 0).assertTraceIs("spent");
    }

    @Test
    void aMultigetWithAnIdempotencyKeyIsRejectedOnlyWhereItsClientReturnsWithinTheWindow() {
        CoordinatorScript script = new CoordinatorScript();
        script.opType.idempotency = OpType.Idempotency.IDEMPOTENCY_KEY;
        script.opType.deduplicationWindowMs = 1000;
        script.withFleet(1, 1, 1, 1)
                .place(1, 0)
                .place(2, 0)
                .advance(100)
                .outcome("1.0#0", Outcome.ERROR)
                .advance(750)
                .outcome("2.0#0", Outcome.ERROR)
                .assertTraceIs("deduped-back");
    }

    @Test
    void theLastOfManyPartsIsHedgedEarly() {
        CoordinatorScript script = new CoordinatorScript().withFleet(10, 10, 2, 1);
        script.place(1, 0, 1, 2, 3, 4, 5, 6, 7, 8, 9)
                .place(2, 0, 1, 2, 3, 4, 5, 6, 7, 8, 9)
                .advance(100);
        for (int i = 0; i < 9; i++) {
            script.outcome("1." + i + "#0", Outcome.ANSWERED);
        }
        script.advance(22).assertTraceIs("straggler");
    }

    @Test
    void aLateMultigetGoesOnWhereLittleIsLeftToSend() {
        CoordinatorScript script = new CoordinatorScript();
        script.withFleet(5, 5, 1, 1).place(1, 0, 1, 2, 3, 4).place(2, 0, 1).advance(10);
        script.endpointUpdate(false, true, server("s0", 0, Server.State.DRAINING, -1))
                .outcome("1.0#0", Outcome.CONNECT_FAILED)
                .outcome("2.0#0", Outcome.CONNECT_FAILED)
                .advance(1000)
                .assertTraceIs("late-rest");
    }

    @Test
    void aPauseOfTheProcessEjectsNoServer() {
        CoordinatorScript script = new CoordinatorScript().withFleet(2, 4, 2, 1);
        script.place(1, 0, 1)
                .advance(10)
                .pauseProcess(1500)
                .outcome("1.0#0", Outcome.ANSWERED)
                .outcome("1.1#0", Outcome.ANSWERED)
                .advance(100)
                .place(2, 0, 1)
                .assertTraceIs("own-gap");
    }

    @Test
    void aChangeOfSettingsKeepsWhatIsLearnedAndWaitsForALongerBudgetWindow() {
        CoordinatorScript script = new CoordinatorScript().withFleet(1, 3, 3, 1);
        script.coordinator.configureAttempts(4, false, true).configureRetryBudget(1000, 1, 0);
        script.endpointUpdate(false, true, server("s2", 2, Server.State.LIVE, 990));
        // s0 cannot be reached, and the retry at s2, which warms up, is its share there for the first second.
        script.place(1, 0).outcome("1.0#0", Outcome.CONNECT_FAILED).advance(150);
        script.opType.latencyObjectiveMs = 1500;
        script.coordinator
                .configureAttempts(4, false, true)
                .configureRetryBudget(2000, 1, 0)
                .configureSlowStart(0.2, 10_000, 2, 1000);
        script.placeEach(2, 4, 0)
                .advance(900)
                .outcome("2.0#0", Outcome.ERROR)
                .advance(100)
                .outcome("3.0#0", Outcome.ERROR)
                .assertTraceIs("switch");
    }
}
