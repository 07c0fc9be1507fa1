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
 * A policy whose actions are recorded, with classes of every kind and workers that are named for
 * their kind, zone and cell.
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

    static WorkerInfo worker(String id, WorkerPhase phase, long bornNs) {
        return new WorkerInfo(
                id,
                "z" + id.charAt(1),
                id.startsWith("b") ? "big" : "std",
                id.charAt(1),
                phase,
                1,
                bornNs);
    }

    TokenBucketDispatchPolicy newPolicy(PolicySettings settings, String... workers) {
        TokenBucketDispatchPolicy d = new TokenBucketDispatchPolicy(settings, 7, actions);
        List<WorkerInfo> list = new ArrayList<>();
        for (String id : workers) {
            list.add(worker(id, WorkerPhase.READY, 0));
        }
        d.workersUpdated(0, WorkerListUpdateType.FULL, list);
        return d;
    }

    String submit(
            TokenBucketDispatchPolicy d, long nowNs, String jobClass, String tenant, String key) {
        String id = "j" + jobNumber++;
        d.jobArrived(nowNs, new Job(id, jobClass, tenant, key, 20 * SECOND, 1, 0));
        return id;
    }

    String submit(TokenBucketDispatchPolicy d, long nowNs, String jobClass) {
        return submit(d, nowNs, jobClass, null, null);
    }

    /** Serves one job on each worker, with this report. */
    void serveJobs(TokenBucketDispatchPolicy d, int workers, LoadReport load) {
        for (int i = 0; i < workers; i++) {
            String id = submit(d, i, "safe");
            d.attemptFinished(i, id, 0, AttemptOutcome.SERVED, true, load);
        }
    }

    TokenBucketDispatchPolicy policyWithOneTenant(double ratePerS, int gateways) {
        TokenBucketDispatchPolicy d =
                newPolicy(
                        settings()
                                .tenants(List.of(new Tenant("t", ratePerS)))
                                .dispatcherCount(gateways)
                                .build(),
                        "s1");
        String id = submit(d, 0, "safe");
        d.attemptFinished(0, id, 0, AttemptOutcome.SERVED, true, FULL_REPORT);
        return d;
    }

    long submitAndCountAdmitted(TokenBucketDispatchPolicy d, int jobs) {
        long refused = actions.count("refuse");
        for (int i = 0; i < jobs; i++) {
            submit(d, 0, "unsafe", "t", null);
        }
        return jobs - (actions.count("refuse") - refused);
    }

    /** Gateways that know s1 (8 slots, jobs of 300 ms) and hear that s2 has just started cold. */
    List<TokenBucketDispatchPolicy> dispatchersWithWorkerInSlowStart(int count, long coldNs) {
        return IntStream.range(0, count)
                .mapToObj(
                        i -> {
                            TokenBucketDispatchPolicy d =
                                    new TokenBucketDispatchPolicy(
                                            settings()
                                                    .dispatcherCount(count)
                                                    .dispatcherIndex(i)
                                                    .slowStart(0.12, 24 * SECOND)
                                                    .overload(3, 1500 * MS)
                                                    .build(),
                                            i,
                                            actions);
                            d.workersUpdated(
                                    0,
                                    WorkerListUpdateType.FULL,
                                    List.of(worker("s1", WorkerPhase.READY, 0)));
                            for (int k = 0; k < 30; k++) {
                                d.attemptFinished(
                                        300 * MS,
                                        submit(d, 0, "safe"),
                                        0,
                                        AttemptOutcome.SERVED,
                                        true,
                                        IDLE_REPORT);
                            }
                            d.workersUpdated(
                                    coldNs,
                                    WorkerListUpdateType.FULL,
                                    List.of(worker("s2", WorkerPhase.READY, coldNs)));
                            return d;
                        })
                .toList();
    }

    long submitAndCountSentToS2(
            List<TokenBucketDispatchPolicy> gateways, int jobsEach, long nowNs) {
        int before = actions.recorded.size();
        for (TokenBucketDispatchPolicy d : gateways) {
            for (int i = 0; i < jobsEach; i++) {
                submit(d, nowNs, "safe");
            }
        }
        return actions.recorded.stream()
                .skip(before)
                .filter(l -> l.startsWith("send") && l.endsWith(" s2"))
                .count();
    }
}
