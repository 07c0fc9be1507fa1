package postgrade.policy.api;

import java.util.List;
import java.util.Objects;

/**
 * The settings of a decision policy: the deployment's job classes, tenants and limits. Immutable;
 * made by {@link #builder()}. Durations are in nanoseconds.
 */
public final class PolicySettings {
    public final int dispatcherCount;
    public final int dispatcherIndex;
    public final String zone;
    public final Deployment deployment;
    public final List<JobClass> classes;
    public final List<Tenant> tenants;
    public final int mostBuckets;
    public final boolean pollsWorkerList;
    public final boolean keepsUnlistedWorkers;
    public final int maxAttempts;
    public final boolean allowsConcurrentAttempts;
    public final boolean allowsCancellation;
    public final boolean allowsProbes;
    public final double probeFee;
    public final long maxRetryAfterNs;
    public final boolean workersReportStart;
    public final double slowStartInitialShare;
    public final long slowStartNs;
    public final double overloadMultiple;
    public final long overloadWindowNs;
    public final long tickNs;

    private PolicySettings(Builder builder) {
        dispatcherCount = builder.dispatcherCount;
        dispatcherIndex = builder.dispatcherIndex;
        zone = builder.zone;
        classes = List.copyOf(builder.classes);
        tenants = List.copyOf(builder.tenants);
        mostBuckets = builder.mostBuckets;
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
                        Deployment.Sort.TENANT, tenants.stream().map(Tenant::name).toList());
    }

    public static Builder builder() {
        return new Builder();
    }

    /** Starts from settings of a lone gateway that may do everything and is told nothing extra. */
    public static final class Builder {
        private int dispatcherCount = 1;
        private int dispatcherIndex;
        private String zone = "";
        private Deployment deployment = Deployment.UNNAMED;
        private List<JobClass> classes = List.of();
        private List<Tenant> tenants = List.of();
        private int mostBuckets = 4096;
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

        public Builder dispatcherCount(int value) {
            Requirements.require(value > 0, "gateways must be positive");
            dispatcherCount = value;
            return this;
        }

        /** This gateway's number among them, from 0; each has its own. */
        public Builder dispatcherIndex(int value) {
            dispatcherIndex = value;
            return this;
        }

        public Builder zone(String value) {
            zone = Objects.requireNonNull(value, "zone");
            return this;
        }

        /** What the deployment calls its tiers, kinds of machine and zones. */
        public Builder named(Deployment.Sort sort, List<String> names) {
            deployment = deployment.with(sort, names);
            return this;
        }

        public Builder classes(List<JobClass> value) {
            Requirements.require(!value.isEmpty(), "classes must not be empty");
            classes = value;
            return this;
        }

        public Builder tenants(List<Tenant> value) {
            tenants = value;
            return this;
        }

        /** Buckets kept for each kind of bucket; 0 keeps none, so every bucket is always full. */
        public Builder mostBuckets(int value) {
            Requirements.require(value >= 0, "tableSize must not be negative");
            mostBuckets = value;
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

        public Builder maxAttempts(int value) {
            Requirements.require(value > 0, "maxAttempts must be positive");
            maxAttempts = value;
            return this;
        }

        /** Two attempts of one job may be out at once. */
        public Builder allowsConcurrentAttempts(boolean value) {
            allowsConcurrentAttempts = value;
            return this;
        }

        public Builder allowsCancellation(boolean value) {
            allowsCancellation = value;
            return this;
        }

        /**
         * Workers may be probed; the fee is what one probe for each job would take off the result.
         */
        public Builder probes(boolean allowed, double fee) {
            Requirements.require(fee >= 0, "probeFee must not be negative");
            allowsProbes = allowed;
            probeFee = fee;
            return this;
        }

        /** The longest retry-after that clients observe; 0 where they are given none. */
        public Builder maxRetryAfterNs(long value) {
            Requirements.require(value >= 0, "maxRetryAfterNs must not be negative");
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
            Requirements.require(
                    initialShare > 0 && initialShare <= 1,
                    "coldShare must lie above 0 and not above 1");
            Requirements.require(slowStart >= 0, "warmWithinNs must not be negative");
            slowStartInitialShare = initialShare;
            slowStartNs = slowStart;
            return this;
        }

        /**
         * A cold worker sent more than this multiple of what it can do for this time falls over.
         */
        public Builder overload(double multiple, long windowNs) {
            Requirements.require(multiple > 0, "fallMultiple must be positive");
            Requirements.require(windowNs > 0, "fallNs must be positive");
            overloadMultiple = multiple;
            overloadWindowNs = windowNs;
            return this;
        }

        /** The shortest time between two events handed over. */
        public Builder tickNs(long value) {
            Requirements.require(value >= 0, "tickNs must not be negative");
            tickNs = value;
            return this;
        }

        public PolicySettings build() {
            Requirements.require(!classes.isEmpty(), "classes must not be empty");
            Requirements.require(
                    dispatcherIndex >= 0 && dispatcherIndex < dispatcherCount,
                    "gateway must lie between 0 and gateways - 1");
            return new PolicySettings(this);
        }
    }
}
