package spartrail.peers;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.BiPredicate;
import org.junit.jupiter.api.Test;

/**
 * Runs a few nodes on a simulated network that delivers all messages at once. Message loss, delays and other network
 * faults are tested on the lab's virtual network.
 */
class SwimMembershipTest {
    private final Map<String, SwimMembership> nodes = new HashMap<>();
    private final Map<String, Integer> sentByAddress = new HashMap<>();
    private double nowMs;
    /** Whether the network delivers a message, by the addresses of sender and recipient. */
    private BiPredicate<String, String> delivers = (from, to) -> true;

    private static String address(int number) {
        return "10.0.0." + number + ":7400";
    }

    private SwimMembership start(int number, String name, long startMs) {
        SwimMembership node = new SwimMembership(
                new PeerDescriptor(name, address(number), "", 1, "1", "", new Incarnation(startMs, number), 0),
                List.of(address(1), address(2)),
                GossipTimings.DEFAULT,
                new SplittableRandom(number),
                nowMs);
        nodes.put(address(number), node);
        return node;
    }

    private void run(double durationMs) {
        for (double endMs = nowMs + durationMs; nowMs < endMs; nowMs += 10) {
            for (String address : List.copyOf(nodes.keySet()).stream().sorted().toList()) {
                nodes.get(address).advance(nowMs);
                deliver(address);
            }
        }
    }

    private void deliver(String address) {
        for (OutgoingMessage outgoing : nodes.get(address).drainMessages()) {
            sentByAddress.merge(address, 1, Integer::sum);
            SwimMembership recipient = nodes.get(outgoing.address());
            if (recipient != null && delivers.test(address, outgoing.address())) {
                recipient.onMessage(outgoing.message(), nowMs);
                deliver(outgoing.address());
            }
        }
    }

    private String describeView(int viewer) {
        MembershipView view = nodes.get(address(viewer)).buildView(nowMs);
        StringBuilder text =
                new StringBuilder(view.presentCount() + " of " + view.minCount() + " to " + view.maxCount() + ":");
        view.peers().forEach(entry -> text.append(' ')
                .append(entry.descriptor().name())
                .append('=')
                .append(entry.state()));
        return text + (view.healthProblem().isEmpty() ? "" : " (" + view.healthProblem() + ")");
    }

    private void startFourNodes() {
        for (int i = 1; i <= 4; i++) {
            start(i, "n" + i, 1000 + i);
        }
        run(3000);
        assertThat(describeView(4)).isEqualTo("4 of 4 to 4: n1=ALIVE n2=ALIVE n3=ALIVE n4=ALIVE");
    }

    @Test
    void killedNodeIsSuspectedThenGoneUntilItsNextIncarnationJoins() {
        startFourNodes();
        nodes.remove(address(3));
        run(2000);
        assertThat(describeView(1)).isEqualTo("4 of 3 to 4: n1=ALIVE n2=ALIVE n3=SUSPECT n4=ALIVE");
        run(4500);
        assertThat(describeView(1)).isEqualTo("3 of 3 to 4: n1=ALIVE n2=ALIVE n3=GONE n4=ALIVE");
        start(3, "n3", 2000);
        run(2000);
        assertThat(describeView(1)).isEqualTo("4 of 4 to 4: n1=ALIVE n2=ALIVE n3=ALIVE n4=ALIVE");
        nodes.get(address(3)).leave(nowMs);
        deliver(address(3));
        nodes.remove(address(3));
        assertThat(describeView(1)).isEqualTo("3 of 3 to 3: n1=ALIVE n2=ALIVE n3=LEFT n4=ALIVE");
    }

    @Test
    void namesSwappedBetweenTwoMachinesMoveToTheirNewAddresses() {
        startFourNodes();
        nodes.remove(address(3));
        nodes.remove(address(4));
        run(300);
        start(3, "n4", 2000);
        // The clock of this machine is behind, so its incarnation looks older than the former one of that name.
        start(4, "n3", 900);
        run(20_000);
        assertThat(describeView(1)).isEqualTo("4 of 4 to 4: n1=ALIVE n2=ALIVE n3=ALIVE n4=ALIVE");
        assertThat(nodes.get(address(1)).buildView(nowMs).peers().stream()
                        .map(entry -> entry.descriptor().address())
                        .toList())
                .containsExactly(address(1), address(2), address(4), address(3));
    }

    @Test
    void laterOfTwoProcessesWithTheSameNameKeepsTheNameUntilItEnds() {
        startFourNodes();
        start(5, "n3", 5000);
        run(20_000);
        assertThat(describeView(1)).isEqualTo("4 of 4 to 4: n1=ALIVE n2=ALIVE n3=ALIVE n4=ALIVE");
        assertThat(describeView(3)).endsWith("(another process has the name, from " + address(5) + ")");
        // The later process counts the other process of its name, which may be present.
        assertThat(describeView(5)).isEqualTo(describeView(1).replace("to 4", "to 5"));
        nodes.remove(address(5));
        run(25_000);
        assertThat(describeView(3)).isEqualTo("4 of 4 to 4: n1=ALIVE n2=ALIVE n3=ALIVE n4=ALIVE");
        assertThat(nodes.get(address(1))
                        .buildView(nowMs)
                        .peers()
                        .get(2)
                        .descriptor()
                        .address())
                .isEqualTo(address(3));
    }

    @Test
    void messagesDelayedByAnHourFromAHealedPartitionChangeNothing() {
        startFourNodes();
        List<PeerMessage> delayed = new ArrayList<>();
        delivers = (from, to) -> !to.equals(address(4)) && !from.equals(address(4));
        for (double endMs = nowMs + 8000; nowMs < endMs; nowMs += 10) {
            for (int i = 1; i <= 4; i++) {
                SwimMembership node = nodes.get(address(i));
                node.advance(nowMs);
                for (OutgoingMessage outgoing : node.drainMessages()) {
                    if (delivers.test(address(i), outgoing.address())) {
                        nodes.get(outgoing.address()).onMessage(outgoing.message(), nowMs);
                    } else if (i == 4 || outgoing.address().equals(address(4))) {
                        delayed.add(outgoing.message());
                    }
                }
            }
        }
        delivers = (from, to) -> true;
        run(3_600_000);
        String viewsBefore = describeView(1) + describeView(4);
        assertThat(viewsBefore).doesNotContain("GONE").doesNotContain("SUSPECT");
        assertThat(delayed).anyMatch(message -> message.updates().stream()
                .anyMatch(update -> !update.state().equals(PeerState.ALIVE)));
        nodes.get(address(1)).drainEvents();
        delayed.forEach(message -> nodes.get(address(1)).onMessage(message, nowMs));
        delayed.forEach(message -> nodes.get(address(4)).onMessage(message, nowMs));
        assertThat(describeView(1) + describeView(4)).isEqualTo(viewsBefore);
        assertThat(nodes.get(address(1)).drainEvents()).isEmpty();
        assertThat(nodes.get(address(1)).buildView(nowMs).counters()).containsKey("stale messages");
    }

    @Test
    void floodOfForgedNamesIsBoundedAndDoesNotChangeTheView() {
        startFourNodes();
        SwimMembership node = nodes.get(address(1));
        sentByAddress.clear();
        for (int i = 0; i < 20_000; i++) {
            nowMs += 0.5;
            PeerDescriptor forged = new PeerDescriptor(
                    "x" + i, "10.9." + i % 250 + "." + i / 250 + ":7400", "", 1, "", "", new Incarnation(1, i), 0);
            node.onMessage(
                    new PeerMessage(
                            PeerMessage.Kind.PING,
                            forged,
                            PeerState.ALIVE,
                            1,
                            "n1",
                            i,
                            0,
                            null,
                            List.of(new PeerUpdate(
                                    new PeerDescriptor("n2", address(2), "", 1, "", "", new Incarnation(9_000, 1), 0),
                                    PeerState.GONE,
                                    0,
                                    "x"))),
                    nowMs);
            for (int number = 1; number <= 4; number++) {
                nodes.get(address(number)).advance(nowMs);
                deliver(address(number));
            }
        }
        assertThat(describeView(1))
                .startsWith("4 of 4 to ")
                .contains("n1=ALIVE n2=ALIVE n3=ALIVE n4=ALIVE")
                .doesNotContain("x");
        assertThat(node.buildView(nowMs).maxCount()).isLessThanOrEqualTo(4 + 64);
        assertThat(sentByAddress.get(address(1)) / 10.0)
                .isLessThan(SwimMembership.maxMessagesPerSecond(GossipTimings.DEFAULT));
    }
}
