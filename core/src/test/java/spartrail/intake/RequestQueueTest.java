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
    void theConnectionWhoseLastTurnIsTheLongestAgoGoesFirst() {
        queue.add("sends without a pause", 100);
        queue.add("new", 99);
        queue.add("new, too", 99);
        queue.add("sends after a pause", 50);
        assertThat(pollAll()).containsExactly("sends after a pause", "new", "new, too", "sends without a pause");
        assertThat(queue.isEmpty()).isTrue();
    }

    /** Guards against clients without any answer beside others that always have a request to be handled. */
    @Test
    void eachConnectionWaitsForAtMostOneTurnOfEachOther() {
        for (int i = 0; i < 20; i++) {
            queue.add("c" + i, i);
        }
        List<String> turns = new ArrayList<>();
        for (int turn = 0; turn < 60; turn++) {
            turns.add(queue.poll());
            queue.add(turns.get(turn), 20 + turn);
        }
        assertThat(turns.subList(0, 20)).doesNotHaveDuplicates();
        assertThat(turns.subList(20, 40)).isEqualTo(turns.subList(0, 20));
        assertThat(turns.subList(40, 60)).isEqualTo(turns.subList(0, 20));
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

    @Test
    void aTurnEndsWithItsBytesOrTheBudgetAndIsNotGivenWhileOthersWait() {
        ClientWorkBudget budget = new ClientWorkBudget();
        ClientTurn turn = new ClientTurn(0);
        assertThat(budget.mayRead(turn, true, 1000)).as("others wait").isFalse();
        assertThat(budget.mayRead(turn, false, 1000)).as("first read").isTrue();
        turn.countRead(ClientWorkBudget.MAX_BYTES_PER_TURN - 1);
        assertThat(budget.mayRead(turn, true, 1000.5)).as("its turn goes on").isTrue();
        assertThat(budget.mayRead(turn, true, 1001)).as("the time is over").isFalse();
        turn.countRead(1);
        assertThat(budget.mayRead(turn, true, 1000.5)).as("its bytes are read").isFalse();
        budget.refill();
        assertThat(budget.mayRead(turn, false, 1002)).as("after a poll").isTrue();
        assertThat(turn.lastMs()).isEqualTo(1002);
    }
}
