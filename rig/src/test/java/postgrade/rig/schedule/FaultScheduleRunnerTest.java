package postgrade.rig.schedule;

import static org.junit.Assert.assertEquals;

import java.util.List;
import org.junit.Rule;
import org.junit.Test;
import postgrade.rig.KeptFolder;
import postgrade.rig.cluster.Cluster;
import postgrade.rig.history.History.Event;
import postgrade.rig.process.Echo;
import postgrade.rig.process.JavaProcess;

public class FaultScheduleRunnerTest {

    @Rule public final KeptFolder folder = new KeptFolder("player");

    @Test
    public void stepsFollowTheirTimesAndEvents() throws Exception {
        FaultSchedule schedule =
                FaultSchedule.of(
                        "t.star",
                        """
                steps = [
                    step(0, "kill", "e1"),
                    step(0.01, "start", "e1", after = "e1 ended"),
                    step(0.02, "kill", "e2", after = "e1 up"),
                ]
                """);
        try (Cluster cluster = new Cluster(folder.path(), List.of("e1", "e2"), List.of())) {
            cluster.setProcessFactory(name -> new JavaProcess.Builder(name, Echo.class.getName()));
            cluster.start("e1").await("up", 0, 20_000);
            cluster.start("e2").await("up", 0, 20_000);
            FaultScheduleRunner.run(schedule, cluster);
            cluster.process("e2").await("ended", 0, 20_000);
            List<String> faults =
                    cluster.history().all().stream()
                            .filter(e -> e.kind().equals("step"))
                            .map(e -> e.text("do") + " " + e.text("who"))
                            .toList();
            assertEquals(List.of("kill e1", "start e1", "kill e2"), faults);
            List<Event> eventsOfE1 =
                    cluster.history().all().stream().filter(e -> e.who().equals("e1")).toList();
            assertEquals(
                    List.of("begun", "up", "fault.kill", "ended", "begun", "up"),
                    eventsOfE1.stream().map(Event::kind).toList());
        }
    }
}
