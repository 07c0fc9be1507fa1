package postgrade.sharing.settings;

import java.nio.file.Path;
import java.util.Map;
import java.util.Set;
import postgrade.sharing.window.WindowSettings;

/**
 * What a process does with the shared state, beside how it comes by it.
 *
 * @param memory folder of what was learnt, or null where it is not kept
 * @param places over how many processes the rates are split; 0 for as many as the dispatchers' own
 *     settings say
 * @param floorShare what a place keeps for ever, and {@code cutOffShare} what one long cut off
 *     serves by, both in millionths of the even share
 * @param accelerators of a worker of each kind that has some, with a version that grows with each
 *     change of them
 * @param reserving classes whose jobs use reserved accelerators
 * @param windows of classes that have some
 * @param returnMultiple of the steady rate, at which all together connect to workers at most
 * @param lends reserved accelerators to jobs that may be repeated and end before the holder needs
 *     them
 */
public record SharingSettings(
        Path memory,
        long memoryEveryMicros,
        int places,
        long leaseMicros,
        long lingerMicros,
        long floorShare,
        long cutOffShare,
        long viewAgeMicros,
        Map<String, Integer> accelerators,
        long acceleratorsVersion,
        Set<String> reservingClasses,
        boolean lends,
        WindowSettings windows,
        double returnMultiple) {}
