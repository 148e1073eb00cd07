package spartrail.intake;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class RequestQueueTest {
    private final RequestQueue<String> queue = new RequestQueue<>();

    private List<String> pollAll() {
        List<String> turns = new ArrayList<>();
        for (String next = queue.poll(); next != null; next = queue.poll()) {
            turns.add(next);
        }
        return turns;
    }

    @Test
    void connectionsThatWaitForTheirResponsesGoBeforePipeliningOnes() {
        queue.add("pipelining", true);
        queue.add("a", false);
        queue.add("b", false);
        assertThat(pollAll()).containsExactly("a", "b", "pipelining");
        assertThat(queue.isEmpty()).isTrue();
    }

    /** Guards against pipelining clients without any answer beside many others. */
    @Test
    void pipeliningConnectionsGetAShareOfTheTurns() {
        queue.add("pipelining", true);
        for (int i = 0; i < 20; i++) {
            queue.add("c" + i, false);
        }
        assertThat(pollAll().indexOf("pipelining")).isEqualTo(8);
    }

    @Test
    void theBudgetOfAPollIsATimeAndAtLeastOneRequest() {
        ClientWorkBudget budget = new ClientWorkBudget();
        assertThat(budget.mayBegin(1000)).isTrue();
        assertThat(budget.mayBegin(1000.9)).isTrue();
        assertThat(budget.mayBegin(1001)).isFalse();
        budget.refill();
        assertThat(budget.mayBegin(2000)).isTrue();
        assertThat(budget.mayBegin(2500)).isFalse();
    }
}
