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

/** Faults on what a process has stored. Done while it is dead, or under it. */
public final class DiskFaults {

    private DiskFaults() {}

    /** Nothing is left; the folder itself stays. */
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

    /** The files below a folder, in one order. */
    public static List<Path> files(Path store) throws IOException {
        try (Stream<Path> tree = Files.walk(store)) {
            return tree.filter(p -> Files.isRegularFile(p, LinkOption.NOFOLLOW_LINKS))
                    .sorted()
                    .toList();
        }
    }

    /** Turns bits of so many bytes of a file over, at places that the seed names. */
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

    /** Leaves the first part of a file. */
    public static void truncate(Path file, double fraction) throws IOException {
        try (RandomAccessFile target = new RandomAccessFile(file.toFile(), "rw")) {
            target.setLength((long) (target.length() * fraction));
        }
    }

    /** Keeps a copy of a store, to be rolled back to. */
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

    /** Puts an earlier copy in the store's place. */
    public static void rollBack(Path store, Path earlier) throws IOException {
        copy(earlier, store);
    }

    /**
     * Takes the right to write away, or gives it back. For a program that runs as the system's own
     * user the rights of files do not count: it is held up by {@link
     * postgrade.rig.process.Program.Start#fileLimit} of 0 instead.
     */
    public static void setReadOnly(Path store, boolean readOnly) throws IOException {
        try (Stream<Path> tree = Files.walk(store)) {
            for (Path p : tree.toList()) {
                if (!p.toFile().setWritable(!readOnly, false)) {
                    throw new IOException(p + " keeps its rights");
                }
            }
        }
    }
}
