package postgrade.simulation.model;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import postgrade.policy.api.PolicyStateEntry;
import postgrade.recovery.LearntSnapshot;
import postgrade.recovery.LearntSnapshotFormat;
import postgrade.recovery.UnusableSnapshotException;
import postgrade.simulation.check.Checks;

/**
 * A dispatcher's own snapshot: written now and then, and torn, flipped, aged or swapped while it is
 * dead.
 */
final class Disk {

    private static final long SAVE = 5_000_000;

    private final World world;
    private final String owner;
    private final Checks checks;
    private final Set<Integer> written = new HashSet<>();
    private final List<byte[]> copies = new ArrayList<>();
    private byte[] file;
    private long wall = 1_700_000_000_000_000L;
    private long savedAt;
    private double tokens = 1;

    Disk(World world, String owner, Checks checks) {
        this.world = world;
        this.owner = owner;
        this.checks = checks;
    }

    /** The wall clock is set by someone. */
    void jump() {
        wall += world.between(-40_000_000, 40_000_000);
    }

    void turn(long local, double factor) {
        tokens = Math.min(2, tokens + factor * 0.01);
        if (local - savedAt < SAVE) {
            return;
        }
        savedAt = local;
        tokens = world.random.nextDouble() * 2;
        LearntSnapshot memory =
                LearntSnapshot.capture(
                        owner,
                        wall + local,
                        0.9,
                        List.of(
                                new PolicyStateEntry(
                                        "tenant", "shop", new double[] {tokens, 10, 1, 0}),
                                new PolicyStateEntry(
                                        "worker",
                                        "w1",
                                        new double[] {3, 1e9, 1, 1.2, 4, 1e6, 1e9, 1e9, 0})),
                        Map.of("w1", world.now() / 20_000_000));
        file = LearntSnapshotFormat.write(memory);
        written.add(Arrays.hashCode(file));
        copies.add(file);
    }

    void killed() {
        savedAt = 0;
        if (file == null) {
            return;
        }
        if (world.chance(0.2)) {
            file = Arrays.copyOf(file, world.random.nextInt(file.length));
        } else if (world.chance(0.2)) {
            file = file.clone();
            file[world.random.nextInt(file.length)] ^= (byte) (1 << world.random.nextInt(8));
        } else if (world.chance(0.2)) {
            file = world.any(copies);
        }
    }

    /** Whether there is something to go by. */
    boolean load(long local) {
        savedAt = local;
        if (file == null) {
            return false;
        }
        try {
            LearntSnapshot memory = LearntSnapshotFormat.read(file, owner, wall + local);
            if (!written.contains(Arrays.hashCode(file))) {
                checks.violation("%s went by a snapshot that was never written so", owner);
            }
            long started = world.now() / 20_000_000;
            for (PolicyStateEntry l : memory.trustedEntries(wall + local, Map.of("w1", started))) {
                judge(memory, l, started);
            }
            checks.count("snapshots gone by");
            return true;
        } catch (UnusableSnapshotException e) {
            checks.count("snapshots put aside, " + e.fault());
            return false;
        }
    }

    private void judge(LearntSnapshot memory, PolicyStateEntry now, long started) {
        LearntSnapshot.Entry was =
                memory.entries().stream()
                        .filter(f -> f.learnt().category().equals(now.category()))
                        .findFirst()
                        .orElseThrow();
        if (now.category().equals("tenant") && now.values()[0] != was.learnt().values()[0]) {
            checks.violation(
                    "%s came back with %.3f tokens, not %.3f",
                    owner, now.values()[0], was.learnt().values()[0]);
        }
        if (now.category().equals("worker") && started > was.startedMillis()) {
            checks.violation("%s went by figures of a worker that was restarted since", owner);
        }
    }
}
