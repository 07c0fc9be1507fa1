package postgrade.policy.api;

import java.util.List;
import java.util.Objects;

/**
 * The settings of a decision policy: the deployment's job classes, tenants and limits. Immutable;
 * made by {@link #builder()}. Durations are in nanoseconds.
 */
public final class PolicySettings {
    /** How many dispatchers the deployment has. */
    public final int dispatcherCount;

    /** This dispatcher's number among them, from 0. */
    public final int dispatcherIndex;

    /** Where this dispatcher runs. */
    public final String zone;

    /** The deployment that the settings belong to. */
    public final Deployment deployment;

    /** The job classes. */
    public final List<JobClass> classes;

    /** The tenants; empty where jobs name none. */
    public final List<Tenant> tenants;

    /** How many token buckets are kept of tenants, and as many of keys. */
    public final int maxBuckets;

    /** Whether the list of workers is told only when asked for. */
    public final boolean pollsWorkerList;

    /**
     * Whether only draining takes a worker out, so that one that is no longer listed may still be
     * sent to.
     */
    public final boolean keepsUnlistedWorkers;

    /** How many attempts a job may have. */
    public final int maxAttempts;

    /** Whether two attempts of a job may be out at once. */
    public final boolean allowsConcurrentAttempts;

    /** Whether attempts may be cancelled. */
    public final boolean allowsCancellation;

    /** Whether workers may be probed. */
    public final boolean allowsProbes;

    /** What one probe for each job would take off the result. */
    public final double probeFee;

    /** The longest Retry-After that clients observe; 0 where they are given none. */
    public final long maxRetryAfterNs;

    /** Whether workers report that a job has started. */
    public final boolean workersReportStart;

    /** The part of its work that a worker can do right after its start. */
    public final double slowStartInitialShare;

    /** How long a worker takes from its start until it can do all of its work. */
    public final long slowStartNs;

    /** How many times what it can do a worker in slow start may be sent. */
    public final double overloadMultiple;

    /** Over which time that is counted. */
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
     * Starts from the settings of a lone dispatcher that may do everything and is told nothing
     * extra.
     */
    public static Builder builder() {
        return new Builder();
    }

    /**
     * Collects settings and checks each. Setters throw an {@link IllegalArgumentException} that
     * names a value that cannot be.
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

        /** How many dispatchers the deployment has. */
        public Builder dispatcherCount(int value) {
            Preconditions.checkArgument(value > 0, "gateways must be positive");
            dispatcherCount = value;
            return this;
        }

        /** This dispatcher's number among them, from 0; each has its own. */
        public Builder dispatcherIndex(int value) {
            dispatcherIndex = value;
            return this;
        }

        /** The zone where this dispatcher runs. */
        public Builder zone(String value) {
            zone = Objects.requireNonNull(value, "zone");
            return this;
        }

        /** What the deployment calls its tiers, kinds of machine and zones. */
        public Builder deploymentNames(Deployment.NameType sort, List<String> names) {
            deployment = deployment.with(sort, names);
            return this;
        }

        /** The job classes; at least one. */
        public Builder classes(List<JobClass> value) {
            Preconditions.checkArgument(!value.isEmpty(), "classes must not be empty");
            classes = value;
            return this;
        }

        /** The tenants; none where jobs name none. */
        public Builder tenants(List<Tenant> value) {
            tenants = value;
            return this;
        }

        /** Buckets kept for each kind of bucket; 0 keeps none, so every bucket is always full. */
        public Builder maxBuckets(int value) {
            Preconditions.checkArgument(value >= 0, "tableSize must not be negative");
            maxBuckets = value;
            return this;
        }

        /** The worker list answers only when asked. */
        public Builder pollsWorkerList(boolean value) {
            pollsWorkerList = value;
            return this;
        }

        /** Only draining binds: a worker that the list drops or calls gone may still be sent to. */
        public Builder keepsUnlistedWorkers(boolean value) {
            keepsUnlistedWorkers = value;
            return this;
        }

        /** How many attempts a job may have. */
        public Builder maxAttempts(int value) {
            Preconditions.checkArgument(value > 0, "maxAttempts must be positive");
            maxAttempts = value;
            return this;
        }

        /** Two attempts of one job may be out at once. */
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
         * Workers may be probed; the fee is what one probe for each job would take off the result.
         */
        public Builder probes(boolean allowed, double fee) {
            Preconditions.checkArgument(fee >= 0, "probeFee must not be negative");
            allowsProbes = allowed;
            probeFee = fee;
            return this;
        }

        /** The longest retry-after that clients observe; 0 where they are given none. */
        public Builder maxRetryAfterNs(long value) {
            Preconditions.checkArgument(value >= 0, "maxRetryAfterNs must not be negative");
            maxRetryAfterNs = value;
            return this;
        }

        /** Workers tell when a job starts. */
        public Builder workersReportStart(boolean value) {
            workersReportStart = value;
            return this;
        }

        /** A starting worker can do this part of its work, all of it after {@code warmWithin}. */
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
         * A cold worker sent more than this multiple of what it can do for this time falls over.
         */
        public Builder overload(double multiple, long windowNs) {
            Preconditions.checkArgument(multiple > 0, "fallMultiple must be positive");
            Preconditions.checkArgument(windowNs > 0, "fallNs must be positive");
            overloadMultiple = multiple;
            overloadWindowNs = windowNs;
            return this;
        }

        /** The shortest time between two events handed over. */
        public Builder tickNs(long value) {
            Preconditions.checkArgument(value >= 0, "tickNs must not be negative");
            tickNs = value;
            return this;
        }

        /** The settings as given so far. */
        public PolicySettings build() {
            Preconditions.checkArgument(!classes.isEmpty(), "classes must not be empty");
            Preconditions.checkArgument(
                    dispatcherIndex >= 0 && dispatcherIndex < dispatcherCount,
                    "gateway must lie between 0 and gateways - 1");
            return new PolicySettings(this);
        }
    }
}
