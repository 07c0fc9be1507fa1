package postgrade.daemon;

import static org.junit.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.Test;
import postgrade.dispatch.Timers;
import postgrade.http.SocketBudget;
import postgrade.http.SystemCalls;

/**
 * Clients choose the deadlines of their jobs. Guards against memory that grows with each answered
 * job until its deadline.
 */
public class EventLoopTimersTest {

    private static final int TIMERS = 100_000;

    @Test
    public void cancelledTimersAreNotKeptUntilTheyAreDue() throws Exception {
        EventLoop loop = new EventLoop(new SocketBudget(10), Clock.of(null), SystemCalls.REAL);
        long inAnHour = loop.nowMicros() + TimeUnit.HOURS.toMicros(1);
        List<Timers.Timer> openTimers = new ArrayList<>();
        for (int i = 0; i < TIMERS; i++) {
            Timers.Timer timer = loop.at(inAnHour, () -> {});
            if (i % 100 == 0) {
                openTimers.add(timer);
            } else {
                timer.cancel();
            }
        }
        assertTrue(loop.timerCount() + " are kept", loop.timerCount() >= openTimers.size());
        assertTrue(loop.timerCount() + " are kept", loop.timerCount() < 5 * openTimers.size());
    }
}
