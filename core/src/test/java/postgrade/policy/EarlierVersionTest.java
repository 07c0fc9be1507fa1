package postgrade.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import postgrade.policy.api.Deployment;
import postgrade.policy.api.Idempotency;
import postgrade.policy.api.JobClass;
import postgrade.policy.api.PolicySettings;
import postgrade.policy.api.PolicyStateEntry;
import postgrade.policy.api.Tenant;
import postgrade.policy.api.WorkerInfo;
import postgrade.policy.api.WorkerListUpdateType;
import postgrade.policy.api.WorkerPhase;

/** State exported by version 0.2.0, kept as a file, is imported completely. */
class EarlierVersionTest {

    private static final long SECOND = 1_000_000_000L;
    private static final long NOW = 40 * SECOND;
    private static final double NEVER_AGE_NS = Long.MAX_VALUE / 4.0;

    private static PolicySettings settings() {
        return PolicySettings.builder()
                .dispatcherCount(4)
                .dispatcherIndex(1)
                .deploymentNames(Deployment.NameType.KIND, List.of("k1", "k2"))
                .deploymentNames(Deployment.NameType.ZONE, List.of("z"))
                .classes(
                        List.of(
                                JobClass.of("price", Idempotency.IDEMPOTENT),
                                JobClass.of("confirm", Idempotency.NOT_IDEMPOTENT)))
                .tenants(List.of(new Tenant("t1", 40), new Tenant("t2", 8)))
                .build();
    }

    private static List<PolicyStateEntry> readExportedEntries() throws IOException {
        try (InputStream file =
                EarlierVersionTest.class.getResourceAsStream("figures-of-0.2.0.txt")) {
            List<PolicyStateEntry> entries = new ArrayList<>();
            for (String line :
                    new String(file.readAllBytes(), StandardCharsets.UTF_8).split("\n")) {
                String[] parts = line.split("\\|", -1);
                double[] values =
                        Stream.of(parts[2].split(" "))
                                .filter(value -> !value.isEmpty())
                                .mapToDouble(Double::parseDouble)
                                .toArray();
                entries.add(new PolicyStateEntry(parts[0], parts[1], values));
            }
            return entries;
        }
    }

    /**
     * Returns the values by category and name. Ages of events that never happened are capped, as
     * their exact value is undefined.
     */
    private static Map<String, String> valuesByEntry(List<PolicyStateEntry> entries) {
        Map<String, String> valuesByEntry = new TreeMap<>();
        for (PolicyStateEntry entry : entries) {
            double[] values =
                    Arrays.stream(entry.values())
                            .map(value -> Math.min(value, NEVER_AGE_NS))
                            .toArray();
            valuesByEntry.put(entry.category() + " " + entry.name(), Arrays.toString(values));
        }
        return valuesByEntry;
    }

    @Test
    void stateExportedByAnEarlierVersionIsExportedAgainUnchanged() throws IOException {
        TokenBucketDispatchPolicy policy =
                new TokenBucketDispatchPolicy(settings(), 7, new RecordingActions());
        List<WorkerInfo> workers = new ArrayList<>();
        for (int i = 1; i <= 4; i++) {
            workers.add(
                    new WorkerInfo("w" + i, "z", i < 3 ? "k1" : "k2", 0, WorkerPhase.READY, i, 0));
        }
        policy.workersUpdated(NOW, WorkerListUpdateType.FULL, workers);
        List<PolicyStateEntry> exported = readExportedEntries();
        assertTrue(exported.size() > 15, "the file has entries of every category");
        policy.importState(NOW, exported);
        assertEquals(valuesByEntry(exported), valuesByEntry(policy.exportState(NOW)));
    }
}
