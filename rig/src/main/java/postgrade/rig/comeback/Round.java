package postgrade.rig.comeback;

import java.util.Set;

/**
 * Times of one round: the beginning of steady load, the kill, the readiness of the last killed
 * dispatcher, and the end.
 *
 * @param killed the dispatchers that were killed at once
 */
record Round(
        String mode, int number, long begin, long kill, long ready, long end, Set<String> killed) {}
