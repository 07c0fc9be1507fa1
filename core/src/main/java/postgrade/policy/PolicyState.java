package postgrade.policy;

import java.util.LinkedHashMap;
import java.util.Map;
import postgrade.policy.api.PolicyActions;
import postgrade.policy.api.PolicySettings;

/**
 * The state of the policy, held by components that each own their part, and the effect of a change
 * of settings on them. Components that decide are given only the components that they need.
 */
final class PolicyState {

    private final PolicyContext context;
    private final JobClassTable classes = new JobClassTable();
    private final RateLimiter rateLimiter;
    private final WorkerTable workers = new WorkerTable();
    private final Map<String, InFlightJob> jobs = new LinkedHashMap<>();
    private final FleetLoadEstimator fleetLoad;
    private final CapacityEstimator capacity;
    private final QueueingDelayEstimator queueingDelay;
    private final ServiceTimeEstimator serviceTime;
    private final OutlierDetector outlierDetector;
    private final SlowStartLimiter slowStart;
    private final RetryBudget retryBudget = new RetryBudget();

    PolicyState(PolicySettings settings, long seed, PolicyActions actions) {
        context = new PolicyContext(settings, seed, actions);
        rateLimiter = new RateLimiter(settings.maxBuckets);
        fleetLoad = new FleetLoadEstimator(context, classes, rateLimiter);
        capacity = new CapacityEstimator(context, workers, classes, fleetLoad);
        queueingDelay = new QueueingDelayEstimator(capacity, fleetLoad);
        serviceTime = new ServiceTimeEstimator(capacity, classes, fleetLoad);
        outlierDetector = new OutlierDetector(workers, rateLimiter);
        slowStart =
                new SlowStartLimiter(context, workers, classes, rateLimiter, capacity, fleetLoad);
        classes.replace(settings.classes, false);
        rateLimiter.settingsChanged(settings, false);
    }

    /**
     * Applies new settings. If they belong to the same deployment, learned state is kept except for
     * what they no longer name; else it is reset. Either way jobs in flight keep the class that
     * they arrived with.
     */
    void settingsChanged(long nowNs, PolicySettings next) {
        PolicySettings former = context.settings();
        context.settings(next);
        boolean sameDeployment = former.deployment.isSameAs(next.deployment);
        classes.replace(next.classes, sameDeployment);
        rateLimiter.settingsChanged(next, sameDeployment);
        if (!sameDeployment) {
            workers.resetLearned();
            fleetLoad.reset();
            outlierDetector.reset();
            retryBudget.reset();
        }
        slowStart.settingsChanged(nowNs, former, next);
    }

    PolicyContext context() {
        return context;
    }

    JobClassTable classes() {
        return classes;
    }

    RateLimiter rateLimiter() {
        return rateLimiter;
    }

    WorkerTable workers() {
        return workers;
    }

    /** Returns the jobs in flight by id, in the order of their arrival. */
    Map<String, InFlightJob> jobs() {
        return jobs;
    }

    FleetLoadEstimator fleetLoad() {
        return fleetLoad;
    }

    CapacityEstimator capacity() {
        return capacity;
    }

    QueueingDelayEstimator queueingDelay() {
        return queueingDelay;
    }

    ServiceTimeEstimator serviceTime() {
        return serviceTime;
    }

    OutlierDetector outlierDetector() {
        return outlierDetector;
    }

    SlowStartLimiter slowStart() {
        return slowStart;
    }

    RetryBudget retryBudget() {
        return retryBudget;
    }
}
