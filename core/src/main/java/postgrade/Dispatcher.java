package postgrade;

import java.util.List;
import java.util.Objects;

/**
 * What a dispatcher ("gateway") tells its decision maker, and what it is told to do.
 *
 * <p>One implementation object is one gateway. Every event carries the time in nanoseconds of a
 * clock that only advances; decisions come back as calls of {@link Actions}, before the event
 * method returns. Not thread-safe: events of one gateway are handed over one after another.
 */
public interface Dispatcher {

    /**
     * The complete list, the one remembered from before a restart, changes only, or a failed call.
     */
    enum ListForm {
        FULL,
        STORED,
        CHANGES,
        ERROR
    }

    enum Phase {
        READY,
        DRAINING,
        GONE
    }

    /** Whether a job may take effect again: freely, within a group that drops repeats, or never. */
    enum Effect {
        SAFE,
        KEYED,
        UNSAFE
    }

    /** The workers that drop repeats of a keyed job. */
    enum Group {
        ALL,
        ZONE,
        CELL;

        /** Whether both workers know of each other's repeats. */
        public boolean shared(Worker a, Worker b) {
            return this == ALL
                    || a.zone().equals(b.zone()) && (this == ZONE || a.cell() == b.cell());
        }
    }

    /**
     * How an attempt ended. {@code NO_SOCKET}: this process could begin no connection, which says
     * nothing of the worker.
     */
    enum Outcome {
        SERVED,
        ERROR,
        FULL,
        TIMEOUT,
        UNREACHABLE,
        RESET,
        CANCELLED,
        NOT_SENT,
        NO_SOCKET;

        /** True where the outcome proves that the job was never run. */
        public boolean provesNotRun() {
            return this == FULL || this == UNREACHABLE || this == NOT_SENT || this == NO_SOCKET;
        }
    }

    void list(long nowNs, ListForm form, List<Worker> workers);

    /**
     * An operator had taken this worker out and has put it back, restarted; the list before this
     * says so.
     */
    default void recalled(long nowNs, String workerId) {}

    /**
     * Other settings are in force from now on. Jobs under way keep the class that they came with;
     * where the settings are another deployment's, nothing else is kept of what was learnt.
     */
    default void settings(long nowNs, Settings settings) {}

    /**
     * So large a part of what this gateway may do is this process's: another one of it lives, or
     * none any more.
     */
    default void share(long nowNs, double part) {}

    /** Asked from now on whether a job may start and which workers are able for it. */
    default void ability(Ability ability) {}

    /** What a new process of this gateway is to know. */
    default List<Learnt> learnt(long nowNs) {
        return List.of();
    }

    /** Takes over what another process of this gateway has learnt; the list is known. */
    default void learn(long nowNs, List<Learnt> all) {}

    void job(long nowNs, Job job);

    void started(long nowNs, String jobId, int attempt);

    /** A note of the share done; unless overridden it tells just that the job has started. */
    default void progress(long nowNs, String jobId, int attempt, double shareDone) {
        started(nowNs, jobId, attempt);
    }

    /** The answer has begun to stream: the attempt now belongs to the client. */
    void streaming(long nowNs, String jobId, int attempt);

    /**
     * @param last the client has its final answer, by this outcome or an earlier one
     */
    void finished(long nowNs, String jobId, int attempt, Outcome outcome, boolean last, Load load);

    void probed(long nowNs, String workerId, boolean answered, Load load);

    void abandoned(long nowNs, String jobId);

    void timer(long nowNs, String token);

    /** Where decisions go. */
    interface Actions {
        /**
         * Starts an attempt; a job's attempts count from 0. A limit of 0: until the client gives
         * up.
         */
        void send(String jobId, String workerId, long limitNs);

        /**
         * As above; its request goes out within {@code windowNs}, or not at all: its connection may
         * come up late.
         */
        default void send(String jobId, String workerId, long limitNs, long windowNs) {
            send(jobId, workerId, limitNs);
        }

        void cancel(String jobId, int attempt);

        /** Final: not run, trying again is harmless. */
        void refuse(String jobId, long retryAfterNs);

        /** Final: failed, nothing is promised. */
        void fail(String jobId);

        void probe(String workerId);

        void timer(String token, long inNs);

        /** Subscribes to changes of the worker list. */
        void watch();
    }

    /**
     * @param weight relative size, 0 where not announced; it counts until reports tell free slots
     * @param bornNs time of the latest start, 0 for long ago
     */
    record Worker(
            String id,
            String zone,
            String kind,
            int cell,
            Phase phase,
            double weight,
            long bornNs) {}

    /** Figures of one thing, say of a worker. */
    record Learnt(String of, String name, double[] figures) {}

    /**
     * @param tenant or key null where there is none; @param memory 0 where it is not counted
     */
    record Job(
            String id,
            String jobClass,
            String tenant,
            String key,
            long timeLeftNs,
            double slots,
            double memory) {
        public Job {
            Objects.requireNonNull(id, "id");
            Objects.requireNonNull(jobClass, "jobClass");
        }
    }

    /** A worker's load report; {@link Double#NaN} for a figure it does not give. */
    record Load(double freeSlots, double queued, double inFlight, double busy) {
        public static final Load NONE = new Load(Double.NaN, Double.NaN, Double.NaN, Double.NaN);
    }

    /**
     * @param windowNs how long a keyed job's repeats are dropped
     * @param aimNs wanted within this, plus {@code aimStretch} times the job's own running time
     * @param kind the only kind of machine that runs it, or null
     */
    record JobClass(
            String name,
            Effect effect,
            Group group,
            long windowNs,
            long aimNs,
            double aimStretch,
            double worth,
            double lateShare,
            String kind,
            boolean stream) {
        public JobClass {
            Objects.requireNonNull(name, "class name");
            require(windowNs >= 0, "windowNs of class " + name + " must not be negative");
            require(aimNs >= 0, "aimNs of class " + name + " must not be negative");
            require(worth > 0, "worth of class " + name + " must be positive");
        }

        public static JobClass of(String name, Effect effect) {
            return new JobClass(name, effect, Group.ALL, 0, 1_000_000_000L, 0, 1, 0, null, false);
        }
    }

    /**
     * @param ratePerS jobs a second within the tenant's share, over all gateways
     */
    record Tenant(String name, double ratePerS) {
        public Tenant {
            require(ratePerS > 0, "ratePerS of tenant " + name + " must be positive");
        }
    }

    private static void require(boolean holds, String message) {
        if (!holds) {
            throw new IllegalArgumentException(message);
        }
    }

    /** What a gateway is told once, at its start. Made by {@link #builder()}. */
    final class Settings {
        public final int gateways;
        public final int gateway;
        public final String zone;
        public final Deployment deployment;
        public final List<JobClass> classes;
        public final List<Tenant> tenants;
        public final int tableSize;
        public final boolean asksForList;
        public final boolean droppedStayOpen;
        public final int maxAttempts;
        public final boolean mayDuplicate;
        public final boolean mayCancel;
        public final boolean mayProbe;
        public final double probeFee;
        public final long maxRetryAfterNs;
        public final boolean tellsStart;
        public final double coldShare;
        public final long warmWithinNs;
        public final double fallMultiple;
        public final long fallNs;
        public final long tickNs;

        private Settings(Builder b) {
            gateways = b.gateways;
            gateway = b.gateway;
            zone = b.zone;
            classes = List.copyOf(b.classes);
            tenants = List.copyOf(b.tenants);
            tableSize = b.tableSize;
            asksForList = b.asksForList;
            droppedStayOpen = b.droppedStayOpen;
            maxAttempts = b.maxAttempts;
            mayDuplicate = b.mayDuplicate;
            mayCancel = b.mayCancel;
            mayProbe = b.mayProbe;
            probeFee = b.probeFee;
            maxRetryAfterNs = b.maxRetryAfterNs;
            tellsStart = b.tellsStart;
            coldShare = b.coldShare;
            warmWithinNs = b.warmWithinNs;
            fallMultiple = b.fallMultiple;
            fallNs = b.fallNs;
            tickNs = b.tickNs;
            deployment =
                    b.fleet.with(
                            Deployment.Sort.TENANT, tenants.stream().map(Tenant::name).toList());
        }

        public static Builder builder() {
            return new Builder();
        }

        /**
         * Starts from settings of a lone gateway that may do everything and is told nothing extra.
         */
        public static final class Builder {
            private int gateways = 1;
            private int gateway;
            private String zone = "";
            private Deployment fleet = Deployment.UNNAMED;
            private List<JobClass> classes = List.of();
            private List<Tenant> tenants = List.of();
            private int tableSize = 4096;
            private boolean asksForList;
            private boolean droppedStayOpen;
            private int maxAttempts = 3;
            private boolean mayDuplicate = true;
            private boolean mayCancel = true;
            private boolean mayProbe;
            private double probeFee;
            private long maxRetryAfterNs;
            private boolean tellsStart;
            private double coldShare = 1;
            private long warmWithinNs;
            private double fallMultiple = 1;
            private long fallNs = 1_000_000_000L;
            private long tickNs = 1_000_000L;

            public Builder gateways(int v) {
                require(v > 0, "gateways must be positive");
                gateways = v;
                return this;
            }

            /** This gateway's number among them, from 0; each has its own. */
            public Builder gateway(int v) {
                gateway = v;
                return this;
            }

            public Builder zone(String v) {
                zone = Objects.requireNonNull(v, "zone");
                return this;
            }

            /** What the deployment calls its tiers, kinds of machine and zones. */
            public Builder named(Deployment.Sort sort, List<String> names) {
                fleet = fleet.with(sort, names);
                return this;
            }

            public Builder classes(List<JobClass> v) {
                require(!v.isEmpty(), "classes must not be empty");
                classes = v;
                return this;
            }

            public Builder tenants(List<Tenant> v) {
                tenants = v;
                return this;
            }

            /**
             * Buckets kept for each kind of bucket; 0 keeps none, so every bucket is always full.
             */
            public Builder tableSize(int v) {
                require(v >= 0, "tableSize must not be negative");
                tableSize = v;
                return this;
            }

            /** The worker list answers only when asked. */
            public Builder asksForList(boolean v) {
                asksForList = v;
                return this;
            }

            /**
             * Only draining binds: a worker that the list drops or calls gone may still be sent to.
             */
            public Builder droppedStayOpen(boolean v) {
                droppedStayOpen = v;
                return this;
            }

            public Builder maxAttempts(int v) {
                require(v > 0, "maxAttempts must be positive");
                maxAttempts = v;
                return this;
            }

            /** Two attempts of one job may be out at once. */
            public Builder mayDuplicate(boolean v) {
                mayDuplicate = v;
                return this;
            }

            public Builder mayCancel(boolean v) {
                mayCancel = v;
                return this;
            }

            /**
             * Workers may be probed; the fee is what one probe for each job would take off the
             * result.
             */
            public Builder probes(boolean may, double fee) {
                require(fee >= 0, "probeFee must not be negative");
                mayProbe = may;
                probeFee = fee;
                return this;
            }

            /** The longest retry-after that clients observe; 0 where they are given none. */
            public Builder maxRetryAfterNs(long v) {
                require(v >= 0, "maxRetryAfterNs must not be negative");
                maxRetryAfterNs = v;
                return this;
            }

            /** Workers tell when a job starts. */
            public Builder tellsStart(boolean v) {
                tellsStart = v;
                return this;
            }

            /**
             * A starting worker can do this part of its work, all of it after {@code warmWithin}.
             */
            public Builder cold(double share, long warmWithin) {
                require(share > 0 && share <= 1, "coldShare must lie above 0 and not above 1");
                require(warmWithin >= 0, "warmWithinNs must not be negative");
                coldShare = share;
                warmWithinNs = warmWithin;
                return this;
            }

            /**
             * A cold worker sent more than this multiple of what it can do for this time falls
             * over.
             */
            public Builder fall(double multiple, long forNs) {
                require(multiple > 0, "fallMultiple must be positive");
                require(forNs > 0, "fallNs must be positive");
                fallMultiple = multiple;
                fallNs = forNs;
                return this;
            }

            /** The shortest time between two events handed over. */
            public Builder tickNs(long v) {
                require(v >= 0, "tickNs must not be negative");
                tickNs = v;
                return this;
            }

            public Settings build() {
                require(!classes.isEmpty(), "classes must not be empty");
                require(
                        gateway >= 0 && gateway < gateways,
                        "gateway must lie between 0 and gateways - 1");
                return new Settings(this);
            }
        }
    }
}
