package postgrade.simadapter;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import com.eclipsesource.json.Json;
import java.util.LinkedHashMap;
import java.util.Map;
import org.junit.Test;
import postgrade.policy.api.Idempotency;
import postgrade.policy.api.PolicySettings;
import postgrade.settings.SettingsReader;

public class SettingsReaderTest {

    private static final String PAIRS =
            "balancers=5 index=1 zone=hall-b skus=big,small classes.count=2"
                    + " classes.0.name=price classes.0.idempotency=read_like classes.0.onTimeNs=200000000"
                    + " classes.1.name=confirm classes.1.idempotency=non_idempotent classes.1.onTimeNs=300000000"
                    + " specifics.classKind=-1,1 specifics.classStretch=2.5,1.75 tenants.count=1 tenants.0.name=kvart"
                    + " tenants.0.quotaPerS=33.0 limits.mayProbe=true fees.probe=0.0034 limits.retryAfter=false"
                    + " limits.maxRetryAfterNs=2000000000 telemetry.source=silent";

    private static PolicySettings parsePairs(String text) {
        Map<String, String> pairs = new LinkedHashMap<>();
        for (String pair : text.split(" ")) {
            pairs.put(pair.substring(0, pair.indexOf('=')), pair.substring(pair.indexOf('=') + 1));
        }
        return SettingsReader.ofPairs(pairs).settings();
    }

    @Test
    public void pairsAndNestedJsonGiveEqualSettings() {
        PolicySettings nested =
                SettingsReader.ofPairs(
                                JsonPairs.of(
                                        Json.parse(
                                                        ("{'balancers':5,'index':1,'zone':'hall-b',"
                                                                        + "'skus':['big','small'],'classes':[{'name':'price','idempotency':'read_like','onTimeNs':200000000},"
                                                                        + "{'name':'confirm','idempotency':'non_idempotent','onTimeNs':300000000}],"
                                                                        + "'specifics':{'classKind':[-1,1],'classStretch':[2.5,1.75]},"
                                                                        + "'tenants':[{'name':'kvart','quotaPerS':33.0}],'fees':{'probe':0.0034},"
                                                                        + "'telemetry':{'source':'silent','fields':[]},'limits':{'mayProbe':true,'retryAfter':false,'maxRetryAfterNs':2000000000}}")
                                                                .replace('\'', '"'))
                                                .asObject()))
                        .settings();
        PolicySettings pairs = parsePairs(PAIRS);
        assertEquals(pairs.classes, nested.classes);
        assertEquals(Idempotency.NOT_IDEMPOTENT, nested.classes.get(1).idempotency());
        assertEquals("small", nested.classes.get(1).requiredWorkerKind());
        assertEquals(pairs.tenants, nested.tenants);
        assertEquals(5, nested.dispatcherCount);
        assertEquals(1, nested.dispatcherIndex);
        assertEquals("hall-b", nested.zone);
        assertEquals(pairs.maxRetryAfterNs, nested.maxRetryAfterNs);
    }

    @Test
    public void retryAfterIsReadEvenWhereClientsDoNotUseIt() {
        assertEquals(2_000_000_000L, parsePairs(PAIRS).maxRetryAfterNs);
    }

    @Test
    public void probesAreAllowedOnlyWhereAnswersCarryLoadReports() {
        assertFalse(parsePairs(PAIRS).allowsProbes);
        assertTrue(parsePairs(PAIRS.replace("silent", "pull")).allowsProbes);
    }
}
