package postgrade.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import org.junit.jupiter.api.Test;
import postgrade.policy.api.AttemptOutcome;
import postgrade.policy.api.Idempotency;
import postgrade.policy.api.JobClass;
import postgrade.policy.api.LoadReport;
import postgrade.policy.api.PolicySettings;
import postgrade.policy.api.Tenant;

/** Changes of settings while jobs are in flight. */
class SettingsChangeTest extends PolicyFixture {

    @Test
    void newSettingsApplyAtOnceAndRefillNoBucket() {
        PolicySettings.Builder builder = settings().tenants(List.of(new Tenant("t", 4)));
        TokenBucketDispatchPolicy policy = newPolicy(builder.build(), "s1");
        policy.attemptFinished(
                0, submit(policy, 0, "safe"), 0, AttemptOutcome.SERVED, true, FULL_REPORT);
        for (int i = 0; i < 8; i++) {
            submit(policy, 0, "unsafe", "t", null);
        }
        long rejected = actions.count("reject");
        policy.settingsChanged(
                0, builder.classes(List.of(JobClass.of("fresh", Idempotency.IDEMPOTENT))).build());
        submit(policy, 0, "fresh", "t", null);
        assertEquals(rejected + 1, actions.count("reject"), "no new burst");
        assertThrows(IllegalArgumentException.class, () -> submit(policy, 0, "safe"));
        policy.settingsChanged(0, builder.tenants(List.of()).build());
        submit(policy, MS, "fresh", "t", null);
        assertFalse(actions.last("send").isEmpty());
    }

    @Test
    void changedAttemptLimitAppliesToJobsInFlight_andTheyKeepTheirFormerClass() {
        TokenBucketDispatchPolicy policy = newPolicy(settings().build(), "s1", "s2", "s3");
        String id = submit(policy, 0, "safe");
        String otherId = submit(policy, 0, "safe");
        policy.settingsChanged(
                0,
                settings()
                        .classes(List.of(JobClass.of("safe", Idempotency.NOT_IDEMPOTENT)))
                        .maxAttempts(1)
                        .build());
        policy.attemptFinished(MS, id, 0, AttemptOutcome.ERROR, false, LoadReport.NONE);
        assertEquals(
                "reject " + id,
                actions.last("reject").substring(0, 7 + id.length()),
                "no second attempt");
        policy.settingsChanged(
                0,
                settings()
                        .classes(List.of(JobClass.of("safe", Idempotency.NOT_IDEMPOTENT)))
                        .maxAttempts(6)
                        .build());
        for (int i = 0; i < 5; i++) {
            policy.attemptFinished(2 * MS, otherId, i, AttemptOutcome.FULL, false, LoadReport.NONE);
            policy.timerFired(2 * SECOND + 60 * MS * i, "sweep");
        }
        String notRepeatable = submit(policy, 3 * SECOND, "safe");
        policy.attemptFinished(
                3 * SECOND, notRepeatable, 0, AttemptOutcome.ERROR, false, LoadReport.NONE);
        assertEquals("fail " + notRepeatable, actions.last("fail"));
    }
}
