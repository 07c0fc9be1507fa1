package postgrade.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.lang.reflect.Field;
import java.lang.reflect.Modifier;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import postgrade.policy.api.AttemptOutcome;
import postgrade.policy.api.DeduplicationScope;
import postgrade.policy.api.Deployment;
import postgrade.policy.api.Idempotency;
import postgrade.policy.api.Job;
import postgrade.policy.api.JobClass;
import postgrade.policy.api.LoadReport;
import postgrade.policy.api.PolicySettings;
import postgrade.policy.api.PolicyStateEntry;
import postgrade.policy.api.Tenant;
import postgrade.policy.api.WorkerInfo;
import postgrade.policy.api.WorkerListUpdateType;
import postgrade.policy.api.WorkerPhase;

/**
 * Settings of another deployment, loaded at runtime or by a succeeding process: no learned state of
 * the first deployment remains.
 */
class DeploymentChangeTest {

    private static final long MS = 1_000_000L;
    private static final long SECOND = 1_000 * MS;

    /** A time after all jobs and failures of the first deployment. */
    private static final long AFTER_FIRST_DEPLOYMENT_NS = 30 * SECOND;

    private static final List<WorkerInfo> WORKERS =
            Stream.of("w1", "w2", "w3")
                    .map(id -> new WorkerInfo(id, "z", "k", 0, WorkerPhase.READY, 1, 0))
                    .toList();

    /**
     * Names of fields that are not learned state: jobs in flight and their workers stay whichever
     * settings are in force, and random choices are excluded.
     */
    private static final Set<String> NOT_LEARNED =
            Set.of(
                    "random",
                    "actions",
                    "constraints",
                    "jobs",
                    "averageUsedSlots",
                    "averagedNs",
                    "slowStartUsage",
                    "id",
                    "hash",
                    "info");

    private final RecordingActions actions = new RecordingActions();
    private int jobCount;

    /** Both deployments have a class, a tenant, a worker kind and a zone of the same name. */
    private static PolicySettings.Builder firstDeployment() {
        return PolicySettings.builder()
                .deploymentNames(Deployment.NameType.TIER, List.of("shops"))
                .deploymentNames(Deployment.NameType.KIND, List.of("k", "k1"))
                .deploymentNames(Deployment.NameType.ZONE, List.of("z"))
                .classes(
                        List.of(
                                JobClass.of("both", Idempotency.IDEMPOTENT),
                                JobClass.of("first", Idempotency.IDEMPOTENT)))
                .tenants(List.of(new Tenant("t", 4), new Tenant("t1", 4)))
                .workersReportStart(true)
                .maxAttempts(4)
                .maxRetryAfterNs(2 * SECOND)
                .slowStart(0.2, 10 * SECOND)
                .overload(3, SECOND);
    }

    private static PolicySettings.Builder secondDeployment() {
        return PolicySettings.builder()
                .deploymentNames(Deployment.NameType.TIER, List.of("yards"))
                .deploymentNames(Deployment.NameType.KIND, List.of("k", "k2"))
                .deploymentNames(Deployment.NameType.ZONE, List.of("z"))
                .classes(
                        List.of(
                                JobClass.of("second", Idempotency.IDEMPOTENT),
                                new JobClass(
                                        "both",
                                        Idempotency.NOT_IDEMPOTENT,
                                        DeduplicationScope.ALL,
                                        0,
                                        SECOND / 2,
                                        0,
                                        9,
                                        0,
                                        null,
                                        false)))
                .tenants(List.of(new Tenant("t2", 8), new Tenant("t", 40)))
                .workersReportStart(true)
                .maxAttempts(2)
                .maxRetryAfterNs(SECOND)
                .slowStart(0.1, 20 * SECOND)
                .overload(2, 2 * SECOND);
    }

    private String submit(
            TokenBucketDispatchPolicy policy, long nowNs, String jobClass, String tenant) {
        String id = "j" + jobCount++;
        policy.jobArrived(nowNs, new Job(id, jobClass, tenant, "user", 5 * SECOND, 1, 0));
        return id;
    }

    private TokenBucketDispatchPolicy newPolicy(PolicySettings settings, long nowNs) {
        TokenBucketDispatchPolicy policy = new TokenBucketDispatchPolicy(settings, 7, actions);
        policy.workersUpdated(nowNs, WorkerListUpdateType.FULL, WORKERS);
        return policy;
    }

    /**
     * Returns a policy that has seen long queueing delays and service times, failures, an ejection,
     * load reports and empty buckets under the first deployment.
     */
    private TokenBucketDispatchPolicy policyWithLearnedState(PolicySettings settings) {
        TokenBucketDispatchPolicy policy = newPolicy(settings, 0);
        for (int i = 0; i < 60; i++) {
            long now = i * 100 * MS;
            String id = submit(policy, now, i % 5 < 3 ? "both" : "first", i % 3 == 0 ? "t1" : "t");
            if (actions.sentTo(id).isEmpty()) {
                continue;
            }
            policy.attemptStarted(now + 700 * MS, id, 0);
            boolean fails = actions.sentTo(id).equals("w1");
            policy.attemptFinished(
                    now + 800 * MS,
                    id,
                    0,
                    fails ? AttemptOutcome.ERROR : AttemptOutcome.SERVED,
                    true,
                    new LoadReport(i % 7, 0, 0, 0));
        }
        return policy;
    }

    @Test
    void stateLearnedUnderTheFirstIsResetUnderTheSecond() throws Exception {
        TokenBucketDispatchPolicy policy = policyWithLearnedState(firstDeployment().build());
        assertNotEquals(
                learnedState(newPolicy(firstDeployment().build(), 0)),
                learnedState(policy),
                "it has learned something");
        policy.settingsChanged(AFTER_FIRST_DEPLOYMENT_NS, secondDeployment().build());
        policy.workersUpdated(AFTER_FIRST_DEPLOYMENT_NS, WorkerListUpdateType.FULL, WORKERS);
        assertEquals(
                learnedState(newPolicy(secondDeployment().build(), AFTER_FIRST_DEPLOYMENT_NS)),
                learnedState(policy));
    }

    @Test
    void sameDeploymentKeepsStateExceptForRemovedNames() throws Exception {
        TokenBucketDispatchPolicy policy = policyWithLearnedState(firstDeployment().build());
        Object before = learnedState(policy);
        policy.settingsChanged(AFTER_FIRST_DEPLOYMENT_NS, firstDeployment().build());
        assertEquals(before, learnedState(policy));
        policy.settingsChanged(
                AFTER_FIRST_DEPLOYMENT_NS,
                firstDeployment()
                        .classes(List.of(JobClass.of("first", Idempotency.IDEMPOTENT)))
                        .tenants(List.of(new Tenant("t1", 4)))
                        .build());
        PolicyState state = state(policy);
        assertEquals(1, state.classes().all().size());
        assertTrue(
                state.classes().get("first").served() > 0,
                "the statistics of the remaining class are kept");
        assertEquals(Set.of("t1"), exportedTenants(state));
        assertFalse(exportedKeys(state).isEmpty());
    }

    /**
     * The longest service time bounds how many dispatchers may send to a worker in slow start, so a
     * removed class must not determine it.
     */
    @Test
    void removedClassesDoNotCountAsTheLongest() throws Exception {
        TokenBucketDispatchPolicy policy = policyWithLearnedState(firstDeployment().build());
        policy.settingsChanged(
                AFTER_FIRST_DEPLOYMENT_NS,
                firstDeployment()
                        .classes(List.of(JobClass.of("fresh", Idempotency.IDEMPOTENT)))
                        .build());
        assertEquals(
                JobClassStats.DEFAULT_SERVICE_TIME_NS,
                state(policy).classes().longestServiceTimeNs());
    }

    @Test
    void newProcessOfTheSecondIgnoresStateOfTheFirst() throws Exception {
        TokenBucketDispatchPolicy oldProcess =
                policyWithLearnedState(firstDeployment().slowStart(1, 0).build());
        List<PolicyStateEntry> exported = oldProcess.exportState(AFTER_FIRST_DEPLOYMENT_NS);
        TokenBucketDispatchPolicy newProcess =
                newPolicy(secondDeployment().build(), AFTER_FIRST_DEPLOYMENT_NS);
        newProcess.importState(AFTER_FIRST_DEPLOYMENT_NS, exported);
        assertEquals(
                learnedState(newPolicy(secondDeployment().build(), AFTER_FIRST_DEPLOYMENT_NS)),
                learnedState(newProcess));
        TokenBucketDispatchPolicy sameDeployment =
                newPolicy(firstDeployment().build(), AFTER_FIRST_DEPLOYMENT_NS);
        sameDeployment.importState(AFTER_FIRST_DEPLOYMENT_NS, exported);
        assertNotEquals(
                learnedState(newPolicy(firstDeployment().build(), AFTER_FIRST_DEPLOYMENT_NS)),
                learnedState(sameDeployment),
                "a process of the first deployment imports it");
        TokenBucketDispatchPolicy fewerTenants =
                newPolicy(
                        firstDeployment().tenants(List.of(new Tenant("t1", 4))).build(),
                        AFTER_FIRST_DEPLOYMENT_NS);
        fewerTenants.importState(AFTER_FIRST_DEPLOYMENT_NS, exported);
        assertEquals(Set.of("t1"), exportedTenants(state(fewerTenants)));
    }

    /**
     * The limits, idempotency and names of the second deployment apply to jobs that arrive after
     * the change.
     */
    @Test
    void newSettingsApplyAtOnceAndJobsInFlightKeepTheirClass() {
        TokenBucketDispatchPolicy policy = newPolicy(firstDeployment().build(), 0);
        String inFlight = submit(policy, 0, "both", null);
        policy.settingsChanged(MS, secondDeployment().build());
        String notRepeatable = submit(policy, MS, "both", null);
        policy.attemptFinished(MS, notRepeatable, 0, AttemptOutcome.ERROR, false, LoadReport.NONE);
        assertEquals(
                "fail " + notRepeatable,
                actions.last("fail"),
                "it may have run, and must not run twice");
        long sent = actions.count("send " + inFlight);
        policy.attemptFinished(MS, inFlight, 0, AttemptOutcome.ERROR, false, LoadReport.NONE);
        assertTrue(
                actions.count("send " + inFlight) > sent
                        || actions.last("reject").contains(inFlight),
                "treated as repeatable");
        assertThrows(IllegalArgumentException.class, () -> submit(policy, MS, "first", null));
        int admitted = 0;
        for (int i = 0; i < 100; i++) {
            long before = actions.count("send");
            String id = submit(policy, MS, "second", "t2");
            admitted += actions.count("send") - before;
            policy.attemptFinished(MS, id, 0, AttemptOutcome.SERVED, true, LoadReport.NONE);
        }
        assertTrue(admitted >= 16, admitted + " of a burst of two seconds of 8");
    }

    /**
     * Work sent under laxer slow start rules has not been recorded, so nothing is sent until one
     * window has passed.
     */
    @Test
    void stricterSlowStartRulesSendNothingForOneWindow() {
        for (boolean stricter : new boolean[] {false, true}) {
            TokenBucketDispatchPolicy policy =
                    new TokenBucketDispatchPolicy(firstDeployment().build(), 7, actions);
            policy.workersUpdated(
                    0,
                    WorkerListUpdateType.FULL,
                    List.of(
                            new WorkerInfo(
                                    "w1",
                                    "z",
                                    "k",
                                    0,
                                    WorkerPhase.READY,
                                    1,
                                    AFTER_FIRST_DEPLOYMENT_NS - 5 * SECOND)));
            policy.settingsChanged(
                    AFTER_FIRST_DEPLOYMENT_NS,
                    stricter
                            ? firstDeployment().overload(3, 2 * SECOND).build()
                            : firstDeployment().build());
            long before = actions.count("send");
            submit(policy, AFTER_FIRST_DEPLOYMENT_NS + MS, "both", null);
            assertEquals(stricter ? before : before + 1, actions.count("send"));
            submit(policy, AFTER_FIRST_DEPLOYMENT_NS + 2 * SECOND, "both", null);
            assertTrue(actions.count("send") > before);
        }
    }

    @ParameterizedTest
    @EnumSource(Deployment.NameType.class)
    void oneTypeOfNamesWithNoneInCommonMakesAnotherDeployment(Deployment.NameType type) {
        Deployment deployment = Deployment.UNNAMED;
        for (Deployment.NameType otherType : Deployment.NameType.values()) {
            deployment = deployment.with(otherType, List.of("x", "y"));
        }
        assertTrue(
                deployment.isSameAs(deployment.with(type, List.of("y", "z"))),
                "names may be added and removed");
        assertTrue(
                deployment.isSameAs(deployment.with(type, List.of())),
                "types without names do not distinguish");
        assertFalse(deployment.isSameAs(deployment.with(type, List.of("z"))));
        assertFalse(deployment.with(type, List.of("z")).isSameAs(deployment));
    }

    // ---- Compares all fields of the state: a new one must be reset or listed as not learned.

    private static Object learnedState(TokenBucketDispatchPolicy policy) throws Exception {
        return toComparable(state(policy));
    }

    private static PolicyState state(TokenBucketDispatchPolicy policy) throws Exception {
        return (PolicyState) field(policy, "state");
    }

    private static Set<String> exportedTenants(PolicyState state) {
        Set<String> names = new TreeSet<>();
        state.rateLimiter()
                .exportTenants(AFTER_FIRST_DEPLOYMENT_NS, (name, values) -> names.add(name));
        return names;
    }

    private static Set<String> exportedKeys(PolicyState state) {
        Set<String> names = new TreeSet<>();
        state.rateLimiter()
                .exportKeys(AFTER_FIRST_DEPLOYMENT_NS, (name, values) -> names.add(name));
        return names;
    }

    private static Object field(Object owner, String name) throws Exception {
        Field field = owner.getClass().getDeclaredField(name);
        field.setAccessible(true);
        return field.get(owner);
    }

    private static Object toComparable(Object object) throws Exception {
        if (object instanceof Map<?, ?> map) {
            Map<String, Object> values = new TreeMap<>();
            for (Map.Entry<?, ?> entry : map.entrySet()) {
                values.put(entry.getKey().toString(), toComparable(entry.getValue()));
            }
            return values;
        }
        if (object instanceof Collection<?> list) {
            return list.size();
        }
        if (object == null
                || object instanceof Enum<?>
                || object instanceof PolicySettings
                || !object.getClass().getName().startsWith("postgrade.policy.")) {
            return object instanceof PolicySettings ? "" : String.valueOf(object);
        }
        Map<String, Object> values = new TreeMap<>();
        for (Field field : object.getClass().getDeclaredFields()) {
            if (!Modifier.isStatic(field.getModifiers())
                    && !NOT_LEARNED.contains(field.getName())) {
                field.setAccessible(true);
                values.put(field.getName(), toComparable(field.get(object)));
            }
        }
        return values;
    }
}
