package spartrail.peers;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.BiPredicate;
import org.junit.jupiter.api.Test;

/** A few nodes on a perfect wire that takes no time; what a fault must not do is shown by the lab's virtual network. */
class SwimMembershipTest {
    private final Map<String, SwimMembership> nodes = new HashMap<>();
    private final Map<String, Integer> sentByAddress = new HashMap<>();
    private double nowMs;
    /** Whether a message passes, by the addresses of both sides. */
    private BiPredicate<String, String> passes = (from, to) -> true;

    private static String address(int number) {
        return "10.0.0." + number + ":7400";
    }

    private SwimMembership start(int number, String name, long startMs) {
        SwimMembership made = new SwimMembership(
                new PeerDescriptor(name, address(number), "", 1, "1", "", new Incarnation(startMs, number), 0),
                List.of(address(1), address(2)),
                GossipTimings.DEFAULT,
                new SplittableRandom(number),
                nowMs);
        nodes.put(address(number), made);
        return made;
    }

    private void run(double lastsMs) {
        for (double endMs = nowMs + lastsMs; nowMs < endMs; nowMs += 10) {
            for (String address : List.copyOf(nodes.keySet()).stream().sorted().toList()) {
                nodes.get(address).advance(nowMs);
                deliver(address);
            }
        }
    }

    private void deliver(String address) {
        for (OutgoingMessage outgoing : nodes.get(address).drainMessages()) {
            sentByAddress.merge(address, 1, Integer::sum);
            SwimMembership to = nodes.get(outgoing.address());
            if (to != null && passes.test(address, outgoing.address())) {
                to.onMessage(outgoing.message(), nowMs);
                deliver(outgoing.address());
            }
        }
    }

    private String describeView(int viewer) {
        MembershipView view = nodes.get(address(viewer)).buildView(nowMs);
        StringBuilder text =
                new StringBuilder(view.presentCount() + " of " + view.minCount() + " to " + view.maxCount() + ":");
        view.peers().forEach(each -> text.append(' ')
                .append(each.descriptor().name())
                .append('=')
                .append(each.state()));
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
    void killedNodeIsSuspectThenGoneAndItsNextIncarnationOutranksThat() {
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
        // This machine's clock is behind: its life looks older than the former one of that name.
        start(4, "n3", 900);
        run(20_000);
        assertThat(describeView(1)).isEqualTo("4 of 4 to 4: n1=ALIVE n2=ALIVE n3=ALIVE n4=ALIVE");
        assertThat(nodes.get(address(1)).buildView(nowMs).peers().stream()
                        .map(each -> each.descriptor().address())
                        .toList())
                .containsExactly(address(1), address(2), address(4), address(3));
    }

    @Test
    void laterOfTwoProcessesWithOneNameKeepsItUntilItEnds() {
        startFourNodes();
        start(5, "n3", 5000);
        run(20_000);
        assertThat(describeView(1)).isEqualTo("4 of 4 to 4: n1=ALIVE n2=ALIVE n3=ALIVE n4=ALIVE");
        assertThat(describeView(3)).endsWith("(another process has the name, from " + address(5) + ")");
        // It knows of the other process of its name, which may be there.
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
    void hourOldMessagesFromAHealedPartitionChangeNothing() {
        startFourNodes();
        List<PeerMessage> delayed = new ArrayList<>();
        passes = (from, to) -> !to.equals(address(4)) && !from.equals(address(4));
        for (double endMs = nowMs + 8000; nowMs < endMs; nowMs += 10) {
            for (int i = 1; i <= 4; i++) {
                SwimMembership node = nodes.get(address(i));
                node.advance(nowMs);
                for (OutgoingMessage outgoing : node.drainMessages()) {
                    if (passes.test(address(i), outgoing.address())) {
                        nodes.get(outgoing.address()).onMessage(outgoing.message(), nowMs);
                    } else if (i == 4 || outgoing.address().equals(address(4))) {
                        delayed.add(outgoing.message());
                    }
                }
            }
        }
        passes = (from, to) -> true;
        run(3_600_000);
        String before = describeView(1) + describeView(4);
        assertThat(before).doesNotContain("GONE").doesNotContain("SUSPECT");
        assertThat(delayed).anyMatch(message -> message.updates().stream()
                .anyMatch(word -> !word.state().equals(PeerState.ALIVE)));
        nodes.get(address(1)).drainEvents();
        delayed.forEach(message -> nodes.get(address(1)).onMessage(message, nowMs));
        delayed.forEach(message -> nodes.get(address(4)).onMessage(message, nowMs));
        assertThat(describeView(1) + describeView(4)).isEqualTo(before);
        assertThat(nodes.get(address(1)).drainEvents()).isEmpty();
        assertThat(nodes.get(address(1)).buildView(nowMs).counters()).containsKey("stale messages");
    }

    @Test
    void inventedNamesAreBoundedAndStayOutOfTheView() {
        startFourNodes();
        SwimMembership node = nodes.get(address(1));
        sentByAddress.clear();
        for (int i = 0; i < 20_000; i++) {
            nowMs += 0.5;
            PeerDescriptor invented = new PeerDescriptor(
                    "x" + i, "10.9." + i % 250 + "." + i / 250 + ":7400", "", 1, "", "", new Incarnation(1, i), 0);
            node.onMessage(
                    new PeerMessage(
                            PeerMessage.Kind.PING,
                            invented,
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
            for (int each = 1; each <= 4; each++) {
                nodes.get(address(each)).advance(nowMs);
                deliver(address(each));
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
