package spartrail.coordination;

import static spartrail.coordination.CoordinatorScript.createServer;
import static spartrail.coordination.CoordinatorScript.createServerInZone;

import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import spartrail.model.Attempt.Outcome;
import spartrail.model.OpType;
import spartrail.model.Server;

/** Decisions under overload, and while servers, clients or the process itself are faulty. */
class WindowCoordinatorFaultsTest {

    @Test
    void anOverdueAttemptIsHedgedAtAnotherReplicaAndCancelledWhenThatOneAnswers() {
        new CoordinatorScript()
                .startFleet(1, 2, 2, 1)
                .submit(1, 0)
                .advance(200)
                .reportOutcome("1.0#1", Outcome.ANSWERED)
                .reportOutcome("1.0#0", Outcome.CANCELLED)
                .assertTraceMatches("copy");
    }

    @Test
    void anAttemptIsHedgedEarlyAfterTheServerAnsweredALaterOne() {
        new CoordinatorScript()
                .startFleet(1, 2, 2, 1)
                .submit(1, 0)
                .submit(2, 0)
                .advance(1)
                .submit(3, 0)
                .advance(50)
                .reportOutcome("3.0#0", Outcome.ANSWERED)
                .advance(100)
                .reportOutcome("2.0#0", Outcome.ANSWERED)
                .assertTraceMatches("overtaken");
    }

    @Test
    void noAttemptIsHedgedWhereParallelAttemptsAreForbidden() {
        CoordinatorScript script = new CoordinatorScript().startFleet(1, 2, 2, 1);
        script.coordinator.configureAttempts(2, false, false);
        script.submit(1, 0)
                .advance(320)
                .reportOutcome("1.0#0", Outcome.TIMED_OUT)
                .advance(100)
                .reportOutcome("1.0#1", Outcome.ANSWERED)
                .assertTraceMatches("no-parallel");
    }

    @Test
    void aServerThatFailsQuicklyIsAvoided() {
        CoordinatorScript script = new CoordinatorScript().startFleet(1, 3, 3, 1);
        for (int i = 1; i < 10; i++) {
            script.submit(i, 0).advance(2);
            for (int server = 0; server < 3; server++) {
                script.reportOutcomeForAllAt("s" + server, server == 0 ? Outcome.ERROR : Outcome.ANSWERED);
            }
            script.advance(100);
        }
        script.assertTraceMatches("fast-errors");
    }

    @Test
    void underOverloadTheLowestPriorityIsRejectedFirst() {
        CoordinatorScript script = new CoordinatorScript();
        OpType highPriority = script.addHighPriorityOpType();
        script.startFleet(1, 1, 1, 1);
        for (int i = 1; i < 7; i++) {
            script.submit(i, 0);
        }
        script.advance(500).submit(7, 0).submit(highPriority, 8, 2000, 0).assertTraceMatches("overload");
    }

    @Test
    void aMultigetWithTooLittleTimeLeftIsRejectedAndOneWithEnoughIsAdmitted() {
        CoordinatorScript script = new CoordinatorScript();
        script.opType.lateShare = 0;
        script.startFleet(1, 1, 1, 1)
                .submit(script.opType, 1, 50, 0)
                .submit(script.opType, 2, 900, 0)
                .assertTraceMatches("little-time");
    }

    @Test
    void noAttemptIsStartedForAClientThatHasGone() {
        new CoordinatorScript()
                .startFleet(1, 3, 3, 1)
                .submit(1, 0)
                .closeClient(1)
                .reportOutcomeForAllAt("s0", Outcome.RESET)
                .advance(3000)
                .submit(2, 0)
                .advance(100)
                .closeClient(2)
                .advance(3000)
                .reportOutcomeForAllAt("s1", Outcome.ERROR)
                .advance(3000)
                .assertTraceMatches("gone");
    }

    @Test
    void theEndpointListIsPolledAgainWithBackoff() {
        CoordinatorScript script = new CoordinatorScript().startFleet(1, 2, 2, 1);
        script.coordinator.configureEndpointPolling(true, 10_000);
        script.updateEndpoints(true, false, createServer("s0", 0, Server.State.LIVE, -1))
                .advance(300)
                .reportDiscoveryUnavailable()
                .advance(1000)
                .reportDiscoveryUnavailable()
                .advance(2000)
                .updateEndpoints(false, true)
                .advance(6000)
                .assertTraceMatches("list");
    }

    @Test
    void aRetryThatCannotBeSentDoesNotBlockThePartsBehindIt() {
        CoordinatorScript script = new CoordinatorScript().startFleet(1, 2, 2, 1);
        script.submitEach(1, 8, 0);
        script.advance(10)
                .reportOutcomeForAllAt("s1", Outcome.FULL)
                .submit(9, 0)
                .submit(10, 0)
                .advance(10)
                .reportOutcome("1.0#0", Outcome.ANSWERED)
                .reportOutcome("3.0#0", Outcome.ANSWERED)
                .assertTraceMatches("repeat-blocked");
    }

    @Test
    void withEmptyQueuesAdmissionDependsOnRecentLatencyUntilItIsOutdated() {
        CoordinatorScript script = new CoordinatorScript();
        OpType highPriority = script.addHighPriorityOpType();
        script.startFleet(4, 4, 1, 1);
        script.submit(1, 0).submit(2, 1).submit(3, 2).submit(4, 3).advance(900);
        for (int i = 0; i < 4; i++) {
            script.reportOutcomeForAllAt("s" + i, Outcome.ANSWERED);
        }
        script.submit(5, 0)
                .submit(highPriority, 6, 2000, 1)
                .advance(9000)
                .submit(7, 0)
                .assertTraceMatches("crowded");
    }

    @Test
    void theLatencyOfAnEjectedServerDoesNotCauseRejections() {
        CoordinatorScript script = new CoordinatorScript().startFleet(4, 4, 1, 1);
        script.coordinator.configureAttempts(1, false, false);
        for (int i = 1; i < 5; i++) {
            script.submit(i, 0).advance(900).reportOutcomeForAllAt("s0", Outcome.ANSWERED);
        }
        script.submit(5, 1).assertTraceMatches("one-ill");
    }

    @Test
    void aMultigetThatTwoServersResetSendsNoMorePartsUntilOneIsAnswered() {
        CoordinatorScript script = new CoordinatorScript().startFleet(3, 6, 6, 1);
        script.submit(1, 0, 1, 2)
                .submit(2, 0, 1, 2)
                .advance(10)
                .reportOutcome("1.0#0", Outcome.RESET)
                .reportOutcome("1.1#0", Outcome.RESET)
                .reportOutcome("1.0#1", Outcome.RESET)
                .reportOutcome("1.2#0", Outcome.RESET);
        script.reportOutcome("2.0#0", Outcome.RESET)
                .reportOutcome("2.1#0", Outcome.RESET)
                .reportOutcome("2.0#1", Outcome.RESET)
                .advance(50)
                .reportOutcome("2.2#0", Outcome.ANSWERED)
                .assertTraceMatches("broken-off");
    }

    private static int[] wideShards() {
        return IntStream.range(0, 33).toArray();
    }

    @Test
    void aWideMultigetIsGivenUpAfterItsFirstPartCrashesAServer() {
        new CoordinatorScript()
                .startFleet(33, 33, 3, 1)
                .submit(1, wideShards())
                .advance(10)
                .reportOutcome("1.0#0", Outcome.RESET)
                .assertTraceMatches("wide-killer");
    }

    @Test
    void aWideMultigetSendsItsOtherPartsAfterTheFirstAnswerOrTheExpectedLatency() {
        new CoordinatorScript()
                .startFleet(33, 33, 3, 1)
                .submit(1, wideShards())
                .advance(60)
                .reportOutcome("1.0#0", Outcome.ANSWERED)
                .submit(2, wideShards())
                .advance(125)
                .assertTraceMatches("wide");
    }

    @Test
    void whileServersCrashEveryMultigetSendsOnePartFirst() {
        CoordinatorScript script = new CoordinatorScript().startFleet(8, 8, 2, 1);
        script.updateEndpoints(
                false,
                true,
                createServer("s5", 5, Server.State.GONE, -1),
                createServer("s6", 6, Server.State.LIVE, 990),
                createServer("s7", 7, Server.State.GONE, -1));
        script.submit(1, 0, 1, 2)
                .advance(50)
                .reportOutcome("1.0#0", Outcome.ANSWERED)
                .advance(20_000)
                .submit(2, 0, 1, 2)
                .assertTraceMatches("deaths");
    }

    @Test
    void serversOfASlowZoneAreAvoidedEvenIfTheyAreHalfOfAll() {
        CoordinatorScript script = new CoordinatorScript().startFleet(1, 4, 4, 1);
        script.coordinator.configureAttempts(1, false, false);
        script.updateEndpoints(
                true,
                true,
                createServerInZone("s0", 0, "a"),
                createServerInZone("s1", 1, "a"),
                createServerInZone("s2", 2, "b"),
                createServerInZone("s3", 3, "b"));
        script.submitEach(1, 4, 0)
                .advance(60)
                .reportOutcomeForAllAt("s0", Outcome.ANSWERED)
                .reportOutcomeForAllAt("s1", Outcome.ANSWERED)
                .advance(740)
                .reportOutcomeForAllAt("s2", Outcome.ANSWERED)
                .reportOutcomeForAllAt("s3", Outcome.ANSWERED);
        script.advance(100).submitEach(5, 7, 0).assertTraceMatches("zones");
    }

    @Test
    void aClientRetryPastItsLatencyObjectiveIsRejectedWithRetryAfter() {
        CoordinatorScript script = new CoordinatorScript().startFleet(1, 1, 1, 1);
        script.clientRetry = true;
        script.submit(script.opType, 1, 1100, 0)
                .submit(script.opType, 2, 1000, 0)
                .assertTraceMatches("spent");
    }

    @Test
    void aMultigetWithAnIdempotencyKeyIsRejectedOnlyIfItsClientCanRetryWithinTheDeduplicationWindow() {
        CoordinatorScript script = new CoordinatorScript();
        script.opType.idempotency = OpType.Idempotency.IDEMPOTENCY_KEY;
        script.opType.deduplicationWindowMs = 1000;
        script.startFleet(1, 1, 1, 1)
                .submit(1, 0)
                .submit(2, 0)
                .advance(100)
                .reportOutcome("1.0#0", Outcome.ERROR)
                .advance(750)
                .reportOutcome("2.0#0", Outcome.ERROR)
                .assertTraceMatches("deduped-back");
    }

    @Test
    void theLastOfManyPartsIsHedgedEarly() {
        CoordinatorScript script = new CoordinatorScript().startFleet(10, 10, 2, 1);
        script.submit(1, 0, 1, 2, 3, 4, 5, 6, 7, 8, 9)
                .submit(2, 0, 1, 2, 3, 4, 5, 6, 7, 8, 9)
                .advance(100);
        for (int i = 0; i < 9; i++) {
            script.reportOutcome("1." + i + "#0", Outcome.ANSWERED);
        }
        script.advance(22).assertTraceMatches("straggler");
    }

    @Test
    void aLateMultigetIsContinuedIfLittleOfItIsUnsent() {
        CoordinatorScript script = new CoordinatorScript();
        script.startFleet(5, 5, 1, 1).submit(1, 0, 1, 2, 3, 4).submit(2, 0, 1).advance(10);
        script.updateEndpoints(false, true, createServer("s0", 0, Server.State.DRAINING, -1))
                .reportOutcome("1.0#0", Outcome.CONNECT_FAILED)
                .reportOutcome("2.0#0", Outcome.CONNECT_FAILED)
                .advance(1000)
                .assertTraceMatches("late-rest");
    }

    @Test
    void aPauseOfTheProcessEjectsNoServer() {
        CoordinatorScript script = new CoordinatorScript().startFleet(2, 4, 2, 1);
        script.submit(1, 0, 1)
                .advance(10)
                .pauseProcess(1500)
                .reportOutcome("1.0#0", Outcome.ANSWERED)
                .reportOutcome("1.1#0", Outcome.ANSWERED)
                .advance(100)
                .submit(2, 0, 1)
                .assertTraceMatches("own-gap");
    }

    @Test
    void aSettingsChangeKeepsLearnedStateAndALongerBudgetWindowDelaysRetries() {
        CoordinatorScript script = new CoordinatorScript().startFleet(1, 3, 3, 1);
        script.coordinator.configureAttempts(4, false, true).configureRetryBudget(1000, 1, 0);
        script.updateEndpoints(false, true, createServer("s2", 2, Server.State.LIVE, 990));
        // s0 cannot be reached, so the retry goes to s1. s2 warms up; one attempt is this node's share there in the
        // first second.
        script.submit(1, 0).reportOutcome("1.0#0", Outcome.CONNECT_FAILED).advance(150);
        script.opType.latencyObjectiveMs = 1500;
        script.coordinator
                .configureAttempts(4, false, true)
                .configureRetryBudget(2000, 1, 0)
                .configureSlowStart(0.2, 10_000, 2, 1000);
        script.submitEach(2, 4, 0)
                .advance(900)
                .reportOutcome("2.0#0", Outcome.ERROR)
                .advance(100)
                .reportOutcome("3.0#0", Outcome.ERROR)
                .assertTraceMatches("switch");
    }
}
