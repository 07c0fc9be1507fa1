package postgrade.load.imports;

import java.io.Closeable;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;

/**
 * Puts records into the order of time in bounded memory. Logs are nearly in order, so a run goes on
 * as long as what comes is no older than what was written; older ones gather for a run of their
 * own. Runs are merged at the end.
 */
final class Sorter implements Closeable {

    private final int room;
    private final Path folder;
    private final List<Path> files = new ArrayList<>();
    private List<Record> held = new ArrayList<>();
    private final List<Record> late = new ArrayList<>();
    private Spool.Writer run;
    private long written = Long.MIN_VALUE;
    private boolean spilled;

    /**
     * @param room so many records are held in memory; twice as many at the most
     */
    Sorter(int room) throws IOException {
        this.room = room;
        folder = Files.createTempDirectory("postgrade-import");
    }

    void add(Record r) throws IOException {
        if (r.at < written) {
            late.add(r);
            if (late.size() >= room) {
                spillLate();
            }
            return;
        }
        held.add(r);
        if (held.size() >= room) {
            held.sort(Record::compare);
            if (run == null) {
                run = next();
                spilled = true;
            }
            List<Record> older = held.subList(0, room / 2);
            for (Record o : older) {
                run.add(o);
            }
            written = held.get(room / 2 - 1).at;
            held = new ArrayList<>(held.subList(room / 2, held.size()));
        }
    }

    private Spool.Writer next() throws IOException {
        Path file = folder.resolve("run" + files.size());
        files.add(file);
        return new Spool.Writer(file);
    }

    private void spillLate() throws IOException {
        late.sort(Record::compare);
        try (Spool.Writer w = next()) {
            for (Record r : late) {
                w.add(r);
            }
        }
        late.clear();
    }

    /** Takes records in the order of time. */
    interface Taker {
        void take(Record r) throws IOException;
    }

    /** Gives out all records, in order. Nothing may be added any more. */
    void drain(Taker taker) throws IOException {
        held.sort(Record::compare);
        if (!spilled && files.isEmpty()) {
            late.addAll(held);
            late.sort(Record::compare);
            for (Record r : late) {
                taker.take(r);
            }
            return;
        }
        if (run != null) {
            for (Record r : held) {
                run.add(r);
            }
            run.close();
            held.clear();
        }
        if (!late.isEmpty()) {
            spillLate();
        }
        merge(taker);
    }

    /** One run and the record that is next in it. */
    private record Head(Record record, Spool.Reader reader) {}

    private void merge(Taker taker) throws IOException {
        PriorityQueue<Head> heads =
                new PriorityQueue<>((a, b) -> Record.compare(a.record, b.record));
        List<Spool.Reader> readers = new ArrayList<>();
        try {
            for (Path file : files) {
                Spool.Reader reader = new Spool.Reader(file);
                readers.add(reader);
                Record first = reader.next();
                if (first != null) {
                    heads.add(new Head(first, reader));
                }
            }
            while (heads.size() > 1) {
                Head h = heads.poll();
                taker.take(h.record);
                Record next = h.reader.next();
                if (next != null) {
                    heads.add(new Head(next, h.reader));
                }
            }
            if (!heads.isEmpty()) { // Most imports have one run.
                Head h = heads.poll();
                for (Record r = h.record; r != null; r = h.reader.next()) {
                    taker.take(r);
                }
            }
        } finally {
            for (Spool.Reader reader : readers) {
                reader.close();
            }
        }
    }

    @Override
    public void close() throws IOException {
        if (run != null) {
            run.close();
        }
        for (Path file : files) {
            Files.deleteIfExists(file);
        }
        Files.deleteIfExists(folder);
    }
}
