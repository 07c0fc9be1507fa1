package postgrade.dispatch;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import org.junit.Test;

/** A repeated id is recognised for at least a generation of ids, in bounded memory. */
public class RecentRequestIdsTest {

    private final RecentRequestIds ids = new RecentRequestIds();

    @Test
    public void theLastGenerationOfIdsIsKnownAndTheNumberIsBounded() {
        int count = 5 * RecentRequestIds.IDS_PER_GENERATION / 2;
        for (int i = 0; i < count; i++) {
            ids.add(RecentRequestIds.fingerprint("id" + i));
            ids.add(RecentRequestIds.fingerprint("id" + i));
        }
        for (int i = count - RecentRequestIds.IDS_PER_GENERATION; i < count; i++) {
            assertTrue("id" + i, ids.contains(RecentRequestIds.fingerprint("id" + i)));
        }
        assertFalse(ids.contains(RecentRequestIds.fingerprint("id0")));
        assertEquals(3 * RecentRequestIds.IDS_PER_GENERATION / 2, ids.fingerprints().length);
    }
}
