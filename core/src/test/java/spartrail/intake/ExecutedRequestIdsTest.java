package spartrail.intake;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Random;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import spartrail.model.Attempt;
import spartrail.model.OpType;

class ExecutedRequestIdsTest {
    private final ExecutedRequestIds ids = new ExecutedRequestIds();
    private final Random random = new Random(53);

    @Test
    void anIdIsKnownForAGenerationAndForgottenAfterTwo() {
        ids.add(0, 0);
        ids.add(-7, ExecutedRequestIds.GENERATION_MS / 2);
        assertThat(ids.contains(0, ExecutedRequestIds.GENERATION_MS)).isTrue();
        assertThat(ids.contains(-7, 1.4 * ExecutedRequestIds.GENERATION_MS)).isTrue();
        assertThat(ids.contains(-7, 2.5 * ExecutedRequestIds.GENERATION_MS)).isFalse();
        assertThat(ids.contains(8, 0)).isFalse();
    }

    @Test
    void onlyWhatMayHaveRunAndMustNotRunTwiceIsKnown() {
        ids.addOutcome(1, OpType.Idempotency.NON_IDEMPOTENT, Attempt.Outcome.CANCELLED, 0);
        ids.addOutcome(2, OpType.Idempotency.IDEMPOTENCY_KEY, Attempt.Outcome.ANSWERED, 0);
        ids.addOutcome(3, OpType.Idempotency.NON_IDEMPOTENT, Attempt.Outcome.NOT_SENT, 0);
        ids.addOutcome(4, OpType.Idempotency.IDEMPOTENT, Attempt.Outcome.ANSWERED, 0);
        assertThat(LongStream.rangeClosed(1, 4).filter(id -> ids.contains(id, 1)))
                .containsExactly(1L, 2L);
    }

    /** Guards against memory that grows with each new id. */
    @Test
    void aFloodOfNewIdsIsBoundedAndTheNewestStayKnown() {
        long[] added = random.longs(500_000).toArray();
        for (long id : added) {
            ids.add(id, 1);
        }
        assertThat(ids.size()).isLessThanOrEqualTo(2 * ExecutedRequestIds.MAX_GENERATION_SIZE);
        for (int i = added.length - ExecutedRequestIds.MAX_GENERATION_SIZE; i < added.length; i++) {
            assertThat(ids.contains(added[i], 2)).isTrue();
        }
    }
}
