package postgrade.load.generate;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.PriorityQueue;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ContinuousSampler;
import org.apache.commons.rng.sampling.distribution.DiscreteSampler;
import org.apache.commons.rng.sampling.distribution.InverseTransformParetoSampler;
import org.apache.commons.rng.sampling.distribution.LogNormalSampler;
import org.apache.commons.rng.sampling.distribution.RejectionInversionZipfSampler;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import org.apache.commons.rng.simple.RandomSource;
import postgrade.trace.TraceJob;
import postgrade.trace.TraceWriter;
import postgrade.trace.wire.Header;
import postgrade.trace.wire.Source;

/**
 * Makes a trace shaped like a Friday afternoon: a rising trend with an evening peak, bursts, shops
 * of unequal size, keys of which few are frequent, bodies and answers with a heavy tail, and
 * clients that try again. The same options and seed give the same bytes.
 */
public final class Friday {

    /** What to make. The defaults are the operators' day: 94 jobs a second. */
    public static final class Options {
        public long seed = 1;
        public double seconds = 600;

        /** Mean rate of first tries over the whole, in jobs a second. */
        public double rate = 94;

        /** How far the trend swings round the mean, 0 to 1. */
        public double swing = 0.5;

        /** Bursts in each minute, each of 2 to 8 s at 1.5 to 2.3 times the rate. */
        public double burstsPerMinute = 0.5;

        /** Part of the jobs that are recorded as refused or failed, and tried again. */
        public double failing = 0.02;

        public int keys = 20_000;

        /** Unix time of the start, in seconds. */
        public long startSeconds = 1_792_764_000L; // Friday, 23 October 2026, 14:00 UTC.
    }

    /** One class of jobs as the operators describe it. */
    private record Kind(String name, double share, double workMs, long deadlineMicros) {}

    private static final List<Kind> KINDS =
            List.of(
                    new Kind("basket-price", 0.39, 430, 5_000_000),
                    new Kind("slot-check", 0.25, 215, 5_000_000),
                    new Kind("route-plan", 0.23, 845, 10_000_000),
                    new Kind("order-confirm", 0.13, 215, 5_000_000));
    private static final String[] SHOPS = {
        "kvart-market", "zeleni-kos", "pekara-lipa", "mesnica-brod"
    };
    private static final double[] SHARES = {0.45, 0.34, 0.11, 0.10};
    private static final int MOST_RETRIES = 2;
    private static final long MICROS = 1_000_000;

    private record Burst(double from, double to, double factor) {}

    /** A try that is due; retries wait in order of time. */
    private record Due(
            long at, int kind, String shop, String key, int body, long first, int attempt) {}

    private final Options o;
    private final UniformRandomProvider random;
    private final List<Burst> bursts = new ArrayList<>();
    private final DiscreteSampler keys;
    private final ContinuousSampler work;
    private final ContinuousSampler tail;
    private final ContinuousSampler body;

    private Friday(Options options) {
        o = options;
        random = RandomSource.XO_RO_SHI_RO_128_PP.create(o.seed);
        keys = RejectionInversionZipfSampler.of(random, o.keys, 1.05);
        ZigguratSampler.NormalizedGaussian gauss = ZigguratSampler.NormalizedGaussian.of(random);
        work = LogNormalSampler.of(gauss, -0.08, 0.4);
        tail = InverseTransformParetoSampler.of(random, 5, 2.2);
        body = LogNormalSampler.of(gauss, Math.log(300), 0.8);
        double gap = 60 / Math.max(o.burstsPerMinute, 1e-9);
        for (double t = gap * random.nextDouble();
                t < o.seconds;
                t += gap * (0.5 + random.nextDouble())) {
            bursts.add(
                    new Burst(t, t + 2 + 6 * random.nextDouble(), 1.5 + 0.8 * random.nextDouble()));
        }
    }

    /** Writes the trace and returns the number of its jobs. */
    public static long write(Options options, Path out, String madeBy) throws IOException {
        return new Friday(options).write(out, madeBy);
    }

    private double rateAt(double second) {
        double x = second / o.seconds;
        // Rises through the afternoon to a peak at three quarters, and falls off; the mean over the
        // whole is 1.
        double trend = 1 + o.swing * Math.sin(2 * Math.PI * (x - 0.5));
        double burst = 1;
        for (Burst b : bursts) {
            if (second >= b.from && second < b.to) {
                burst = Math.max(burst, b.factor);
            }
        }
        return o.rate * trend * burst;
    }

    private long write(Path out, String madeBy) throws IOException {
        Source source = Source.newBuilder().setName("friday").setFormat("generated").build();
        Header header =
                Header.newBuilder()
                        .setMadeBy(madeBy)
                        .setStartUnixMicros(o.startSeconds * MICROS)
                        .addSources(source)
                        .putNotes("seed", Long.toString(o.seed))
                        .putNotes("rate", String.format(Locale.ROOT, "%.3f", o.rate))
                        .putNotes("seconds", String.format(Locale.ROOT, "%.3f", o.seconds))
                        .build();
        double most = o.rate * (1 + o.swing) * 2.3;
        PriorityQueue<Due> retries = new PriorityQueue<>((a, b) -> Long.compare(a.at, b.at));
        TraceWriter writer = new TraceWriter(out, header);
        try {
            double t = 0;
            while (true) {
                t += -Math.log(1 - random.nextDouble()) / most;
                if (random.nextDouble() * most > rateAt(t)) {
                    continue; // Thinning: keeps arrivals at the rate of their moment.
                }
                long at = (long) (t * MICROS);
                while (!retries.isEmpty()
                        && retries.peek().at <= Math.min(at, (long) (o.seconds * MICROS))) {
                    one(writer, retries.poll(), retries);
                }
                if (t >= o.seconds) {
                    break;
                }
                one(writer, fresh(at), retries);
            }
            writer.close();
            return writer.jobs();
        } finally {
            writer.abandon();
        }
    }

    private Due fresh(long at) {
        int kind = pick(KINDS.stream().mapToDouble(Kind::share).toArray());
        String shop = SHOPS[pick(SHARES)];
        String key = String.format(Locale.ROOT, "%016x", keys.sample() * 0x9e3779b97f4a7c15L);
        return new Due(
                at, kind, shop, key, (int) Math.max(16, Math.min(60_000, body.sample())), 0, 0);
    }

    private int pick(double[] shares) {
        double x = random.nextDouble();
        for (int i = 0; i < shares.length - 1; i++) {
            x -= shares[i];
            if (x < 0) {
                return i;
            }
        }
        return shares.length - 1;
    }

    private void one(TraceWriter writer, Due d, PriorityQueue<Due> retries) throws IOException {
        Kind kind = KINDS.get(d.kind);
        double ms = kind.workMs * work.sample() * (random.nextDouble() < 0.01 ? tail.sample() : 1);
        long duration = Math.min(kind.deadlineMicros, (long) (ms * 1000) + 4000);
        int status = duration >= kind.deadlineMicros ? 504 : 200;
        if (status == 200 && random.nextDouble() < o.failing) {
            status = random.nextInt(4) == 0 ? 502 : 429;
            duration = status == 429 ? 3000 + random.nextInt(2000) : duration / 2;
        }
        long number =
                writer.add(
                        new TraceJob(
                                0,
                                d.at,
                                kind.name,
                                d.shop,
                                d.key,
                                kind.deadlineMicros,
                                d.body,
                                status,
                                duration,
                                d.first,
                                d.attempt,
                                1,
                                0));
        if (status != 200 && d.attempt < MOST_RETRIES && random.nextDouble() < 0.9) {
            long wait = (long) ((0.1 + 0.9 * random.nextDouble()) * MICROS);
            retries.add(
                    new Due(
                            d.at + duration + wait,
                            d.kind,
                            d.shop,
                            d.key,
                            d.body,
                            d.first == 0 ? number : d.first,
                            d.attempt + 1));
        }
    }
}
