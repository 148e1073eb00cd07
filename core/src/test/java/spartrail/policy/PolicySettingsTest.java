package spartrail.policy;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;

class PolicySettingsTest {
    static final PolicySettings LOCAL_SETTINGS = PolicySettings.parse(
            "{'opTypes':{'orders':{'budgetMs':2000,'timeoutMs':4000,'need':1,'floor':0.9,'dedupMs':0,"
                            .replace('\'', '"')
                    + ("'repeat':'RETRIABLE','importance':1,'lateShare':0.3,'partialShare':0.9}},'sends':{'most':4,'parallel':true},"
                                    + "'furtherSends':{'spanMs':10000,'free':10,'share':0.1},"
                                    + "'cold':{'leastShare':0.2,'warmMs':10000,'tipMultiple':2,'fallMs':1000},"
                                    + "'comeback':{'told':true,'longestMs':1000},'inHand':{'most':200}}")
                            .replace('\'', '"'));

    private static PolicySettings localSettingsWith(String version) {
        return LOCAL_SETTINGS.overriddenBy(PolicySettings.parse(version.replace('\'', '"')));
    }

    @Test
    void stricterOfTakesTheStricterOfEachField() {
        PolicySettings other = localSettingsWith(
                "{'opTypes':{'orders':{'budgetMs':1500,'timeoutMs':5000,'need':0.9,'floor':0.95,'dedupMs':5,'repeat':'DEDUPED',"
                        + "'importance':7}},'sends':{'most':6,'parallel':false},'furtherSends':{'free':20,'share':0.05},"
                        + "'cold':{'leastShare':0.4,"
                        + "'warmMs':20000,'tipMultiple':1.5,'fallMs':2000},"
                        + "'comeback':{'told':false,'longestMs':500},'inHand':{'most':100}}");
        assertThat(String.join("\n", LOCAL_SETTINGS.differencesTo(LOCAL_SETTINGS.stricterOf(other))))
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

    /** Retry budgets over different spans cannot be compared field by field. */
    @Test
    void stricterOfRetryBudgetsOverDifferentSpansKeepsOnlyTheFreeRetries() {
        assertThat(LOCAL_SETTINGS.differencesTo(LOCAL_SETTINGS.stricterOf(
                        localSettingsWith("{'furtherSends':{'spanMs':20000,'free':5,'share':0.2}}"))))
                .containsExactly(
                        "/furtherSends/free: 10.0 -> 5.0",
                        "/furtherSends/share: 0.1 -> 0.0",
                        "/furtherSends/spanMs: 10000.0 -> 20000.0");
        assertThat(LOCAL_SETTINGS.stricterOf(localSettingsWith("{'furtherSends':{'spanMs':0,'free':0,'share':0}}")))
                .isEqualTo(LOCAL_SETTINGS);
    }

    /** For random pairs of settings; also checks that the order of the pair and a second merge change nothing. */
    @Test
    void stricterOfAnyTwoSettingsIsWithinBoth() {
        Random random = new Random(7);
        for (int i = 0; i < 2000; i++) {
            PolicySettings first = randomSettings(random);
            PolicySettings second = randomSettings(random);
            PolicySettings joint = first.stricterOf(second);
            assertThat(joint.isWithin(first)).as("%s%n%s", first, second).isTrue();
            assertThat(joint.isWithin(second)).as("%s%n%s", first, second).isTrue();
            assertThat(joint.stricterOf(second)).isEqualTo(joint);
            assertThat(second.stricterOf(first).isWithin(joint)).isTrue();
        }
    }

    private static PolicySettings randomSettings(Random random) {
        Map<String, Object> values = new HashMap<>();
        for (String field : List.of(
                "/opTypes/orders/budgetMs",
                "/opTypes/orders/dedupMs",
                "/furtherSends/free",
                "/cold/tipMultiple",
                "/cold/fallMs",
                "/cold/warmMs",
                "/comeback/longestMs")) {
            values.put(field, random.nextInt(4) * 500);
        }
        for (String field :
                List.of("/opTypes/orders/need", "/opTypes/orders/floor", "/furtherSends/share", "/cold/leastShare")) {
            values.put(field, random.nextInt(5) / 4.0);
        }
        values.put("/furtherSends/spanMs", random.nextInt(3) * 5000);
        values.put("/sends/most", 1 + random.nextInt(3));
        values.put("/sends/parallel", random.nextBoolean());
        values.put("/comeback/told", random.nextBoolean());
        values.put(
                "/opTypes/orders/repeat",
                List.of("RETRIABLE", "DEDUPED", "NON_RETRIABLE").get(random.nextInt(3)));
        return LOCAL_SETTINGS.overriddenBy(PolicySettings.of(values));
    }

    @Test
    void invalidSettingsAreReportedInOneLineThatNamesTheField() {
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
        assertThatThrownBy(() -> localSettingsWith("{'opTypes':{'sales':{'budgetMs':3}}}"))
                .hasMessage("/opTypes/sales/budgetMs: this node has no such op type");
        assertThatThrownBy(() -> localSettingsWith("{'opTypes':{'orders':{'budgetMs':9000}}}"))
                .hasMessage("/opTypes/orders/budgetMs: found 9000.0, no more than timeoutMs, 4000.0, is expected");
        assertThat(PolicySettings.parse(LOCAL_SETTINGS.toJson())).isEqualTo(LOCAL_SETTINGS);
    }
}
