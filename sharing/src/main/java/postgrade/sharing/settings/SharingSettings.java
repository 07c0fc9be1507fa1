package postgrade.sharing.settings;

import java.nio.file.Path;
import java.util.Map;
import java.util.Set;
import postgrade.sharing.window.WindowSettings;

/**
 * How a process uses the shared state. How it connects to it is in {@link
 * postgrade.quorum.settings.QuorumSettings}.
 *
 * @param snapshotFolder the folder for what was learnt, or null if it is not saved
 * @param snapshotIntervalMicros the interval between snapshots
 * @param places the number of processes over which the rates are split; 0 for the number in the
 *     dispatchers' own settings
 * @param leaseMicros how long a membership lasts after a renewal
 * @param lingerMicros how long the place of a silent member is kept after its lease
 * @param floorShare the share that a place always keeps, in millionths of the even share
 * @param cutOffShare the share that a member uses after it has been unreachable for long, in
 *     millionths of the even share
 * @param maxViewAgeMicros the greatest age at which the view is used
 * @param accelerators the accelerators of a worker by its kind
 * @param acceleratorsVersion the version of the accelerators, which grows with each change of them
 * @param reservingClasses classes whose jobs use reserved accelerators
 * @param lendsReserved whether reserved accelerators are lent to jobs that may be repeated and end
 *     before the holder needs them
 * @param windows the start windows of classes that have some
 * @param connectRateMultiple the greatest rate at which all processes together connect to workers,
 *     as a multiple of the steady rate
 */
public record SharingSettings(
        Path snapshotFolder,
        long snapshotIntervalMicros,
        int places,
        long leaseMicros,
        long lingerMicros,
        long floorShare,
        long cutOffShare,
        long maxViewAgeMicros,
        Map<String, Integer> accelerators,
        long acceleratorsVersion,
        Set<String> reservingClasses,
        boolean lendsReserved,
        WindowSettings windows,
        double connectRateMultiple) {}
