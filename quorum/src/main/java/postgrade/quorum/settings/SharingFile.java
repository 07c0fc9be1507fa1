package postgrade.quorum.settings;

import java.math.BigInteger;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import postgrade.quorum.settings.QuorumSettings.InvalidQuorumSettingException;
import postgrade.quorum.settings.QuorumSettings.Voter;
import postgrade.script.Module;
import postgrade.script.Script;
import postgrade.script.Sequence;
import postgrade.script.Values;
import postgrade.script.Values.HostObject;

/**
 * Reads the sharing settings of a process from a script, such as {@code deploy/sharing.star}. One
 * file may serve several processes: each gets its name at start and keeps its store in a folder of
 * that name. Errors name file and key, and the line if the script itself raised them.
 */
public final class SharingFile {

    private static final Set<String> KEYS =
            Set.of(
                    "name",
                    "voters",
                    "store",
                    "view_age_ms",
                    "request_ms",
                    "pull_ms",
                    "heartbeat_ms",
                    "election_ms");

    private record VoterValue(Voter voter) implements HostObject {
        @Override
        public String typeName() {
            return "voter";
        }

        @Override
        public Object attribute(String name) {
            return null;
        }
    }

    private final Module script;
    private final String file;

    private SharingFile(Module script, String file) {
        this.script = script;
        this.file = file;
    }

    /** Reads a file that sets the process's name itself. */
    public static QuorumSettings read(Path file) {
        return read(file, null, line -> {});
    }

    /**
     * Reads a file.
     *
     * @param name of this process, overriding the one in the file; may be null
     * @param printer takes what the script prints
     * @throws IllegalArgumentException with one sentence that names file and key
     * @throws postgrade.script.ScriptError if the script itself fails
     */
    public static QuorumSettings read(Path file, String name, Consumer<String> printer) {
        return read(Script.run(file, scriptFunctions(), printer), file, name, Set.of());
    }

    /** The functions that such a script may call. */
    public static Map<String, Object> scriptFunctions() {
        return Map.of(
                "voter",
                Script.function(
                        "voter", "name host port", arguments -> new VoterValue(voter(arguments))));
    }

    /**
     * Reads from a script that has run, which may also hold settings of other modules.
     *
     * @param otherKeys keys that other modules read
     */
    public static QuorumSettings read(
            Module script, Path file, String name, Set<String> otherKeys) {
        return new SharingFile(script, file.getFileName().toString()).settings(name, otherKeys);
    }

    private static Voter voter(Object[] arguments) {
        if (!(arguments[0] instanceof String name) || !(arguments[1] instanceof String host)) {
            throw Script.error("voter: name and host must be strings");
        }
        try {
            return new Voter(
                    name,
                    host,
                    (int) Math.min(Integer.MAX_VALUE, wholeNumber("port", arguments[2])));
        } catch (InvalidQuorumSettingException e) {
            throw Script.error(e.getMessage());
        }
    }

    private QuorumSettings settings(String givenName, Set<String> otherKeys) {
        for (String global : script.globals()) {
            Object value = script.global(global);
            if (!KEYS.contains(global)
                    && !otherKeys.contains(global)
                    && !global.startsWith("_")
                    && !Values.type(value).equals("function")) {
                throw withFileName(
                        new InvalidQuorumSettingException(
                                global, "is no setting; names of one's own begin with _"));
            }
        }
        try {
            String name = givenName != null ? givenName : text("name");
            if (name == null) {
                throw new InvalidQuorumSettingException(
                        "name", "is missing: this process needs a name of its own");
            }
            String store = text("store");
            return new QuorumSettings(
                    name,
                    0,
                    voters(),
                    store == null ? null : Path.of(store).resolve(name),
                    number("view_age_ms", QuorumSettings.DEFAULT_MAX_VIEW_AGE_MICROS / 1000) * 1000,
                    (int) number("request_ms", QuorumSettings.DEFAULT_REQUEST_TIMEOUT_MILLIS),
                    (int) number("pull_ms", QuorumSettings.DEFAULT_PULL_INTERVAL_MILLIS),
                    (int) number("heartbeat_ms", QuorumSettings.DEFAULT_HEARTBEAT_INTERVAL_MILLIS),
                    (int) number("election_ms", QuorumSettings.DEFAULT_ELECTION_TIMEOUT_MILLIS));
        } catch (InvalidQuorumSettingException e) {
            throw withFileName(e);
        } catch (java.nio.file.InvalidPathException e) {
            throw withFileName(new InvalidQuorumSettingException("store", "is not a valid path"));
        }
    }

    private List<Voter> voters() {
        Object value = script.global("voters");
        if (!(value instanceof Sequence sequence)) {
            throw new InvalidQuorumSettingException(
                    "voters",
                    value == null ? "is missing" : "must be a list, not " + Values.type(value));
        }
        List<Voter> voters = new ArrayList<>();
        for (int i = 0; i < sequence.size(); i++) {
            if (!(sequence.get(i) instanceof VoterValue voterValue)) {
                throw new InvalidQuorumSettingException(
                        "voters",
                        "must hold voter(name, host, port), not " + Values.type(sequence.get(i)));
            }
            voters.add(voterValue.voter);
        }
        return voters;
    }

    private String text(String key) {
        Object value = script.global(key);
        if (value != null && !(value instanceof String)) {
            throw new InvalidQuorumSettingException(
                    key, "must be a string, not " + Values.type(value));
        }
        return (String) value;
    }

    private long number(String key, long defaultValue) {
        Object value = script.global(key);
        return value == null ? defaultValue : wholeNumber(key, value);
    }

    private static long wholeNumber(String key, Object value) {
        if (value instanceof Long || value instanceof Integer) {
            // Keeps the later casts from overflowing: values out of range stay out of range.
            return Math.max(-1, Math.min(Integer.MAX_VALUE, ((Number) value).longValue()));
        }
        if (value instanceof BigInteger) {
            return Integer.MAX_VALUE;
        }
        throw new InvalidQuorumSettingException(
                key, "must be a whole number, not " + Values.type(value));
    }

    private IllegalArgumentException withFileName(InvalidQuorumSettingException e) {
        return new IllegalArgumentException(file + ": " + e.getMessage());
    }
}
