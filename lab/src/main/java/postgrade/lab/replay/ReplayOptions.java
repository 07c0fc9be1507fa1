package postgrade.lab.replay;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** What one replay is to do. Times are microseconds. */
public final class ReplayOptions {
    public Path trace;
    public List<InetSocketAddress> targets = List.of();

    /** Where ledger and results go. */
    public Path folder;

    /** So many times as fast as recorded. */
    public double speed = 1;

    /** Of the trace; only jobs in it are sent. */
    public long fromMicros;

    public long toMicros = Long.MAX_VALUE;

    /** By how much a class's jobs are multiplied; 1 where nothing is said. */
    public Map<String, Double> mix = new HashMap<>();

    /** Classes that must not run twice. */
    public Set<String> neverTwice = new HashSet<>();

    public long seed = 1;

    /** Connections to each target, over all loops. */
    public int mostConnections = 512;

    public int loops = 2;

    /** Rounds of questions on fresh connections before the schedule begins. */
    public int warmRounds = 100;

    /**
     * Of a replay against a sink of our own beforehand, so that the first jobs leave on time; 0 for
     * none.
     */
    public double rehearsalSeconds = 2;

    /** Goes on where a replay into this folder was cut off. */
    public boolean resume;

    /** For jobs that the trace gives no deadline. */
    public long deadlineMicros = 5_000_000;

    /**
     * A client waits for its answer this much beyond the deadline, so that a late one is seen as
     * late.
     */
    public long lingerMicros = 250_000;

    /** Ends the schedule after so much time, whatever is left of the trace. */
    public long mostMicros = Long.MAX_VALUE;

    /** Words for the log as it goes on, once a second; null for none. */
    public java.util.function.Consumer<String> progress;

    /**
     * @throws IllegalArgumentException that names what is wrong
     */
    public void check() {
        require(!targets.isEmpty(), "--target: at least one is needed");
        require(speed > 0 && speed < 1e6, "--speed must be above 0");
        require(fromMicros < toMicros, "--window: its end must lie behind its beginning");
        require(mostConnections > 0, "--connections must be above 0");
        require(loops > 0, "--loops must be above 0");
        mix.forEach(
                (c, f) -> require(f >= 0 && f <= 100, "--mix: " + c + " must be from 0 to 100"));
    }

    private static void require(boolean holds, String what) {
        if (!holds) {
            throw new IllegalArgumentException(what);
        }
    }
}
