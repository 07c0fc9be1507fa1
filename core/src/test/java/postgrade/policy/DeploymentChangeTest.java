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
 * Settings of another customer, read under way or by the process that takes over: nothing of the
 * first is left.
 */
class DeploymentChangeTest {

    private static final long MS = 1_000_000L;
    private static final long SECOND = 1_000 * MS;

    /** The first customer's jobs and troubles fall into this time. */
    private static final long AFTER_FIRST_DEPLOYMENT_NS = 30 * SECOND;

    private static final List<WorkerInfo> WORKERS =
            Stream.of("w1", "w2", "w3")
                    .map(id -> new WorkerInfo(id, "z", "k", 0, WorkerPhase.READY, 1, 0))
                    .toList();

    /**
     * What a worker or a job has of ours is a fact, whoever's settings are in force, and chance is
     * chance.
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

    /** Both call a class, a tenant, a machine kind and a zone the same. */
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

    private String submit(TokenBucketDispatchPolicy d, long nowNs, String jobClass, String tenant) {
        String id = "j" + jobCount++;
        d.jobArrived(nowNs, new Job(id, jobClass, tenant, "user", 5 * SECOND, 1, 0));
        return id;
    }

    private TokenBucketDispatchPolicy newPolicy(PolicySettings settings, long nowNs) {
        TokenBucketDispatchPolicy d = new TokenBucketDispatchPolicy(settings, 7, actions);
        d.workersUpdated(nowNs, WorkerListUpdateType.FULL, WORKERS);
        return d;
    }

    /**
     * Under the first customer: long waits and runs, failures, an ejection, reports, buckets that
     * are empty.
     */
    private TokenBucketDispatchPolicy policyWithLearnedState(PolicySettings settings) {
        TokenBucketDispatchPolicy d = newPolicy(settings, 0);
        for (int i = 0; i < 60; i++) {
            long now = i * 100 * MS;
            String id = submit(d, now, i % 5 < 3 ? "both" : "first", i % 3 == 0 ? "t1" : "t");
            if (actions.sentTo(id).isEmpty()) {
                continue;
            }
            d.attemptStarted(now + 700 * MS, id, 0);
            boolean fails = actions.sentTo(id).equals("w1");
            d.attemptFinished(
                    now + 800 * MS,
                    id,
                    0,
                    fails ? AttemptOutcome.ERROR : AttemptOutcome.SERVED,
                    true,
                    new LoadReport(i % 7, 0, 0, 0));
        }
        return d;
    }

    @Test
    void stateLearnedUnderTheFirstIsResetUnderTheSecond() throws Exception {
        TokenBucketDispatchPolicy d = policyWithLearnedState(firstDeployment().build());
        assertNotEquals(learnedState(newPolicy(firstDeployment().build(), 0)), learnedState(d), "it had learnt something");
        d.settingsChanged(AFTER_FIRST_DEPLOYMENT_NS, secondDeployment().build());
        d.workersUpdated(AFTER_FIRST_DEPLOYMENT_NS, WorkerListUpdateType.FULL, WORKERS);
        assertEquals(learnedState(newPolicy(secondDeployment().build(), AFTER_FIRST_DEPLOYMENT_NS)), learnedState(d));
    }

    @Test
    void sameDeploymentKeepsStateExceptForRemovedNames() throws Exception {
        TokenBucketDispatchPolicy d = policyWithLearnedState(firstDeployment().build());
        Object before = learnedState(d);
        d.settingsChanged(AFTER_FIRST_DEPLOYMENT_NS, firstDeployment().build());
        assertEquals(before, learnedState(d));
        d.settingsChanged(
                AFTER_FIRST_DEPLOYMENT_NS,
                firstDeployment().classes(List.of(JobClass.of("first", Idempotency.IDEMPOTENT)))
                        .tenants(List.of(new Tenant("t1", 4)))
                        .build());
        PolicyState state = state(d);
        assertEquals(1, state.classes().all().size());
        assertTrue(state.classes().get("first").served() > 0, "what it knew of that one it knows");
        assertEquals(Set.of("t1"), exportedTenants(state));
        assertFalse(exportedKeys(state).isEmpty());
    }

    /** What a class's dearest job costs bounds how many gateways may send to a cold worker. */
    @Test
    void removedClassesDoNotCountAsTheLongest() throws Exception {
        TokenBucketDispatchPolicy d = policyWithLearnedState(firstDeployment().build());
        d.settingsChanged(
                AFTER_FIRST_DEPLOYMENT_NS,
                firstDeployment().classes(List.of(JobClass.of("fresh", Idempotency.IDEMPOTENT))).build());
        assertEquals(
                JobClassStats.DEFAULT_SERVICE_TIME_NS, state(d).classes().longestServiceTimeNs());
    }

    @Test
    void newProcessOfTheSecondIgnoresStateOfTheFirst() throws Exception {
        TokenBucketDispatchPolicy old = policyWithLearnedState(firstDeployment().slowStart(1, 0).build());
        List<PolicyStateEntry> told = old.exportState(AFTER_FIRST_DEPLOYMENT_NS);
        TokenBucketDispatchPolicy fresh = newPolicy(secondDeployment().build(), AFTER_FIRST_DEPLOYMENT_NS);
        fresh.importState(AFTER_FIRST_DEPLOYMENT_NS, told);
        assertEquals(learnedState(newPolicy(secondDeployment().build(), AFTER_FIRST_DEPLOYMENT_NS)), learnedState(fresh));
        TokenBucketDispatchPolicy same = newPolicy(firstDeployment().build(), AFTER_FIRST_DEPLOYMENT_NS);
        same.importState(AFTER_FIRST_DEPLOYMENT_NS, told);
        assertNotEquals(
                learnedState(newPolicy(firstDeployment().build(), AFTER_FIRST_DEPLOYMENT_NS)), learnedState(same), "one of the first does");
        TokenBucketDispatchPolicy fewer =
                newPolicy(firstDeployment().tenants(List.of(new Tenant("t1", 4))).build(), AFTER_FIRST_DEPLOYMENT_NS);
        fewer.importState(AFTER_FIRST_DEPLOYMENT_NS, told);
        assertEquals(Set.of("t1"), exportedTenants(state(fewer)));
    }

    /** The limits, the effect and the names of the second, for jobs that come after it. */
    @Test
    void newSettingsApplyAtOnceAndJobsInFlightKeepTheirClass() {
        TokenBucketDispatchPolicy d = newPolicy(firstDeployment().build(), 0);
        String underWay = submit(d, 0, "both", null);
        d.settingsChanged(MS, secondDeployment().build());
        String once = submit(d, MS, "both", null);
        d.attemptFinished(MS, once, 0, AttemptOutcome.ERROR, false, LoadReport.NONE);
        assertEquals("fail " + once, actions.last("fail"), "it may have run, and must not run twice");
        long sent = actions.count("send " + underWay);
        d.attemptFinished(MS, underWay, 0, AttemptOutcome.ERROR, false, LoadReport.NONE);
        assertTrue(
                actions.count("send " + underWay) > sent || actions.last("refuse").contains(underWay),
                "taken as one that may be repeated");
        assertThrows(IllegalArgumentException.class, () -> submit(d, MS, "first", null));
        int admitted = 0;
        for (int i = 0; i < 100; i++) {
            long before = actions.count("send");
            String id = submit(d, MS, "second", "t2");
            admitted += actions.count("send") - before;
            d.attemptFinished(MS, id, 0, AttemptOutcome.SERVED, true, LoadReport.NONE);
        }
        assertTrue(admitted >= 16, admitted + " of a burst of two seconds of 8");
    }

    /**
     * What was sent before is not counted under other rules on cold workers: one window passes
     * first.
     */
    @Test
    void stricterSlowStartRulesSendNothingForOneWindow() {
        for (boolean stricter : new boolean[] {false, true}) {
            TokenBucketDispatchPolicy d = new TokenBucketDispatchPolicy(firstDeployment().build(), 7, actions);
            d.workersUpdated(
                    0,
                    WorkerListUpdateType.FULL,
                    List.of(
                            new WorkerInfo(
                                    "w1", "z", "k", 0, WorkerPhase.READY, 1, AFTER_FIRST_DEPLOYMENT_NS - 5 * SECOND)));
            d.settingsChanged(
                    AFTER_FIRST_DEPLOYMENT_NS, stricter ? firstDeployment().overload(3, 2 * SECOND).build() : firstDeployment().build());
            long before = actions.count("send");
            submit(d, AFTER_FIRST_DEPLOYMENT_NS + MS, "both", null);
            assertEquals(stricter ? before : before + 1, actions.count("send"));
            submit(d, AFTER_FIRST_DEPLOYMENT_NS + 2 * SECOND, "both", null);
            assertTrue(actions.count("send") > before);
        }
    }

    @ParameterizedTest
    @EnumSource(Deployment.NameType.class)
    void oneTypeOfNamesWithNoneInCommonMakesAnotherDeployment(Deployment.NameType sort) {
        Deployment a = Deployment.UNNAMED;
        for (Deployment.NameType s : Deployment.NameType.values()) {
            a = a.with(s, List.of("x", "y"));
        }
        assertTrue(a.isSameAs(a.with(sort, List.of("y", "z"))), "names come and go");
        assertTrue(a.isSameAs(a.with(sort, List.of())), "where nothing is named nothing is told");
        assertFalse(a.isSameAs(a.with(sort, List.of("z"))));
        assertFalse(a.with(sort, List.of("z")).isSameAs(a));
    }

    // ---- All fields of the memory, so that one added later is either begun anew or named a fact.

    private static Object learnedState(TokenBucketDispatchPolicy d) throws Exception {
        return toComparable(state(d));
    }

    private static PolicyState state(TokenBucketDispatchPolicy policy) throws Exception {
        return (PolicyState) field(policy, "state");
    }

    private static Set<String> exportedTenants(PolicyState state) {
        Set<String> names = new TreeSet<>();
        state.rateLimiter().exportTenants(AFTER_FIRST_DEPLOYMENT_NS, (name, values) -> names.add(name));
        return names;
    }

    private static Set<String> exportedKeys(PolicyState state) {
        Set<String> names = new TreeSet<>();
        state.rateLimiter().exportKeys(AFTER_FIRST_DEPLOYMENT_NS, (name, values) -> names.add(name));
        return names;
    }

    private static Object field(Object of, String name) throws Exception {
        Field f = of.getClass().getDeclaredField(name);
        f.setAccessible(true);
        return f.get(of);
    }

    private static Object toComparable(Object o) throws Exception {
        if (o instanceof Map<?, ?> map) {
            Map<String, Object> all = new TreeMap<>();
            for (Map.Entry<?, ?> e : map.entrySet()) {
                all.put(e.getKey().toString(), toComparable(e.getValue()));
            }
            return all;
        }
        if (o instanceof Collection<?> list) {
            return list.size();
        }
        if (o == null
                || o instanceof Enum<?>
                || o instanceof PolicySettings
                || !o.getClass().getName().startsWith("postgrade.policy.")) {
            return o instanceof PolicySettings ? "" : String.valueOf(o);
        }
        Map<String, Object> all = new TreeMap<>();
        for (Field f : o.getClass().getDeclaredFields()) {
            if (!Modifier.isStatic(f.getModifiers()) && !NOT_LEARNED.contains(f.getName())) {
                f.setAccessible(true);
                all.put(f.getName(), toComparable(f.get(o)));
            }
        }
        return all;
    }
}
