package postgrade.quorum;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertThrows;
import static org.junit.Assert.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import org.junit.Rule;
import org.junit.Test;
import org.junit.rules.TemporaryFolder;
import postgrade.quorum.settings.QuorumSettings;
import postgrade.quorum.settings.SharingFile;

public class SharingFileTest {

    private static final String VOTERS =
            "voters = [voter('a', '127.0.0.1', 7301), voter('b', '127.0.0.1', 7302), "
                    + "voter('c', '127.0.0.1', 7303)]\n";

    @Rule public final TemporaryFolder folder = new TemporaryFolder();

    @Test
    public void shippedFileConfiguresVotersAndObservers() {
        Path shipped = Path.of("..", "deploy", "sharing.star");
        QuorumSettings a = SharingFile.read(shipped, "a", line -> {});
        assertTrue(a.isVoter());
        assertEquals(Path.of("var/sharing/a"), a.store());
        assertEquals(2_000_000, a.maxViewAgeMicros());
        assertFalse(SharingFile.read(shipped, "gateway-7", line -> {}).isVoter());
    }

    @Test
    public void errorsNameFileAndKey() throws Exception {
        Map<String, String> errorsByScript =
                Map.of(
                        VOTERS + "store = 's'",
                        "sharing.star: name: is missing: this process needs a name of its own",
                        VOTERS + "name = 'a'",
                        "sharing.star: store: is missing, and a is a voter",
                        VOTERS + "name = 'o'\npuls_ms = 3",
                        "sharing.star: puls_ms: is no setting; names of one's own begin with _",
                        VOTERS + "name = 'o'\npull_ms = 1 << 70",
                        "sharing.star: pull_ms: must lie between 10 and 10000, not 2147483647",
                        VOTERS + "name = 'o'\nview_age_ms = 300",
                        "sharing.star: view_age_ms: must lie between 500 and 600000, not 300",
                        VOTERS + "name = 'no good'",
                        "sharing.star: name: must be 1 to 64 letters, digits, dots, dashes or underscores",
                        "name = 'o'\nvoters = ['a']",
                        "sharing.star: voters: must hold voter(name, host, port), not string",
                        "name = 'o'\nvoters = [voter('a', '127.0.0.1', 1), voter('b', '127.0.0.1', 2)]",
                        "sharing.star: voters: must be 3 or 5 voters, or 1 for a trial, not 2");
        for (Map.Entry<String, String> e : errorsByScript.entrySet()) {
            assertEquals(e.getValue(), errorMessage(e.getKey()));
        }
        assertEquals(
                "sharing.star:2:16: voters: a: host must be a loopback address, not 192.0.2.1",
                errorMessage("name = 'o'\nvoters = [voter('a', '192.0.2.1', 7301)]"));
    }

    private String errorMessage(String text) throws Exception {
        Path file = folder.getRoot().toPath().resolve("sharing.star");
        Files.writeString(file, text + "\n");
        return assertThrows(RuntimeException.class, () -> SharingFile.read(file)).getMessage();
    }
}
