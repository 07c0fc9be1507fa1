package postgrade.rig.comeback;

import java.util.Set;

/**
 * One round's times: steady from then on, the kill, when the last of the killed was ready, and its
 * end.
 *
 * @param killed the dispatchers that were killed at once
 */
record Round(
        String mode, int number, long begin, long kill, long ready, long end, Set<String> killed) {}
