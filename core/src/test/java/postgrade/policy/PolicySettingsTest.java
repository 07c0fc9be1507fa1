package postgrade.policy;

import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import postgrade.policy.api.Job;
import postgrade.policy.api.PolicySettings;
import postgrade.policy.api.Tenant;

/** Invalid settings are rejected with a message that names them. */
class PolicySettingsTest extends PolicyFixture {

    @Test
    void invalidSettingsAreNamed() {
        assertNamed("ratePerS", () -> new Tenant("t", 0));
        assertNamed("maxBuckets", () -> PolicySettings.builder().maxBuckets(-1));
        assertNamed("dispatcherCount must", () -> PolicySettings.builder().dispatcherCount(0));
        assertNamed("classes", () -> PolicySettings.builder().build());
        assertNamed(
                "dispatcherIndex must",
                () -> settings().dispatcherCount(3).dispatcherIndex(3).build());
        assertNamed("dispatcherIndex must", () -> settings().dispatcherIndex(-1).build());
        assertNamed("probeFee", () -> PolicySettings.builder().probes(true, -1));
        assertNamed("coldShare", () -> PolicySettings.builder().slowStart(0, 1));
        assertNamed("maxAttempts", () -> PolicySettings.builder().maxAttempts(0));
        assertNamed(
                "no-such-class",
                () ->
                        newPolicy(settings().build(), "s1")
                                .jobArrived(
                                        0,
                                        new Job("x", "no-such-class", null, null, SECOND, 1, 0)));
    }

    private static void assertNamed(String setting, Runnable call) {
        String message = assertThrows(IllegalArgumentException.class, call::run).getMessage();
        assertTrue(message.contains(setting), message);
    }
}
