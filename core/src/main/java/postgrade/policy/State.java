package postgrade.policy;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.stream.DoubleStream;
import postgrade.policy.api.Job;
import postgrade.policy.api.JobClass;
import postgrade.policy.api.WorkerInfo;

/**
 * What {@link Decide} remembers: plain records and counts of one gateway. Nothing is decided here.
 */
final class State {

    /** Running time of a class of which no job has been served yet. */
    static final double UNKNOWN_NS = 1e9;

    private State() {}

    /** Spreads the bits of a value evenly. */
    static long mix(long v) {
        long z = (v ^ (v >>> 30)) * 0xbf58476d1ce4e5b9L;
        z = (z ^ (z >>> 27)) * 0x94d049bb133111ebL;
        return z ^ (z >>> 31);
    }

    /** A kind of machine. */
    static final class Kind {
        double slots;
        double pace = 1;
        long served;

        /** How long our latest jobs waited at workers of this kind before they started. */
        double waitedNs;

        void forget() {
            slots = 0;
            pace = 1;
            served = 0;
            waitedNs = 0;
        }
    }

    /** A worker as this gateway sees it. */
    static final class Node {
        final String id;
        final long hash;
        final Kind kind;
        WorkerInfo info;

        /** May be sent to, as far as the list binds; and whether the newest list names it ready. */
        boolean ready;

        boolean listed;
        long drainedNs;
        long bornNs;
        int own;
        double used;
        double memory;
        double usedAverage;
        long usedAtNs;
        double room = Double.NaN;
        long roomAtNs;
        long fullNs = Long.MIN_VALUE / 2;
        double failures;
        double waitedNs;
        long waitedAtNs;
        double pace = 1;
        double paced;
        int ejections;

        /** Put back by an operator and not yet sent to. */
        boolean untried;

        long ejectedUntilNs;
        private final ArrayDeque<double[]> coldSends = new ArrayDeque<>();
        private double coldSpent;

        Node(String id, Kind kind) {
            this.id = id;
            this.kind = kind;
            hash = mix(id.hashCode());
        }

        /** What we held there {@code lagNs} ago, about. */
        void averageUsed(long nowNs, double lagNs) {
            double keep = Math.exp(-(nowNs - usedAtNs) / lagNs);
            usedAverage = usedAverage * keep + used * (1 - keep);
            usedAtNs = nowNs;
        }

        /** It is a new process: nothing is held against it, and nothing of its pace is known. */
        void forget() {
            failures = 0;
            ejections = 0;
            ejectedUntilNs = 0;
            waitedNs = 0;
            pace = 1;
            paced = 0;
            room = Double.NaN;
            fullNs = Long.MIN_VALUE / 2;
        }

        void waited(long nowNs, double ns) {
            waitedNs = ns;
            waitedAtNs = nowNs;
        }

        void spendCold(long nowNs, double cost) {
            coldSends.add(new double[] {nowNs, cost});
            coldSpent += cost;
        }

        /**
         * What was sent to it while it was cold and has not been passed over yet: ages and costs in
         * turn, oldest first.
         */
        double[] coldSends(long nowNs) {
            return coldSends.stream()
                    .flatMapToDouble(s -> DoubleStream.of(nowNs - s[0], s[1]))
                    .toArray();
        }

        double coldSpent(long sinceNs) {
            while (!coldSends.isEmpty() && coldSends.peekFirst()[0] <= sinceNs) {
                coldSpent -= coldSends.pollFirst()[1];
            }
            return coldSpent;
        }
    }

    static final class Attempt {
        final Held held;
        final Node node;
        final long sentNs;
        long startedNs = -1;
        boolean ended;
        boolean neverRan;
        boolean called;

        /**
         * Was taken for lost: it counts among what its worker holds only if it starts after all.
         */
        boolean lost;

        Attempt(Held held, Node node, long sentNs) {
            this.held = held;
            this.node = node;
            this.sentNs = sentNs;
        }

        void start(long nowNs) {
            if (lost) {
                held.count(node, 1);
            }
            startedNs = nowNs;
        }
    }

    static final class ClassState {
        final JobClass is;

        /** Of those served, and of one more of the running time that is assumed before any was. */
        double meanNs = UNKNOWN_NS;

        /** Of those served alone: what is assumed says nothing of how fast a worker is. */
        double seenNs;

        double failures;
        long served;

        /**
         * @param former what was learnt of the class under earlier settings, or null
         */
        ClassState(JobClass is, ClassState former) {
            this.is = is;
            if (former != null) {
                meanNs = former.meanNs;
                seenNs = former.seenNs;
                failures = former.failures;
                served = former.served;
            }
        }

        /**
         * @param least the latest job counts for this part at least
         */
        void learn(double ranNs, double least) {
            served++;
            seenNs += Math.max(least, 1.0 / served) * (ranNs - seenNs);
            meanNs += Math.max(least, 1.0 / (served + 1)) * (ranNs - meanNs);
        }

        /** Within so long a job of mean length is in time. */
        double inTimeNs() {
            return is.latencyObjectiveNs() + is.objectivePerServiceTime() * meanNs;
        }
    }

    /** A job until its final answer is given and all its attempts have ended. */
    static final class Held {
        final Job job;
        final ClassState cls;
        final long arrivedNs;
        final long deadlineNs;
        Attempt[] attempts;
        int sent;
        int out;
        int resets;
        boolean withinShare;
        boolean streaming;
        boolean answered;
        long retryAfterNs;

        Held(Job job, ClassState cls, long nowNs, int most) {
            this.job = job;
            this.cls = cls;
            arrivedNs = nowNs;
            deadlineNs = nowNs + job.timeLeftNs();
            attempts = new Attempt[most];
        }

        void begin(long nowNs, Node n) {
            if (sent == attempts.length) {
                attempts = Arrays.copyOf(attempts, sent + 1); // More are allowed than when it came.
            }
            attempts[sent++] = new Attempt(this, n, nowNs);
            out++;
            count(n, 1);
        }

        void end(Attempt a, boolean neverRan) {
            a.ended = true;
            a.neverRan = neverRan;
            out--;
            if (!a.lost || a.startedNs >= 0) {
                count(a.node, -1);
            }
        }

        void lose(Attempt a) {
            a.lost = true;
            count(a.node, -1);
        }

        private void count(Node n, int jobs) {
            n.own += jobs;
            n.used += jobs * job.slots();
            n.memory += jobs * job.memory();
        }

        /** The attempt of this number, if the job is known and the attempt is still out. */
        static Attempt running(Held h, int attempt) {
            return h == null || attempt < 0 || attempt >= h.sent || h.attempts[attempt].ended
                    ? null
                    : h.attempts[attempt];
        }
    }

    /** A sum that fades within about a second. */
    static final class Fading {
        private double sum;
        private long atNs;

        double perSecond(long nowNs) {
            return sum * Math.exp((atNs - nowNs) / 1e9);
        }

        void add(long nowNs, double amount) {
            sum = perSecond(nowNs) + amount;
            atNs = nowNs;
        }
    }

    static final class Bucket {
        double tokens;
        double demandPerS;
        double failures;
        long atNs;

        Bucket(double tokens, long nowNs) {
            this.tokens = tokens;
            atNs = nowNs;
        }
    }

    /** Forgets the least recently used entry beyond its size. */
    static final class Table<V> extends LinkedHashMap<String, V> {
        private static final long serialVersionUID = 1L;
        private final int most;

        Table(int most) {
            super(16, 0.75f, true);
            this.most = most;
        }

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, V> eldest) {
            return size() > most;
        }
    }
}
