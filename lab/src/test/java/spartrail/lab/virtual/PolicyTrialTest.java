package spartrail.lab.virtual;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import org.junit.jupiter.api.Test;

class PolicyTrialTest {
    @Test
    void seedsBreakNothingAndOneSeedIsOneRun() {
        PolicyTrial.Result first = PolicyTrial.explore(1, 300, 20, done -> {});
        assertThat(first.found()).isEmpty();
        assertThat(first.versions()).isGreaterThan(1000);
        assertThat(PolicyTrial.explore(1, 300, 20, done -> {}).hash()).isEqualTo(first.hash());
    }

    @Test
    void eachPlantedFaultIsFound() throws Exception {
        assertThat(Plants.play(Path.of("."), Plants.POLICY, 1, 120, 20))
                .allMatch(Plants.Caught::caught)
                .hasSize(Plants.POLICY.size());
    }
}
