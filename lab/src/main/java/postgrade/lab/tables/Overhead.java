package postgrade.lab.tables;

import java.io.IOException;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import org.HdrHistogram.Histogram;
import postgrade.fleet.check.LedgerReader;
import postgrade.fleet.check.LedgerReader.Line;

/**
 * What the way through a dispatcher adds: of each request served, the time from its sending to its
 * answer less the time that its worker had it. One clock serves all ledgers, so the two can be
 * subtracted.
 */
public final class Overhead {

    private static final long MOST = 600_000_000;

    private Overhead() {}

    /** In microseconds, of the requests served by their first attempt. */
    public static Histogram of(Path folder) throws IOException {
        Map<String, Long> received = new HashMap<>();
        Map<String, Long> had = new HashMap<>();
        Map<String, Integer> attempts = new HashMap<>();
        for (Line l : LedgerReader.read(folder.resolve("workers.ledger"))) {
            if (l.event().equals("received")) {
                received.put(l.id(), l.micros());
                attempts.merge(l.id(), 1, Integer::sum);
            } else if (l.event().equals("done") && received.containsKey(l.id())) {
                had.put(l.id(), l.micros() - received.get(l.id()));
            }
        }
        Map<String, Long> sent = new HashMap<>();
        Histogram added = new Histogram(MOST, 3);
        for (Line l : LedgerReader.read(folder.resolve("clients.ledger"))) {
            if (l.event().equals("sent")) {
                sent.put(l.id(), l.micros());
            } else if (l.event().equals("answer")
                    && l.number("status") == 200
                    && sent.containsKey(l.id())
                    && had.containsKey(l.id())
                    && attempts.get(l.id()) == 1) {
                added.recordValue(
                        Math.max(
                                0,
                                Math.min(MOST, l.micros() - sent.get(l.id()) - had.get(l.id()))));
            }
        }
        return added;
    }
}
