package postgrade.rig.process;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import com.eclipsesource.json.ParseException;
import java.io.BufferedReader;
import java.io.Closeable;
import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import postgrade.rig.history.History;

/**
 * A real process that runs a Java program. Each line of its output becomes an event of the history:
 * a line that is a JSON object with a string {@code kind} or {@code event} under that name, any
 * other under the name {@code line}. No process outlives the rig.
 */
public final class JavaProcess implements Closeable {

    private static final Set<Process> RUNNING = ConcurrentHashMap.newKeySet();

    /** A process that should exit by itself may still have to start first on a busy machine. */
    private static final long EXIT_TIMEOUT_SECONDS = 240;

    static {
        Runtime.getRuntime()
                .addShutdownHook(
                        new Thread(
                                () -> RUNNING.forEach(Process::destroyForcibly), "rig shutdown"));
    }

    private final String name;
    private final Process process;
    private final History history;
    private final Thread reader;
    private boolean stopped;

    private JavaProcess(String name, Process process, History history) {
        this.name = name;
        this.process = process;
        this.history = history;
        RUNNING.add(process);
        reader = new Thread(this::read, "output of " + name);
        reader.setDaemon(true);
        reader.start();
    }

    /** Describes the process to start. */
    public static final class Builder {
        private final String name;
        private final List<String> arguments = new ArrayList<>();
        private final Map<String, String> environment = new ConcurrentHashMap<>();
        private String classPath = System.getProperty("java.class.path");
        private List<String> jvmFlags =
                List.of(
                        "-XX:+UseSerialGC",
                        "-XX:TieredStopAtLevel=1",
                        "-Xmx96m",
                        "-XX:-UsePerfData",
                        "-XX:+ExitOnOutOfMemoryError");
        private long maxFileKib = -1;
        private Path folder;

        public Builder(String name, String mainClass, String... arguments) {
            this.name = name;
            this.arguments.add(mainClass);
            this.arguments.addAll(List.of(arguments));
        }

        public Builder classPath(String path) {
            classPath = path;
            return this;
        }

        public Builder jvmFlags(String... flags) {
            jvmFlags = List.of(flags);
            return this;
        }

        public Builder environment(String variable, String value) {
            environment.put(variable, value);
            return this;
        }

        /**
         * Shifts the process's monotonic clock by this offset and drift, if the program supports
         * the test-only setting.
         */
        public Builder testClock(long offsetMicros, long ratePpm) {
            return environment("POSTGRADE_TEST_CLOCK", offsetMicros + "," + ratePpm);
        }

        public Builder folder(Path path) {
            folder = path;
            return this;
        }

        /**
         * Limits the size of each file that the process writes: further writes fail as on a full
         * disk.
         */
        public Builder maxFileKib(long kibibytes) {
            maxFileKib = kibibytes;
            return this;
        }

        public JavaProcess start(History history) throws IOException {
            List<String> command = new ArrayList<>();
            if (maxFileKib >= 0) {
                // Ignores the signal that comes with the limit, so that the write itself fails.
                command.addAll(
                        List.of(
                                "bash",
                                "-c",
                                "trap '' XFSZ; ulimit -f " + maxFileKib + "; exec \"$@\"",
                                "limited"));
            }
            // Restores the default action of SIGHUP, which the child would otherwise inherit as
            // ignored if the rig runs under nohup.
            command.addAll(List.of("env", "--default-signal=HUP"));
            command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
            command.addAll(jvmFlags);
            command.addAll(List.of("-cp", classPath));
            command.addAll(arguments);
            ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
            builder.environment().putAll(environment);
            if (folder != null) {
                builder.directory(folder.toFile());
            }
            Process process = builder.start();
            history.add(name, "begun", new JsonObject().add("pid", process.pid()));
            return new JavaProcess(name, process, history);
        }
    }

    public String name() {
        return name;
    }

    public long pid() {
        return process.pid();
    }

    public boolean alive() {
        return process.isAlive();
    }

    private void read() {
        try (BufferedReader lines = process.inputReader(StandardCharsets.UTF_8)) {
            for (String line = lines.readLine(); line != null; line = lines.readLine()) {
                recordLine(line);
            }
        } catch (IOException | UncheckedIOException e) {
            // The process died, or the history was closed before it did.
        }
        try {
            int code = process.waitFor();
            RUNNING.remove(process);
            history.add(name, "ended", new JsonObject().add("code", code));
        } catch (InterruptedException | UncheckedIOException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void recordLine(String line) {
        if (line.startsWith("{")) {
            try {
                JsonObject object = Json.parse(line).asObject();
                JsonValue kind =
                        object.get("kind") == null ? object.get("event") : object.get("kind");
                if (kind != null && kind.isString()) {
                    history.add(name, kind.asString(), object);
                    return;
                }
            } catch (ParseException e) {
                // Not JSON; recorded as plain text.
            }
        }
        history.add(name, "line", new JsonObject().add("text", line));
    }

    /** Waits for an event of this process. */
    public History.Event await(String kind, int from, long withinMillis)
            throws InterruptedException {
        return history.await(
                name + "'s " + kind,
                from,
                withinMillis,
                e -> e.who().equals(name) && e.kind().equals(kind));
    }

    /** Writes a line to the standard input of the process. */
    public void writeLine(String line) throws IOException {
        OutputStream out = process.getOutputStream();
        out.write((line + "\n").getBytes(StandardCharsets.UTF_8));
        out.flush();
    }

    // ---- Faults.

    /**
     * Kills the process and waits until it has exited, when the system has closed all its sockets
     * and files.
     */
    public void kill() throws InterruptedException {
        history.add(name, "fault.kill", new JsonObject());
        process.destroyForcibly();
        awaitExit();
    }

    /** Kills the process without waiting, so that many can be killed at once. */
    public void killWithoutWaiting() {
        process.destroyForcibly();
    }

    /** Suspends the process with SIGSTOP until {@link #resume}. */
    public void stop() throws IOException, InterruptedException {
        history.add(name, "fault.stop", new JsonObject());
        signal("STOP");
        stopped = true;
    }

    public void resume() throws IOException, InterruptedException {
        stopped = false;
        signal("CONT");
        history.add(name, "fault.resume", new JsonObject());
    }

    /** Sends SIGTERM, which asks the process to shut down in order. */
    public void terminate() throws IOException, InterruptedException {
        history.add(name, "fault.terminate", new JsonObject());
        signal("TERM");
    }

    /** Sends SIGHUP, which asks the process to reload its configuration. */
    public void hangUp() throws IOException, InterruptedException {
        history.add(name, "fault.hang-up", new JsonObject());
        signal("HUP");
    }

    private void signal(String which) throws IOException, InterruptedException {
        if (new ProcessBuilder("kill", "-" + which, Long.toString(pid())).start().waitFor() != 0
                && alive()) {
            throw new IOException("SIG" + which + " could not be sent to " + name);
        }
    }

    /** Waits until the process has exited and all its output is in the history. */
    public int awaitExit() throws InterruptedException {
        if (!process.waitFor(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
            throw new IllegalStateException(
                    name + " did not exit within " + EXIT_TIMEOUT_SECONDS + " s");
        }
        // Otherwise its last output could appear in the history after its exit.
        reader.join(TimeUnit.SECONDS.toMillis(EXIT_TIMEOUT_SECONDS));
        if (reader.isAlive()) {
            throw new IllegalStateException(
                    name + " exited, but its output could not be read to the end");
        }
        return process.exitValue();
    }

    @Override
    public void close() {
        // SIGKILL ends a suspended process too.
        process.destroyForcibly();
        try {
            process.waitFor(10, TimeUnit.SECONDS);
            reader.join(5000);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        RUNNING.remove(process);
    }

    public boolean stopped() {
        return stopped;
    }
}
