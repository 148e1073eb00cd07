package spartrail.lab.subset;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import spartrail.subset.SubsetSettings;

/** Runs hollow fleets through losses of servers and late lists. All runs come from seeds; none uses a clock. */
class SubsetRunTest {
    private static final int CHANGES = 6;
    private static final FleetShape SHAPE = new FleetShape(60, 600, 20, 4, new SubsetSettings(4, 3), "");

    @Test
    void noCheckFailsThroughLossesAndLateListsAndASecondRunGivesTheSameOutcome() {
        for (long seed = 1; seed <= 12; seed++) {
            SubsetRun.Outcome outcome = SubsetRun.play(SHAPE, seed, CHANGES, SubsetMutation.NONE);
            assertThat(outcome.examples()).as("seed %d", seed).isEmpty();
            assertThat(outcome.checks()).isGreaterThan(10_000);
            assertThat(SubsetRun.play(SHAPE, seed, CHANGES, SubsetMutation.NONE))
                    .isEqualTo(outcome);
        }
    }

    @Test
    void everyMutationIsDetected() {
        for (SubsetMutation mutation : SubsetMutation.values()) {
            int caught = (int) IntStream.rangeClosed(1, 3)
                    .filter(seed ->
                            SubsetRun.play(SHAPE, seed, CHANGES, mutation).violations() > 0)
                    .count();
            if (mutation == SubsetMutation.NONE) {
                assertThat(caught).as(mutation.summary()).isZero();
            } else {
                assertThat(caught).as(mutation.summary()).isPositive();
            }
        }
    }

    @Test
    void aChangeMovesOnlyTheChangedServerAndTheServersThatItDisplaces() {
        FleetShape shape = new FleetShape(200, 2000, 50, 8, new SubsetSettings(8, 2), "");
        List<SubsetFigures.Row> rows = SubsetFigures.measure(List.of(shape));
        SubsetFigures.Row rendezvous = rows.get(SubsetStrategy.RENDEZVOUS.ordinal());
        assertThat(rendezvous.connections()).isEqualTo(400);
        assertThat(rendezvous.emptyShards()).isZero();
        assertThat(rendezvous.leastZones()).isGreaterThanOrEqualTo(2);
        assertThat(rendezvous.movedByJoin()).isZero();
        assertThat(rendezvous.movedByLeave()).isLessThanOrEqualTo(rendezvous.most());
        assertThat(rendezvous.mostOverMean())
                .isLessThan(rows.get(SubsetStrategy.RANDOM.ordinal()).mostOverMean() + 0.5);
        assertThat(rows.get(SubsetStrategy.ROUNDS.ordinal()).movedByJoin()).isGreaterThan(200);
    }
}
