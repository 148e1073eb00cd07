package spartrail.policy;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;

class PolicySettingsTest {
    static final PolicySettings OWN = PolicySettings.parse(
            "{'opTypes':{'orders':{'budgetMs':2000,'timeoutMs':4000,'need':1,'floor':0.9,'dedupMs':0,"
                            .replace('\'', '"')
                    + ("'repeat':'RETRIABLE','importance':1,'lateShare':0.3,'partialShare':0.9}},'sends':{'most':4,'parallel':true},"
                                    + "'furtherSends':{'spanMs':10000,'free':10,'share':0.1},"
                                    + "'cold':{'leastShare':0.2,'warmMs':10000,'tipMultiple':2,'fallMs':1000},"
                                    + "'comeback':{'told':true,'longestMs':1000},'inHand':{'most':200}}")
                            .replace('\'', '"'));

    private static PolicySettings with(String version) {
        return OWN.overriddenBy(PolicySettings.parse(version.replace('\'', '"')));
    }

    @Test
    void stricterOfTakesTheStricterOfEachField() {
        PolicySettings other = with(
                "{'opTypes':{'orders':{'budgetMs':1500,'timeoutMs':5000,'need':0.9,'floor':0.95,'dedupMs':5,'repeat':'DEDUPED',"
                        + "'importance':7}},'sends':{'most':6,'parallel':false},'furtherSends':{'free':20,'share':0.05},"
                        + "'cold':{'leastShare':0.4,"
                        + "'warmMs':20000,'tipMultiple':1.5,'fallMs':2000},"
                        + "'comeback':{'told':false,'longestMs':500},'inHand':{'most':100}}");
        assertThat(String.join("\n", OWN.differencesTo(OWN.stricterOf(other))))
                .isEqualTo(
                        """
                /cold/tipMultiple: 2.0 -> 1.5
                /cold/warmMs: 10000.0 -> 20000.0
                /comeback/longestMs: 1000.0 -> 500.0
                /comeback/told: true -> false
                /furtherSends/share: 0.1 -> 0.05
                /inHand/most: 200.0 -> 100.0
                /opTypes/orders/budgetMs: 2000.0 -> 1500.0
                /opTypes/orders/floor: 0.9 -> 0.95
                /opTypes/orders/repeat: RETRIABLE -> DEDUPED
                /sends/parallel: true -> false""");
    }

    /** A budget over another span cannot be compared by its parts. */
    @Test
    void ofTwoBudgetsOverDifferentSpansOnlyWhatIsFreeIsWithinBoth() {
        assertThat(OWN.differencesTo(OWN.stricterOf(with("{'furtherSends':{'spanMs':20000,'free':5,'share':0.2}}"))))
                .containsExactly(
                        "/furtherSends/free: 10.0 -> 5.0",
                        "/furtherSends/share: 0.1 -> 0.0",
                        "/furtherSends/spanMs: 10000.0 -> 20000.0");
        assertThat(OWN.stricterOf(with("{'furtherSends':{'spanMs':0,'free':0,'share':0}}")))
                .isEqualTo(OWN);
    }

    /** Whatever two versions say: the stricter of them is within both, in either order, and once more changes nothing. */
    @Test
    void theStricterOfAnyTwoIsWithinBoth() {
        Random chance = new Random(7);
        for (int i = 0; i < 2000; i++) {
            PolicySettings one = drawn(chance);
            PolicySettings other = drawn(chance);
            PolicySettings joint = one.stricterOf(other);
            assertThat(joint.isWithin(one)).as("%s%n%s", one, other).isTrue();
            assertThat(joint.isWithin(other)).as("%s%n%s", one, other).isTrue();
            assertThat(joint.stricterOf(other)).isEqualTo(joint);
            assertThat(other.stricterOf(one).isWithin(joint)).isTrue();
        }
    }

    private static PolicySettings drawn(Random chance) {
        Map<String, Object> values = new HashMap<>();
        for (String field : List.of(
                "/opTypes/orders/budgetMs",
                "/opTypes/orders/dedupMs",
                "/furtherSends/free",
                "/cold/tipMultiple",
                "/cold/fallMs",
                "/cold/warmMs",
                "/comeback/longestMs")) {
            values.put(field, chance.nextInt(4) * 500);
        }
        for (String field :
                List.of("/opTypes/orders/need", "/opTypes/orders/floor", "/furtherSends/share", "/cold/leastShare")) {
            values.put(field, chance.nextInt(5) / 4.0);
        }
        values.put("/furtherSends/spanMs", chance.nextInt(3) * 5000);
        values.put("/sends/most", 1 + chance.nextInt(3));
        values.put("/sends/parallel", chance.nextBoolean());
        values.put("/comeback/told", chance.nextBoolean());
        values.put(
                "/opTypes/orders/repeat",
                List.of("RETRIABLE", "DEDUPED", "NON_RETRIABLE").get(chance.nextInt(3)));
        return OWN.overriddenBy(PolicySettings.of(values));
    }

    @Test
    void whatIsWrongIsOneLineWithTheField() {
        assertThatThrownBy(() -> PolicySettings.parse("{\"layout\":{\"shards\":4}}"))
                .hasMessageStartingWith(
                        "/layout/shards: cannot change while nodes run, or is not known to this program; one of [");
        assertThatThrownBy(() -> PolicySettings.parse("{\"sends\":{\"most\":0}}"))
                .hasMessage("/sends/most: found 0, a number of 1 or more is expected");
        assertThatThrownBy(() -> PolicySettings.parse("{\"cold\":{\"leastShare\":2}}"))
                .hasMessage("/cold/leastShare: found 2, a share of 0 to 1 is expected");
        assertThatThrownBy(() -> PolicySettings.parse("{\"sends\":{\"parallel\":1}}"))
                .hasMessage("/sends/parallel: found 1, true or false is expected");
        assertThatThrownBy(() -> PolicySettings.parse("{\"opTypes\":{\"orders\":{\"repeat\":\"never\"}}}"))
                .hasMessage(
                        "/opTypes/orders/repeat: found never, one of [RETRIABLE, DEDUPED, NON_RETRIABLE] is expected");
        assertThatThrownBy(() -> PolicySettings.parse("{\"sends\":3")).hasMessageStartingWith("no JSON: ");
        assertThatThrownBy(() -> with("{'opTypes':{'sales':{'budgetMs':3}}}"))
                .hasMessage("/opTypes/sales/budgetMs: this node has no such op type");
        assertThatThrownBy(() -> with("{'opTypes':{'orders':{'budgetMs':9000}}}"))
                .hasMessage("/opTypes/orders/budgetMs: found 9000.0, no more than timeoutMs, 4000.0, is expected");
        assertThat(PolicySettings.parse(OWN.toJson())).isEqualTo(OWN);
    }
}
