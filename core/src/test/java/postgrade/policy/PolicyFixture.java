package postgrade.policy;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import postgrade.policy.api.AttemptOutcome;
import postgrade.policy.api.DeduplicationScope;
import postgrade.policy.api.Idempotency;
import postgrade.policy.api.Job;
import postgrade.policy.api.JobClass;
import postgrade.policy.api.LoadReport;
import postgrade.policy.api.PolicySettings;
import postgrade.policy.api.Tenant;
import postgrade.policy.api.WorkerInfo;
import postgrade.policy.api.WorkerListUpdateType;
import postgrade.policy.api.WorkerPhase;

/**
 * Base class of the policy tests: policies whose actions are recorded, job classes of every
 * idempotency, and workers whose names encode their kind, zone and cell.
 */
abstract class PolicyFixture {

    static final long MS = 1_000_000L;
    static final long SECOND = 1_000 * MS;
    static final LoadReport IDLE_REPORT = new LoadReport(8, 0, 0, 0);
    static final LoadReport FULL_REPORT = new LoadReport(0, 0, 0, 0);

    final RecordingActions actions = new RecordingActions();
    int jobNumber;

    static PolicySettings.Builder settings() {
        return PolicySettings.builder()
                .classes(
                        List.of(
                                JobClass.of("safe", Idempotency.IDEMPOTENT),
                                new JobClass(
                                        "keyed",
                                        Idempotency.DEDUPLICATED,
                                        DeduplicationScope.ALL,
                                        30 * SECOND,
                                        SECOND,
                                        2,
                                        1,
                                        0,
                                        null,
                                        false),
                                new JobClass(
                                        "zoned",
                                        Idempotency.DEDUPLICATED,
                                        DeduplicationScope.ZONE,
                                        30 * SECOND,
                                        SECOND,
                                        2,
                                        1,
                                        0,
                                        null,
                                        false),
                                new JobClass(
                                        "celled",
                                        Idempotency.DEDUPLICATED,
                                        DeduplicationScope.CELL,
                                        30 * SECOND,
                                        SECOND,
                                        2,
                                        1,
                                        0,
                                        null,
                                        false),
                                JobClass.of("unsafe", Idempotency.NOT_IDEMPOTENT),
                                new JobClass(
                                        "big-only",
                                        Idempotency.IDEMPOTENT,
                                        DeduplicationScope.ALL,
                                        0,
                                        SECOND,
                                        0,
                                        1,
                                        0,
                                        "big",
                                        false),
                                new JobClass(
                                        "stream",
                                        Idempotency.IDEMPOTENT,
                                        DeduplicationScope.ALL,
                                        0,
                                        SECOND,
                                        0,
                                        1,
                                        0,
                                        null,
                                        true)))
                .maxRetryAfterNs(2 * SECOND)
                .maxAttempts(4);
    }

    static WorkerInfo worker(String id, WorkerPhase phase, long startedNs) {
        return new WorkerInfo(
                id,
                "z" + id.charAt(1),
                id.startsWith("b") ? "big" : "std",
                id.charAt(1),
                phase,
                1,
                startedNs);
    }

    TokenBucketDispatchPolicy newPolicy(PolicySettings settings, String... workers) {
        TokenBucketDispatchPolicy policy = new TokenBucketDispatchPolicy(settings, 7, actions);
        List<WorkerInfo> list = new ArrayList<>();
        for (String id : workers) {
            list.add(worker(id, WorkerPhase.READY, 0));
        }
        policy.workersUpdated(0, WorkerListUpdateType.FULL, list);
        return policy;
    }

    String submit(
            TokenBucketDispatchPolicy policy,
            long nowNs,
            String jobClass,
            String tenant,
            String key) {
        String id = "j" + jobNumber++;
        policy.jobArrived(nowNs, new Job(id, jobClass, tenant, key, 20 * SECOND, 1, 0));
        return id;
    }

    String submit(TokenBucketDispatchPolicy policy, long nowNs, String jobClass) {
        return submit(policy, nowNs, jobClass, null, null);
    }

    /** Serves this many jobs one after another, each with this report. */
    void serveJobs(TokenBucketDispatchPolicy policy, int workers, LoadReport load) {
        for (int i = 0; i < workers; i++) {
            String id = submit(policy, i, "safe");
            policy.attemptFinished(i, id, 0, AttemptOutcome.SERVED, true, load);
        }
    }

    TokenBucketDispatchPolicy policyWithOneTenant(double ratePerS, int dispatcherCount) {
        TokenBucketDispatchPolicy policy =
                newPolicy(
                        settings()
                                .tenants(List.of(new Tenant("t", ratePerS)))
                                .dispatcherCount(dispatcherCount)
                                .build(),
                        "s1");
        String id = submit(policy, 0, "safe");
        policy.attemptFinished(0, id, 0, AttemptOutcome.SERVED, true, FULL_REPORT);
        return policy;
    }

    long submitAndCountAdmitted(TokenBucketDispatchPolicy policy, int jobs) {
        long rejectedBefore = actions.count("reject");
        for (int i = 0; i < jobs; i++) {
            submit(policy, 0, "unsafe", "t", null);
        }
        return jobs - (actions.count("reject") - rejectedBefore);
    }

    /**
     * Returns dispatchers that know s1 (8 slots, jobs of 300 ms) and have just learned that s2 has
     * started.
     */
    List<TokenBucketDispatchPolicy> dispatchersWithWorkerInSlowStart(int count, long startedNs) {
        return IntStream.range(0, count)
                .mapToObj(
                        i -> {
                            TokenBucketDispatchPolicy policy =
                                    new TokenBucketDispatchPolicy(
                                            settings()
                                                    .dispatcherCount(count)
                                                    .dispatcherIndex(i)
                                                    .slowStart(0.12, 24 * SECOND)
                                                    .overload(3, 1500 * MS)
                                                    .build(),
                                            i,
                                            actions);
                            policy.workersUpdated(
                                    0,
                                    WorkerListUpdateType.FULL,
                                    List.of(worker("s1", WorkerPhase.READY, 0)));
                            for (int jobIndex = 0; jobIndex < 30; jobIndex++) {
                                policy.attemptFinished(
                                        300 * MS,
                                        submit(policy, 0, "safe"),
                                        0,
                                        AttemptOutcome.SERVED,
                                        true,
                                        IDLE_REPORT);
                            }
                            policy.workersUpdated(
                                    startedNs,
                                    WorkerListUpdateType.FULL,
                                    List.of(worker("s2", WorkerPhase.READY, startedNs)));
                            return policy;
                        })
                .toList();
    }

    long submitAndCountSentToS2(
            List<TokenBucketDispatchPolicy> dispatchers, int jobsEach, long nowNs) {
        int recordedBefore = actions.recorded.size();
        for (TokenBucketDispatchPolicy policy : dispatchers) {
            for (int i = 0; i < jobsEach; i++) {
                submit(policy, nowNs, "safe");
            }
        }
        return actions.recorded.stream()
                .skip(recordedBefore)
                .filter(action -> action.startsWith("send") && action.endsWith(" s2"))
                .count();
    }
}
