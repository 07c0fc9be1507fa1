package postgrade.http;

import static org.junit.Assert.assertEquals;

import org.junit.Test;

/**
 * How long unread bytes may have been in a socket buffer. The waits of the event loop end at 100,
 * 200, 300 and so on.
 */
public class ArrivalTimesTest {

    private final ArrivalTimes times = new ArrivalTimes(50, 100);

    /** The wait that ended at 200 was the first during which the socket was polled. */
    @Test
    public void firstReadMayReturnBytesFromBeforeWatchBegan() {
        assertEquals(50, times.beforeRead(100, 100));
    }

    @Test
    public void bytesNotReportedByAWaitArrivedAfterIt() {
        assertEquals(200, times.beforeRead(200, 200));
        assertEquals(300, times.beforeRead(300, 300));
    }

    /** A wait ends when it has something to report, however long nothing was ready before. */
    @Test
    public void bytesThatEndALongWaitArrivedAtItsEnd() {
        assertEquals(290, times.beforeRead(200, 290));
    }

    @Test
    public void fullReadMarksTheSocketEmpty() {
        times.afterRead(300, true);
        assertEquals(300, times.beforeRead(200, 200));
    }

    @Test
    public void partialReadLeavesTheSocketNotEmptyAtTheNextWait() {
        assertEquals(200, times.beforeRead(200, 200));
        times.afterRead(300, false);
        assertEquals(200, times.beforeRead(300, 300));
    }

    @Test
    public void unwatchedSocketIsNotKnownToBeEmpty() {
        times.afterRead(300, true);
        times.watch(300, false);
        times.watch(900, true);
        assertEquals(300, times.beforeRead(900, 900));
        assertEquals(1000, times.beforeRead(1000, 1000));
    }
}
