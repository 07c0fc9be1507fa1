package postgrade.policy;

import postgrade.policy.api.JobClass;

/** A job class of the settings and what has been learnt of it. */
final class JobClassStats {

    /** The service time assumed of a class of which no job has been served yet. */
    static final double DEFAULT_SERVICE_TIME_NS = 1e9;

    private final JobClass jobClass;
    private double serviceTimeNs = DEFAULT_SERVICE_TIME_NS;
    private double observedServiceTimeNs;
    private double failureRate;
    private long served;

    JobClassStats(JobClass jobClass) {
        this.jobClass = jobClass;
    }

    /** The class under other settings, with what was learnt of it so far. */
    JobClassStats withSettings(JobClass changed) {
        JobClassStats next = new JobClassStats(changed);
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
     * The mean service time of the jobs served, and of one more of the time that is assumed before
     * any was.
     */
    double serviceTimeNs() {
        return serviceTimeNs;
    }

    /** The mean service time of the jobs served alone; 0 before any was. */
    double observedServiceTimeNs() {
        return observedServiceTimeNs;
    }

    /** Jobs served. */
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

    /** The moving average of failures among its jobs, from 0 to 1. */
    double failureRate() {
        return failureRate;
    }

    /**
     * @param failed 1 for a failure, 0 for a success
     */
    void recordResult(double failed) {
        failureRate = Smoothing.next(failureRate, failed);
    }

    /** A job of mean service time is in time if it is answered within this. */
    double latencyTargetNs() {
        return jobClass.latencyObjectiveNs() + jobClass.objectivePerServiceTime() * serviceTimeNs;
    }

    /** What a unit of priority weight costs in service time. */
    double costPerWeight() {
        return serviceTimeNs / jobClass.priorityWeight();
    }

    /** Its state in the order that {@link #restore} reads. */
    double[] export() {
        return new double[] {serviceTimeNs, served, failureRate, observedServiceTimeNs};
    }

    /** An earlier version exports one mean. */
    void restore(double[] values) {
        serviceTimeNs = values[0];
        served = (long) values[1];
        failureRate = values[2];
        observedServiceTimeNs = values.length > 3 ? values[3] : values[0];
    }
}
