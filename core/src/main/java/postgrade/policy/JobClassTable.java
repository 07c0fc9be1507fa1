package postgrade.policy;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.DoubleStream;
import postgrade.policy.api.JobClass;

/** The job classes of the settings in force, and figures over all of them. */
final class JobClassTable {

    private final Map<String, JobClassStats> classes = new HashMap<>();
    private double longestServiceTimeNs = JobClassStats.DEFAULT_SERVICE_TIME_NS;
    private double meanServiceTimeNs = JobClassStats.DEFAULT_SERVICE_TIME_NS;

    /** Null if the settings do not name it. */
    JobClassStats get(String name) {
        return classes.get(name);
    }

    Collection<JobClassStats> all() {
        return classes.values();
    }

    /**
     * @param keepLearnt whether classes that had the same name keep what was learnt of them
     */
    void replace(List<JobClass> next, boolean keepLearnt) {
        Map<String, JobClassStats> former = keepLearnt ? Map.copyOf(classes) : Map.of();
        classes.clear();
        for (JobClass jobClass : next) {
            JobClassStats known = former.get(jobClass.name());
            classes.put(
                    jobClass.name(),
                    known == null ? new JobClassStats(jobClass) : known.withSettings(jobClass));
        }
        updateAggregates();
    }

    /** The longest mean service time of a class. */
    double longestServiceTimeNs() {
        return longestServiceTimeNs;
    }

    void recordServiceTime(JobClassStats jobClass, double timeNs) {
        jobClass.recordServiceTime(timeNs);
        updateAggregates();
    }

    /**
     * Kept up to date rather than reckoned when asked for: they are asked for each worker and job.
     */
    private void updateAggregates() {
        meanServiceTimeNs = meanOf(classes.values());
        longestServiceTimeNs =
                classes.values().stream()
                        .mapToDouble(JobClassStats::serviceTimeNs)
                        .max()
                        .orElse(longestServiceTimeNs);
    }

    /** The mean service time over all jobs served. */
    double meanServiceTimeNs() {
        return meanServiceTimeNs;
    }

    private static double meanOf(Collection<JobClassStats> all) {
        double served = all.stream().mapToLong(JobClassStats::served).sum();
        if (served == 0) {
            return JobClassStats.DEFAULT_SERVICE_TIME_NS;
        }
        return all.stream().mapToDouble(c -> c.served() * c.serviceTimeNs()).sum() / served;
    }

    /**
     * How much dearer a unit of the class's priority weight is than the cheapest class's: 0 for
     * that one, towards 1.
     */
    double relativeCost(JobClassStats jobClass) {
        return 1 - costs().min().orElse(0) / jobClass.costPerWeight();
    }

    /** What a unit of priority weight costs in the dearest class. */
    double highestCostPerWeight() {
        return costs().max().orElse(1);
    }

    private DoubleStream costs() {
        return classes.values().stream().mapToDouble(JobClassStats::costPerWeight);
    }

    /** Takes over exported figures of a class; one that the settings do not name is ignored. */
    void restore(String name, double[] values) {
        JobClassStats known = classes.get(name);
        if (known != null) {
            known.restore(values);
            updateAggregates();
        }
    }

    /** Calls back with each class's name and exported figures. */
    void export(StateEntryConsumer consumer) {
        classes.forEach((name, stats) -> consumer.accept(name, stats.export()));
    }
}
