package postgrade.policy;

import postgrade.policy.api.JobClass;

/** A job class of the settings and the statistics of its jobs. */
final class JobClassStats {

    /** Service time assumed for a class of which no job has been served yet. */
    static final double DEFAULT_SERVICE_TIME_NS = 1e9;

    private final JobClass jobClass;
    private double serviceTimeNs = DEFAULT_SERVICE_TIME_NS;
    private double observedServiceTimeNs;
    private double failureRate;
    private long served;

    JobClassStats(JobClass jobClass) {
        this.jobClass = jobClass;
    }

    /** Returns these statistics for the class under other settings. */
    JobClassStats withSettings(JobClass newSettings) {
        JobClassStats next = new JobClassStats(newSettings);
        next.serviceTimeNs = serviceTimeNs;
        next.observedServiceTimeNs = observedServiceTimeNs;
        next.failureRate = failureRate;
        next.served = served;
        return next;
    }

    JobClass jobClass() {
        return jobClass;
    }

    /**
     * Returns the mean service time of the jobs served and of one more job of the default service
     * time.
     */
    double serviceTimeNs() {
        return serviceTimeNs;
    }

    /** Returns the mean service time of the jobs served alone; 0 before the first. */
    double observedServiceTimeNs() {
        return observedServiceTimeNs;
    }

    /** Returns the number of jobs served. */
    long served() {
        return served;
    }

    void recordServiceTime(double timeNs) {
        served++;
        observedServiceTimeNs += weight(served) * (timeNs - observedServiceTimeNs);
        serviceTimeNs += weight(served + 1) * (timeNs - serviceTimeNs);
    }

    private static double weight(long samples) {
        return Math.max(Smoothing.RATE, 1.0 / samples);
    }

    /** Returns the moving average of failures among its jobs, from 0 to 1. */
    double failureRate() {
        return failureRate;
    }

    /**
     * @param failed 1 for a failure, 0 for a success
     */
    void recordResult(double failed) {
        failureRate = Smoothing.next(failureRate, failed);
    }

    /** Returns the time within which a job of mean service time has to be answered. */
    double latencyTargetNs() {
        return jobClass.latencyObjectiveNs() + jobClass.objectivePerServiceTime() * serviceTimeNs;
    }

    /** Returns the service time per unit of priority weight. */
    double costPerWeight() {
        return serviceTimeNs / jobClass.priorityWeight();
    }

    /** Returns the state in the order that {@link #restore} reads. */
    double[] export() {
        return new double[] {serviceTimeNs, served, failureRate, observedServiceTimeNs};
    }

    /** Restores exported state. Earlier versions export only one mean. */
    void restore(double[] values) {
        serviceTimeNs = values[0];
        served = (long) values[1];
        failureRate = values[2];
        observedServiceTimeNs = values.length > 3 ? values[3] : values[0];
    }
}
