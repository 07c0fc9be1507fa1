package postgrade.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import postgrade.fleet.check.RuleChecker;
import postgrade.lab.demo.Demo;

class DemoTest {

    @TempDir private Path folder;

    @Test
    void aShortDemoRunsWholeAndBreaksNoRule() throws Exception {
        List<String> told = new ArrayList<>();
        Demo.Outcome end = Demo.run(folder.resolve("d"), 2, 5, 30, told::add);
        assertEquals(
                List.of(), RuleChecker.judge(folder.resolve("d"), ReplayTest.SLACK).violations);
        assertTrue(
                end.replay().served.sum() > 0, "some are served; how many depends on the machine");
        assertTrue(Files.size(end.report()) > 10_000);
        assertTrue(told.get(0).contains("friday.har"), told.toString());
        assertThrows(
                IllegalArgumentException.class,
                () -> Demo.run(folder.resolve("d"), 2, 5, 30, told::add));
    }
}
