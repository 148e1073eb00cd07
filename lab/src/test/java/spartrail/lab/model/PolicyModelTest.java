package spartrail.lab.model;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Set;
import org.junit.jupiter.api.Test;
import spartrail.lab.model.PolicyModel.Left;

class PolicyModelTest {
    @Test
    void noOrderOfEventsLetsTwoNodesDecideByDifferentVersionsAtOneInstant() {
        PolicyModel.Found found = PolicyModel.search(3, 1, Set.of());
        assertThat(found.states() + " states" + found.broken()).isEqualTo("81352 states");
    }

    @Test
    void eachStepIsNeeded() {
        for (Left left : Left.values()) {
            assertThat(PolicyModel.search(3, 1, Set.of(left)).broken())
                    .as("without " + left.what)
                    .isNotEmpty();
        }
    }
}
