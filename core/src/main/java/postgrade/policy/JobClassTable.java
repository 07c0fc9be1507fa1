package postgrade.policy;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.DoubleStream;
import postgrade.policy.api.JobClass;

/** The job classes of the current settings, and aggregates over all of them. */
final class JobClassTable {

    private final Map<String, JobClassStats> classes = new HashMap<>();
    private double longestServiceTimeNs = JobClassStats.DEFAULT_SERVICE_TIME_NS;
    private double meanServiceTimeNs = JobClassStats.DEFAULT_SERVICE_TIME_NS;

    /** Returns the class, or null if the settings do not define it. */
    JobClassStats get(String name) {
        return classes.get(name);
    }

    Collection<JobClassStats> all() {
        return classes.values();
    }

    /**
     * @param keepLearned whether classes keep the statistics of the former class of the same name
     */
    void replace(List<JobClass> next, boolean keepLearned) {
        Map<String, JobClassStats> former = keepLearned ? Map.copyOf(classes) : Map.of();
        classes.clear();
        for (JobClass jobClass : next) {
            JobClassStats known = former.get(jobClass.name());
            classes.put(
                    jobClass.name(),
                    known == null ? new JobClassStats(jobClass) : known.withSettings(jobClass));
        }
        updateAggregates();
    }

    /** Returns the longest mean service time of any class. */
    double longestServiceTimeNs() {
        return longestServiceTimeNs;
    }

    void recordServiceTime(JobClassStats jobClass, double timeNs) {
        jobClass.recordServiceTime(timeNs);
        updateAggregates();
    }

    /**
     * Updates the aggregates eagerly rather than on each read, as they are read for each worker and
     * job.
     */
    private void updateAggregates() {
        meanServiceTimeNs = meanOf(classes.values());
        longestServiceTimeNs =
                classes.values().stream()
                        .mapToDouble(JobClassStats::serviceTimeNs)
                        .max()
                        .orElse(longestServiceTimeNs);
    }

    /** Returns the mean service time over all jobs served. */
    double meanServiceTimeNs() {
        return meanServiceTimeNs;
    }

    private static double meanOf(Collection<JobClassStats> all) {
        double served = all.stream().mapToLong(JobClassStats::served).sum();
        if (served == 0) {
            return JobClassStats.DEFAULT_SERVICE_TIME_NS;
        }
        return all.stream().mapToDouble(stats -> stats.served() * stats.serviceTimeNs()).sum()
                / served;
    }

    /**
     * Returns how much more a unit of the class's priority weight costs than in the cheapest class:
     * 0 for the cheapest, approaching 1.
     */
    double relativeCost(JobClassStats jobClass) {
        return 1 - costs().min().orElse(0) / jobClass.costPerWeight();
    }

    /** Returns the cost of a unit of priority weight in the most expensive class. */
    double highestCostPerWeight() {
        return costs().max().orElse(1);
    }

    private DoubleStream costs() {
        return classes.values().stream().mapToDouble(JobClassStats::costPerWeight);
    }

    /**
     * Restores exported statistics of a class; a class that the settings do not define is ignored.
     */
    void restore(String name, double[] values) {
        JobClassStats known = classes.get(name);
        if (known != null) {
            known.restore(values);
            updateAggregates();
        }
    }

    /** Passes each class's name and exported statistics to the consumer. */
    void export(StateEntryConsumer consumer) {
        classes.forEach((name, stats) -> consumer.accept(name, stats.export()));
    }
}
