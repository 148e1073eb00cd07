package spartrail.lab.simulation;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import org.junit.jupiter.api.Test;

class PolicyScenarioTest {
    @Test
    void noSeedBreaksARuleAndASecondRunGivesTheSameHash() {
        PolicyScenario.Result first = PolicyScenario.explore(1, 300, 20, done -> {});
        assertThat(first.found()).isEmpty();
        assertThat(first.versions()).isGreaterThan(1000);
        assertThat(PolicyScenario.explore(1, 300, 20, done -> {}).hash()).isEqualTo(first.hash());
    }

    @Test
    void eachMutationIsDetected() throws Exception {
        assertThat(Mutations.run(Path.of("."), Mutations.POLICY, 1, 120, 20))
                .allMatch(Mutations.Outcome::isCaught)
                .hasSize(Mutations.POLICY.size());
    }
}
