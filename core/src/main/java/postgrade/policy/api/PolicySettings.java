package postgrade.policy.api;

import java.util.List;
import java.util.Objects;

/**
 * The settings of a dispatch policy: the deployment's job classes, tenants and limits. Immutable;
 * created by {@link #builder()}. Durations are in nanoseconds.
 */
public final class PolicySettings {
    /** The number of dispatchers of the deployment. */
    public final int dispatcherCount;

    /** The index of this dispatcher among them, from 0. */
    public final int dispatcherIndex;

    /** The zone where this dispatcher runs. */
    public final String zone;

    /** The deployment that the settings belong to. */
    public final Deployment deployment;

    /** The job classes. */
    public final List<JobClass> classes;

    /** The tenants; empty if jobs name none. */
    public final List<Tenant> tenants;

    /** The maximum number of token buckets of tenants, and likewise of keys. */
    public final int maxBuckets;

    /** Whether the worker list is sent only on request. */
    public final boolean pollsWorkerList;

    /**
     * Whether only draining excludes a worker, so that one that is no longer listed may still be
     * sent to.
     */
    public final boolean keepsUnlistedWorkers;

    /** The maximum number of attempts of a job. */
    public final int maxAttempts;

    /** Whether two attempts of a job may be in flight at once. */
    public final boolean allowsConcurrentAttempts;

    /** Whether attempts may be cancelled. */
    public final boolean allowsCancellation;

    /** Whether workers may be probed. */
    public final boolean allowsProbes;

    /** The deduction from the result for one probe per job. */
    public final double probeFee;

    /** The longest Retry-After that clients honour; 0 if they are given none. */
    public final long maxRetryAfterNs;

    /** Whether workers report the start of a job. */
    public final boolean workersReportStart;

    /** The share of its full throughput that a worker delivers right after its start. */
    public final double slowStartInitialShare;

    /** How long a worker takes from its start until it delivers its full throughput. */
    public final long slowStartNs;

    /** How much work a worker in slow start may be sent, as a multiple of what it can do. */
    public final double overloadMultiple;

    /** The window over which the work sent to a worker in slow start is counted. */
    public final long overloadWindowNs;

    /** The shortest time between two events. */
    public final long tickNs;

    private PolicySettings(Builder builder) {
        dispatcherCount = builder.dispatcherCount;
        dispatcherIndex = builder.dispatcherIndex;
        zone = builder.zone;
        classes = List.copyOf(builder.classes);
        tenants = List.copyOf(builder.tenants);
        maxBuckets = builder.maxBuckets;
        pollsWorkerList = builder.pollsWorkerList;
        keepsUnlistedWorkers = builder.keepsUnlistedWorkers;
        maxAttempts = builder.maxAttempts;
        allowsConcurrentAttempts = builder.allowsConcurrentAttempts;
        allowsCancellation = builder.allowsCancellation;
        allowsProbes = builder.allowsProbes;
        probeFee = builder.probeFee;
        maxRetryAfterNs = builder.maxRetryAfterNs;
        workersReportStart = builder.workersReportStart;
        slowStartInitialShare = builder.slowStartInitialShare;
        slowStartNs = builder.slowStartNs;
        overloadMultiple = builder.overloadMultiple;
        overloadWindowNs = builder.overloadWindowNs;
        tickNs = builder.tickNs;
        deployment =
                builder.deployment.with(
                        Deployment.NameType.TENANT, tenants.stream().map(Tenant::name).toList());
    }

    /**
     * Returns a builder that starts from the settings of a single dispatcher with concurrent
     * attempts and cancellation allowed, and without any optional reports.
     */
    public static Builder builder() {
        return new Builder();
    }

    /**
     * Collects and checks settings. Setters throw an {@link IllegalArgumentException} that names an
     * invalid value.
     */
    public static final class Builder {
        private int dispatcherCount = 1;
        private int dispatcherIndex;
        private String zone = "";
        private Deployment deployment = Deployment.UNNAMED;
        private List<JobClass> classes = List.of();
        private List<Tenant> tenants = List.of();
        private int maxBuckets = 4096;
        private boolean pollsWorkerList;
        private boolean keepsUnlistedWorkers;
        private int maxAttempts = 3;
        private boolean allowsConcurrentAttempts = true;
        private boolean allowsCancellation = true;
        private boolean allowsProbes;
        private double probeFee;
        private long maxRetryAfterNs;
        private boolean workersReportStart;
        private double slowStartInitialShare = 1;
        private long slowStartNs;
        private double overloadMultiple = 1;
        private long overloadWindowNs = 1_000_000_000L;
        private long tickNs = 1_000_000L;

        /** The number of dispatchers of the deployment. */
        public Builder dispatcherCount(int value) {
            Preconditions.checkArgument(value > 0, "dispatcherCount must be positive");
            dispatcherCount = value;
            return this;
        }

        /** The unique index of this dispatcher among them, from 0. */
        public Builder dispatcherIndex(int value) {
            dispatcherIndex = value;
            return this;
        }

        /** The zone where this dispatcher runs. */
        public Builder zone(String value) {
            zone = Objects.requireNonNull(value, "zone");
            return this;
        }

        /** The deployment's names of this type: tiers, worker kinds or zones. */
        public Builder deploymentNames(Deployment.NameType type, List<String> names) {
            deployment = deployment.with(type, names);
            return this;
        }

        /** The job classes; at least one. */
        public Builder classes(List<JobClass> value) {
            Preconditions.checkArgument(!value.isEmpty(), "classes must not be empty");
            classes = value;
            return this;
        }

        /** The tenants; empty if jobs name none. */
        public Builder tenants(List<Tenant> value) {
            tenants = value;
            return this;
        }

        /**
         * The maximum number of token buckets of tenants, and likewise of keys; with 0 no bucket is
         * kept, so every bucket is always full.
         */
        public Builder maxBuckets(int value) {
            Preconditions.checkArgument(value >= 0, "maxBuckets must not be negative");
            maxBuckets = value;
            return this;
        }

        /** Whether the worker list is sent only on request. */
        public Builder pollsWorkerList(boolean value) {
            pollsWorkerList = value;
            return this;
        }

        /**
         * Whether only draining excludes a worker: one that the list drops or reports as gone may
         * still be sent to.
         */
        public Builder keepsUnlistedWorkers(boolean value) {
            keepsUnlistedWorkers = value;
            return this;
        }

        /** The maximum number of attempts of a job. */
        public Builder maxAttempts(int value) {
            Preconditions.checkArgument(value > 0, "maxAttempts must be positive");
            maxAttempts = value;
            return this;
        }

        /** Whether two attempts of one job may be in flight at once. */
        public Builder allowsConcurrentAttempts(boolean value) {
            allowsConcurrentAttempts = value;
            return this;
        }

        /** Whether attempts may be cancelled. */
        public Builder allowsCancellation(boolean value) {
            allowsCancellation = value;
            return this;
        }

        /**
         * Whether workers may be probed, and the deduction from the result for one probe per job.
         */
        public Builder probes(boolean allowed, double fee) {
            Preconditions.checkArgument(fee >= 0, "probeFee must not be negative");
            allowsProbes = allowed;
            probeFee = fee;
            return this;
        }

        /** The longest Retry-After that clients honour; 0 if they are given none. */
        public Builder maxRetryAfterNs(long value) {
            Preconditions.checkArgument(value >= 0, "maxRetryAfterNs must not be negative");
            maxRetryAfterNs = value;
            return this;
        }

        /** Whether workers report the start of a job. */
        public Builder workersReportStart(boolean value) {
            workersReportStart = value;
            return this;
        }

        /**
         * The share of its full throughput that a starting worker delivers, and the time after
         * which it delivers all of it.
         */
        public Builder slowStart(double initialShare, long slowStart) {
            Preconditions.checkArgument(
                    initialShare > 0 && initialShare <= 1,
                    "coldShare must lie above 0 and not above 1");
            Preconditions.checkArgument(slowStart >= 0, "warmWithinNs must not be negative");
            slowStartInitialShare = initialShare;
            slowStartNs = slowStart;
            return this;
        }

        /**
         * A worker in slow start fails if, within the window, it is sent more than this multiple of
         * what it can do.
         */
        public Builder overload(double multiple, long windowNs) {
            Preconditions.checkArgument(multiple > 0, "fallMultiple must be positive");
            Preconditions.checkArgument(windowNs > 0, "fallNs must be positive");
            overloadMultiple = multiple;
            overloadWindowNs = windowNs;
            return this;
        }

        /** The shortest time between two events. */
        public Builder tickNs(long value) {
            Preconditions.checkArgument(value >= 0, "tickNs must not be negative");
            tickNs = value;
            return this;
        }

        /** Builds the settings from the values set so far. */
        public PolicySettings build() {
            Preconditions.checkArgument(!classes.isEmpty(), "classes must not be empty");
            Preconditions.checkArgument(
                    dispatcherIndex >= 0 && dispatcherIndex < dispatcherCount,
                    "dispatcherIndex must lie between 0 and dispatcherCount - 1");
            return new PolicySettings(this);
        }
    }
}
