package spartrail.lab.model;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Set;
import org.junit.jupiter.api.Test;
import spartrail.lab.model.PolicyModel.Step;

class PolicyModelTest {
    @Test
    void noOrderOfEventsLetsTwoNodesDecideByDifferentVersionsAtTheSameTime() {
        PolicyModel.SearchResult result = PolicyModel.search(3, 1, Set.of());
        assertThat(result.states() + " states" + result.broken()).isEqualTo("81352 states");
    }

    @Test
    void omittingAnyStepBreaksTheProtocol() {
        for (Step step : Step.values()) {
            assertThat(PolicyModel.search(3, 1, Set.of(step)).broken())
                    .as("without " + step.description())
                    .isNotEmpty();
        }
    }
}
