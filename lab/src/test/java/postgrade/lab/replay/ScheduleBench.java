package postgrade.lab.replay;

import io.netty.channel.nio.NioEventLoopGroup;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;

/**
 * How well the schedule is kept, against a target that is never the bottleneck: TRACE FOLDER
 * SECONDS [REHEARSAL].
 */
public final class ScheduleBench {

    private ScheduleBench() {}

    public static void main(String[] args) throws Exception {
        NioEventLoopGroup group = new NioEventLoopGroup(2);
        ReplayOptions o = new ReplayOptions();
        o.trace = Path.of(args[0]);
        o.folder = Path.of(args[1]);
        o.targets = List.of(Rehearsal.sink(group, 20));
        o.mostMicros = (long) (Double.parseDouble(args[2]) * 1e6);
        o.rehearsalSeconds = args.length > 3 ? Double.parseDouble(args[3]) : o.rehearsalSeconds;
        ReplayResult r = Replay.run(o);
        System.out.printf(
                Locale.ROOT,
                "sent %d in %.2f s, within 1 ms %.3f%%; lateness p50 %.3f p99 %.3f p99.9 %.3f most "
                        + "%.3f ms%n",
                r.sent.sum(),
                r.seconds(),
                100.0 * (r.sent.sum() - r.late.sum()) / r.sent.sum(),
                r.lateness.getValueAtPercentile(50) / 1000.0,
                r.lateness.getValueAtPercentile(99) / 1000.0,
                r.lateness.getValueAtPercentile(99.9) / 1000.0,
                r.lateness.getMaxValue() / 1000.0);
        System.exit(0);
    }
}
