package postgrade.rig.schedule;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertNotEquals;
import static org.junit.Assert.assertThrows;
import static org.junit.Assert.assertTrue;

import org.junit.Test;
import postgrade.script.ScriptError;

public class FaultScheduleTest {

    private static final String STEPS =
            """
            steps = [
                step(0.5, "kill", ["n1", "n2", "n3"], times = 20, gap = 1, jitter = 0.25),
                step(0.1, "cut", "n1", to = "n2", after = "n1 leader"),
            ]
            """;

    @Test
    public void sameSeedGivesTheSameSchedule() {
        FaultSchedule schedule = FaultSchedule.of("a.star", "seed = 3\n" + STEPS);
        assertEquals(schedule.steps(), FaultSchedule.of("b.star", "seed = 3\n" + STEPS).steps());
        assertNotEquals(schedule.steps(), FaultSchedule.of("c.star", "seed = 4\n" + STEPS).steps());
        assertEquals(new Step(100_000, "n1 leader", "cut", "n1", "n2", 0), schedule.steps().get(0));
        assertEquals(21, schedule.steps().size());
    }

    @Test
    public void unknownActionIsNamedInTheError() {
        ScriptError e =
                assertThrows(
                        ScriptError.class,
                        () -> FaultSchedule.of("a.star", "steps = [step(1, \"burn\", \"n1\")]"));
        assertTrue(e.getMessage(), e.getMessage().contains("there is no fault burn"));
    }
}
