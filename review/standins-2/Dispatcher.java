import java.io.BufferedInputStream;
import java.io.File;
import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** One process of a dispatcher, started by the `run` line of the deploy file. */
final class Dispatcher {
    final Process process;
    private final Record record;
    private final String name;

    private Dispatcher(Record record, String name, Process process) {
        this.record = record;
        this.name = name;
        this.process = process;
    }

    /** Returns the `run` line of deploy/balancer.toml. */
    static String runLine(Path root) throws IOException {
        for (String line : Files.readAllLines(root.resolve("deploy/balancer.toml"))) {
            if (line.startsWith("run = ")) {
                return (String) Json.read(line.substring("run = ".length()));
            }
        }
        throw new IOException("no run line");
    }

    static Dispatcher start(
            Record record, Path root, Path folder, String label, Map<String, Object> config)
            throws IOException {
        Path tmp = Files.createDirectories(folder.resolve("tmp"));
        Path file = folder.resolve("config.json");
        if (!Files.exists(file)) {
            Files.writeString(file, Json.write(config));
        }
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", runLine(root));
        builder.directory(root.toFile());
        Map<String, String> environment = builder.environment();
        environment.put("TMPDIR", tmp.toString());
        environment.put("ROUTER_NAME", (String) config.get("name"));
        environment.put("ROUTER_LISTEN", (String) config.get("listen"));
        environment.put("ROUTER_DISCOVERY", (String) config.get("discovery"));
        environment.put("ROUTER_CONFIG", file.toString());
        environment.remove("JAVA_TOOL_OPTIONS");
        environment.remove("ROUTER_SHARING");
        environment.remove("ROUTER_OPERATOR");
        if (config.get("operator") != null) {
            environment.put("ROUTER_OPERATOR", (String) config.get("operator"));
        }
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.to(new File(folder.toFile(), label + ".log")));
        Process process = builder.start();
        record.add(label, "is started as process " + process.pid());
        Dispatcher started = new Dispatcher(record, label, process);
        Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
        return started;
    }

    boolean awaitReady(String address, long millis) throws InterruptedException {
        long end = System.nanoTime() + millis * 1_000_000;
        while (System.nanoTime() < end && process.isAlive()) {
            if (ready(address) == 200) {
                record.add(name, "is ready");
                return true;
            }
            Thread.sleep(100);
        }
        return false;
    }

    /** Returns the status of GET /-/ready, 0 if there is no answer within 2 s. */
    static int ready(String address) {
        try (Socket socket = Net.connect(address)) {
            socket.setSoTimeout(2000);
            socket.getOutputStream()
                    .write("GET /-/ready HTTP/1.1\r\nHost: d\r\nConnection: close\r\n\r\n".getBytes());
            Http answer = Http.read(new BufferedInputStream(socket.getInputStream()));
            return answer == null ? 0 : answer.status();
        } catch (IOException | RuntimeException e) {
            return 0;
        }
    }

    void signal(String signal) throws IOException, InterruptedException {
        record.add(name, "gets SIG" + signal);
        new ProcessBuilder("/bin/sh", "-c", "kill -s " + signal + " " + process.pid())
                .start()
                .waitFor();
    }

    void end() throws InterruptedException {
        process.destroyForcibly();
        process.waitFor(5, TimeUnit.SECONDS);
    }

    static Map<String, Object> jobClass(
            String name, String effect, String group, long deadlineMs, long onTimeMs, long windowMs) {
        Map<String, Object> jobClass = new LinkedHashMap<>();
        jobClass.put("name", name);
        jobClass.put("idempotency", effect);
        jobClass.put("group", group);
        jobClass.put("deadlineNs", deadlineMs * 1_000_000);
        jobClass.put("onTimeNs", onTimeMs * 1_000_000);
        jobClass.put("windowNs", windowMs * 1_000_000);
        jobClass.put("importance", effect.equals("non_idempotent") ? 8.0 : 1.0);
        jobClass.put("lateShare", 0.0);
        jobClass.put("stream", false);
        return jobClass;
    }

    /** Returns settings like those of the page's example. */
    static Map<String, Object> settings(List<Map<String, Object>> classes, List<Double> stretch) {
        Map<String, Object> limits = new LinkedHashMap<>();
        limits.put("cancel", true);
        limits.put("connIdleNs", 10_000_000_000L);
        limits.put("connectTimeoutNs", 250_000_000L);
        limits.put("maxAttempts", 4);
        limits.put("maxRetryAfterNs", 2_000_000_000L);
        limits.put("mayDuplicate", false);
        limits.put("mayProbe", true);
        limits.put("mayTell", false);
        limits.put("mostHeld", 20000);
        limits.put("multiplex", 1);
        limits.put("retryAfter", false);
        Map<String, Object> obligations = new LinkedHashMap<>();
        obligations.put("answerSlackNs", 16_000_000L);
        obligations.put("askWithinNs", 10_000_000_000L);
        obligations.put("coldShare", 0.14);
        obligations.put("drainGraceNs", 500_000_000L);
        obligations.put("fallMultiple", 3.0);
        obligations.put("fallNs", 2_000_000_000L);
        obligations.put("warmWithinNs", 23_000_000_000L);
        Map<String, Object> specifics = new LinkedHashMap<>();
        specifics.put("classStretch", stretch);
        specifics.put("progressNs", 1_000_000_000L);
        specifics.put("queueOrder", "priority");
        specifics.put("tellsStart", true);
        Map<String, Object> settings = new LinkedHashMap<>();
        settings.put("balancers", 1);
        settings.put("index", 0);
        settings.put("classes", classes);
        settings.put("dcs", List.of("hall-a"));
        settings.put("discovery", "push");
        settings.put("kindOfService", "jobs");
        settings.put("limits", limits);
        settings.put("obligations", obligations);
        settings.put("skus", List.of("small"));
        settings.put("specifics", specifics);
        settings.put("telemetry", Map.of("fields", List.of(), "source", "silent"));
        settings.put("tenants", List.of());
        settings.put("tickNs", 4_000_000L);
        settings.put("tier", 0);
        settings.put("tiers", List.of("route-servers"));
        settings.put("weightSource", "silent");
        settings.put("worthBy", "request");
        settings.put("zone", "hall-a");
        return settings;
    }

    static Map<String, Object> config(
            String listen, Discovery discovery, Map<String, Object> settings, int sockets) {
        Map<String, Object> config = new LinkedHashMap<>();
        config.put("name", "n1");
        config.put("listen", listen);
        config.put("discovery", discovery.address());
        config.put("seed", "8c1f30d27a5be964");
        config.put("limits", Map.of("cores", 1.0, "memory_mb", 192, "sockets", sockets));
        config.put("known", discovery.complete());
        config.put("settings", settings);
        return config;
    }
}
