package postgrade.sharing;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertThrows;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.ServiceLoader;
import org.junit.Rule;
import org.junit.Test;
import org.junit.rules.TemporaryFolder;
import postgrade.extension.DispatcherExtension;
import postgrade.sharing.settings.SharingSettingsFile;

/** The settings file of sharing: accepted settings and error messages. */
public class SharingSettingsFileTest {

    private static final String VOTERS = "voters = [voter('a', '127.0.0.1', 7301)]\nstore = 's'\n";

    @Rule public final TemporaryFolder folder = new TemporaryFolder();

    private Path file(String text) throws Exception {
        return Files.writeString(
                folder.getRoot().toPath().resolve("sharing.star"), VOTERS + text + "\n");
    }

    @Test
    public void shippedFileIsValidAsItIsAndWithAllSettingsUncommented() throws Exception {
        Path shipped = Path.of("..", "deploy", "sharing.star");
        SharingSettingsFile.Contents plain = SharingSettingsFile.read(shipped, "a");
        assertEquals(Path.of("var", "sharing", "a"), plain.sharing().snapshotFolder());
        assertEquals(
                Path.of("var", "sharing", "n7"),
                SharingSettingsFile.read(shipped, "n7").sharing().snapshotFolder());
        String all = Files.readString(shipped);
        String from = all.substring(all.indexOf("# ---- What `serve`"));
        // A comment of the form "name = value" is a setting that is commented out, and so are the
        // lines that continue it in brackets.
        StringBuilder in = new StringBuilder();
        boolean open = false;
        for (String line : from.lines().toList()) {
            if (open || line.matches("# [a-z_]+ = .*")) {
                in.append(line.substring(2)).append('\n');
                open =
                        in.chars().filter(c -> c == '(').count()
                                > in.chars().filter(c -> c == ')').count();
            }
        }
        SharingSettingsFile.Contents full = SharingSettingsFile.read(file(in.toString()), "a");
        assertEquals(plain.sharing().leaseMicros(), full.sharing().leaseMicros());
        assertEquals(plain.sharing().floorShare(), full.sharing().floorShare());
        assertEquals(plain.sharing().snapshotFolder(), full.sharing().snapshotFolder());
        assertEquals(4, (int) full.sharing().accelerators().get("route-box"));
        assertEquals(List.of("zagreb-south"), full.sharing().windows().classes().get(0).sites());
        assertEquals(60_000, full.sharing().windows().classes().get(0).declaredMillis());
    }

    @Test
    public void errorsNameTheFileAndTheKey() throws Exception {
        String[][] faulty = {
            {"lease_s = 1", "sharing.star: lease_s: must lie between 4 and 3600"},
            {"floor = 'x'", "sharing.star: floor: must be a number, not string"},
            {"reserving = 'x'", "sharing.star: reserving: must be a list, not string"},
            {"accelerators = {'m': 0}", "sharing.star: accelerators: m must have 1 to 62, not 0"},
            {"lends = 1", "sharing.star: lends: must be True or False, not int"},
            {"windows = ['price']", "sharing.star: windows: must hold window(...), not string"},
            {
                "windows = [window('p', [])]",
                "sharing.star:3:18: window: sites of class p must not be empty"
            },
            {
                "windows = [window('p', ['s'], until = '25:00')]",
                "sharing.star:3:18: window: Text '25:00' could not be parsed: Invalid value for HourOfDay "
                        + "(valid values 0 - 23): 25"
            },
            {
                "leese_s = 7",
                "sharing.star: leese_s: is no setting; names of one's own begin with _"
            },
        };
        for (String[] f : faulty) {
            Path file = file(f[0]);
            assertEquals(
                    f[1],
                    assertThrows(RuntimeException.class, () -> SharingSettingsFile.read(file, "a"))
                            .getMessage());
        }
    }

    @Test
    public void factoryIsFoundByServiceLoader() throws Exception {
        DispatcherExtension.Factory finder =
                ServiceLoader.load(DispatcherExtension.Factory.class).findFirst().orElseThrow();
        assertEquals(SharingExtensionFactory.class, finder.getClass());
        Path file = file("pull_ms = [");
        assertThrows(IllegalArgumentException.class, () -> finder.read(file, "a"));
    }
}
