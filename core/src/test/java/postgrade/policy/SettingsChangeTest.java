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

/** Settings that change while jobs are in flight. */
class SettingsChangeTest extends PolicyFixture {

    @Test
    void newSettingsApplyAtOnceAndRefillNoBucket() {
        PolicySettings.Builder b = settings().tenants(List.of(new Tenant("t", 4)));
        TokenBucketDispatchPolicy d = newPolicy(b.build(), "s1");
        d.attemptFinished(0, submit(d, 0, "safe"), 0, AttemptOutcome.SERVED, true, FULL_REPORT);
        for (int i = 0; i < 8; i++) {
            submit(d, 0, "unsafe", "t", null);
        }
        long refused = actions.count("refuse");
        d.settingsChanged(
                0, b.classes(List.of(JobClass.of("fresh", Idempotency.IDEMPOTENT))).build());
        submit(d, 0, "fresh", "t", null);
        assertEquals(refused + 1, actions.count("refuse"), "no fresh burst");
        assertThrows(IllegalArgumentException.class, () -> submit(d, 0, "safe"));
        d.settingsChanged(0, b.tenants(List.of()).build());
        submit(d, MS, "fresh", "t", null);
        assertFalse(actions.last("send").isEmpty());
    }

    @Test
    void changedAttemptLimitAppliesToJobsInFlight_andTheyKeepTheirFormerClass() {
        TokenBucketDispatchPolicy d = newPolicy(settings().build(), "s1", "s2", "s3");
        String id = submit(d, 0, "safe");
        String kept = submit(d, 0, "safe");
        d.settingsChanged(
                0,
                settings()
                        .classes(List.of(JobClass.of("safe", Idempotency.NOT_IDEMPOTENT)))
                        .maxAttempts(1)
                        .build());
        d.attemptFinished(MS, id, 0, AttemptOutcome.ERROR, false, LoadReport.NONE);
        assertEquals(
                "refuse " + id,
                actions.last("refuse").substring(0, 7 + id.length()),
                "no second attempt");
        d.settingsChanged(
                0,
                settings()
                        .classes(List.of(JobClass.of("safe", Idempotency.NOT_IDEMPOTENT)))
                        .maxAttempts(6)
                        .build());
        for (int i = 0; i < 5; i++) {
            d.attemptFinished(2 * MS, kept, i, AttemptOutcome.FULL, false, LoadReport.NONE);
            d.timerFired(2 * SECOND + 60 * MS * i, "sweep");
        }
        String once = submit(d, 3 * SECOND, "safe");
        d.attemptFinished(3 * SECOND, once, 0, AttemptOutcome.ERROR, false, LoadReport.NONE);
        assertEquals("fail " + once, actions.last("fail"));
    }
}
