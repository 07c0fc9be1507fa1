package postgrade.rig.disk;

import java.io.IOException;
import java.io.RandomAccessFile;
import java.nio.file.Files;
import java.nio.file.LinkOption;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.Stream;

/**
 * Faults in the stored files of a process. They can be injected while it is dead or while it runs.
 */
public final class DiskFaults {

    private DiskFaults() {}

    /** Deletes everything below the folder; the folder itself stays. */
    public static void wipe(Path store) throws IOException {
        if (!Files.exists(store)) {
            return;
        }
        List<Path> all = new ArrayList<>();
        try (Stream<Path> tree = Files.walk(store)) {
            tree.filter(p -> !p.equals(store)).sorted(Comparator.reverseOrder()).forEach(all::add);
        }
        for (Path p : all) {
            Files.delete(p);
        }
    }

    /** Lists the regular files below a folder in sorted order. */
    public static List<Path> files(Path store) throws IOException {
        try (Stream<Path> tree = Files.walk(store)) {
            return tree.filter(p -> Files.isRegularFile(p, LinkOption.NOFOLLOW_LINKS))
                    .sorted()
                    .toList();
        }
    }

    /** Flips one bit in each of several bytes of a file, at positions drawn from the seed. */
    public static void flipBits(Path file, int count, long seed) throws IOException {
        SplittableRandom random = new SplittableRandom(seed);
        try (RandomAccessFile target = new RandomAccessFile(file.toFile(), "rw")) {
            for (int i = 0; i < count && target.length() > 0; i++) {
                long at = random.nextLong(target.length());
                target.seek(at);
                int original = target.read();
                target.seek(at);
                target.write(original ^ (1 << random.nextInt(8)));
            }
        }
    }

    /** Cuts a file off after the given fraction of its length. */
    public static void truncate(Path file, double fraction) throws IOException {
        try (RandomAccessFile target = new RandomAccessFile(file.toFile(), "rw")) {
            target.setLength((long) (target.length() * fraction));
        }
    }

    /** Copies a store, so that it can be rolled back to this state later. */
    public static void copy(Path store, Path to) throws IOException {
        Files.createDirectories(to);
        wipe(to);
        try (Stream<Path> tree = Files.walk(store)) {
            for (Path p : tree.sorted().toList()) {
                Path target = to.resolve(store.relativize(p).toString());
                if (Files.isDirectory(p)) {
                    Files.createDirectories(target);
                } else {
                    Files.copy(p, target);
                }
            }
        }
    }

    /** Replaces the store by an earlier copy. */
    public static void rollBack(Path store, Path earlier) throws IOException {
        copy(earlier, store);
    }

    /**
     * Removes or restores the write permission. File permissions do not bind a process of the
     * superuser; use {@link postgrade.rig.process.JavaProcess.Builder#maxFileKib} with 0 there.
     */
    public static void setReadOnly(Path store, boolean readOnly) throws IOException {
        try (Stream<Path> tree = Files.walk(store)) {
            for (Path p : tree.toList()) {
                if (!p.toFile().setWritable(!readOnly, false)) {
                    throw new IOException(p + ": cannot change the write permission");
                }
            }
        }
    }
}
