package postgrade.simadapter;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import postgrade.policy.TokenBucketDispatchPolicy;
import postgrade.policy.api.AttemptOutcome;
import postgrade.policy.api.DispatchPolicy;
import postgrade.policy.api.Job;
import postgrade.policy.api.JobClass;
import postgrade.policy.api.LoadReport;
import postgrade.policy.api.PolicyActions;
import postgrade.policy.api.PolicySettings;
import postgrade.policy.api.WorkerInfo;
import postgrade.policy.api.WorkerListUpdateType;
import postgrade.policy.api.WorkerPhase;
import postgrade.settings.SettingsReader;

/** Turns lines of the wire into events and actions into lines. Decides nothing. */
final class Wire {

    /** A line that cannot be understood; the message names the line's first word and the field. */
    static final class Malformed extends RuntimeException {
        private static final long serialVersionUID = 1L;

        Malformed(String message) {
            super(message);
        }
    }

    private final Map<String, Instance> instances = new HashMap<>();
    private final StringBuilder reply;
    private final String[] parts = new String[16];
    private int partCount;
    private String line = "";
    private long nowNs;
    private Instance listFor;
    private WorkerListUpdateType listForm;
    private int listLeft;
    private List<WorkerInfo> listRows = List.of();

    Wire(StringBuilder reply) {
        this.reply = reply;
    }

    /** Takes one line; true when the batch is complete and the reply stands ready. */
    boolean line(String text) {
        line = text;
        if (text.isEmpty()) {
            return false;
        }
        split();
        String word = parts[0];
        if (listLeft > 0) {
            entry(word);
            return false;
        }
        switch (word) {
            case "FRAME" -> nowNs = integer(1, "clock");
            case "YOUR_TURN" -> {
                reply.append("READY\n");
                return true;
            }
            case "DEMAND" -> {
                Instance in = instance();
                in.dispatcher.jobArrived(
                        nowNs,
                        new Job(
                                text(2, "tid"),
                                in.className(text(3, "class")),
                                optional(4),
                                optional(5),
                                integer(6, "expiresInNs"),
                                decimal(8, 1, "coresNeeded"),
                                decimal(9, 0, "memory")));
            }
            case "FINISHED" -> {
                Instance in = instance();
                in.dispatcher.attemptFinished(
                        nowNs,
                        text(2, "tid"),
                        (int) integer(3, "trial"),
                        outcome(5),
                        flag(7, "last"),
                        in.load(optional(9)));
            }
            case "HEARTBEAT" -> {
                DispatchPolicy to = instance().dispatcher;
                long sort = integer(3, "sort");
                if (sort == 1) {
                    to.attemptStarted(nowNs, text(2, "tid"), (int) integer(4, "trial"));
                } else if (sort == 2) {
                    to.attemptProgressed(
                            nowNs,
                            text(2, "tid"),
                            (int) integer(4, "trial"),
                            decimal(6, 0, "level"));
                }
            }
            case "TIMER" -> instance().dispatcher.timerFired(nowNs, text(2, "nonce"));
            case "TOPOLOGY" -> topology();
            case "ATTACH" -> attach();
            case "KILLED" -> instances.remove(text(1, "i"));
            case "ABANDONED" -> instance().dispatcher.jobAbandoned(nowNs, text(2, "tid"));
            case "CHECKED" -> {
                Instance in = instance();
                in.dispatcher.workerProbed(
                        nowNs, text(2, "runner"), integer(3, "code") == 0, in.load(optional(5)));
            }
            case "ESTABLISHED" ->
                    instance()
                            .dispatcher
                            .attemptStreaming(nowNs, text(2, "tid"), (int) integer(4, "trial"));
            case "MEMO" -> instance();
            default -> throw new Malformed(word + ": unknown message");
        }
        return false;
    }

    private void split() {
        partCount = 0;
        int from = 0;
        while (partCount < parts.length) {
            int tab = line.indexOf('\t', from);
            parts[partCount++] = tab < 0 ? line.substring(from) : line.substring(from, tab);
            if (tab < 0) {
                return;
            }
            from = tab + 1;
        }
    }

    private void topology() {
        listFor = instance();
        String form = text(2, "form");
        listForm =
                switch (form) {
                    case "diff" -> WorkerListUpdateType.DELTA;
                    case "snapshot" -> WorkerListUpdateType.FULL;
                    case "disk" -> WorkerListUpdateType.CACHED;
                    case "error" -> WorkerListUpdateType.FAILED;
                    default -> throw bad("form", form);
                };
        listLeft = partCount > 4 && !parts[4].equals("-") ? (int) integer(4, "rows") : 0;
        listRows = new ArrayList<>(listLeft);
        if (listLeft == 0) {
            listFor.dispatcher.workersUpdated(nowNs, listForm, listRows);
        }
    }

    private void entry(String word) {
        if (!word.equals("ENTRY")) {
            throw new Malformed(
                    "TOPOLOGY: rows: " + listLeft + " more ENTRY lines announced, got " + word);
        }
        String phase = text(5, "phase");
        WorkerPhase as =
                switch (phase) {
                    case "Ready" -> WorkerPhase.READY;
                    case "Terminating" -> WorkerPhase.DRAINING;
                    case "Gone" -> WorkerPhase.GONE;
                    default -> throw bad("phase", phase);
                };
        listRows.add(
                new WorkerInfo(
                        text(1, "runner"),
                        orEmpty(2),
                        orEmpty(3),
                        (int) decimal(4, 0, "cell"),
                        as,
                        decimal(6, 1, "heft"),
                        (long) decimal(7, 0, "bornNs")));
        if (--listLeft == 0) {
            listFor.dispatcher.workersUpdated(nowNs, listForm, listRows);
        }
    }

    private AttemptOutcome outcome(int at) {
        return switch (text(at, "code")) {
            case "0" -> AttemptOutcome.SERVED;
            case "13" -> AttemptOutcome.ERROR;
            case "8" -> AttemptOutcome.FULL;
            case "4" -> AttemptOutcome.TIMEOUT;
            case "14" -> AttemptOutcome.UNREACHABLE;
            case "10" -> AttemptOutcome.RESET;
            case "1" -> AttemptOutcome.CANCELLED;
            case "9" -> AttemptOutcome.NOT_SENT;
            default -> throw bad("code", parts[at]);
        };
    }

    private void attach() {
        String name = text(1, "i");
        long seed = integer(2, "prng");
        Map<String, String> pairs = new LinkedHashMap<>();
        for (String pair : line.split("\t")) {
            int eq = pair.indexOf('=');
            if (eq > 0) {
                pairs.put(pair.substring(0, eq), pair.substring(eq + 1));
            }
        }
        instances.put(name, new Instance(name, seed, pairs));
    }

    private Instance instance() {
        Instance in = instances.get(text(1, "i"));
        if (in == null) {
            throw bad("i", parts[1]);
        }
        return in;
    }

    private String text(int at, String field) {
        if (at >= partCount || parts[at].isEmpty() || parts[at].equals("-")) {
            throw new Malformed(parts[0] + ": " + field + " is missing");
        }
        return parts[at];
    }

    private String optional(int at) {
        return at >= partCount || parts[at].isEmpty() || parts[at].equals("-") ? null : parts[at];
    }

    private String orEmpty(int at) {
        String value = optional(at);
        return value == null ? "" : value;
    }

    private long integer(int at, String field) {
        String value = text(at, field);
        try {
            return Long.parseLong(value);
        } catch (NumberFormatException e) {
            throw bad(field, value);
        }
    }

    private double decimal(int at, double absent, String field) {
        String value = optional(at);
        if (value == null) {
            return absent;
        }
        try {
            return value.length() == 1 ? Integer.parseInt(value) : Double.parseDouble(value);
        } catch (NumberFormatException e) {
            throw bad(field, value);
        }
    }

    private boolean flag(int at, String field) {
        String value = text(at, field);
        if (value.equals("1") || value.equals("0")) {
            return value.equals("1");
        }
        throw bad(field, value);
    }

    private Malformed bad(String field, String value) {
        return new Malformed(parts[0] + ": " + field + " cannot be " + value);
    }

    /** One gateway of the bench: its decision maker, and where its actions are written. */
    private final class Instance implements PolicyActions {
        private final String name;
        private final DispatchPolicy dispatcher;
        private final Map<String, String> classNames = new HashMap<>();
        private final int freeAt;
        private final int queuedAt;
        private final int inFlightAt;
        private final int busyAt;

        Instance(String name, long seed, Map<String, String> pairs) {
            this.name = name;
            SettingsReader read = SettingsReader.ofPairs(pairs);
            PolicySettings settings;
            try {
                settings = read.settings();
            } catch (IllegalArgumentException e) {
                throw new Malformed("ATTACH: " + e.getMessage());
            }
            for (JobClass c : settings.classes) {
                classNames.put(c.name(), c.name());
            }
            List<String> fields = read.list("telemetry.fields");
            freeAt =
                    "free_slots".equals(read.text("specifics.reportX0", ""))
                            ? fields.indexOf("x0")
                            : -1;
            queuedAt = fields.indexOf("backlog");
            inFlightAt = fields.indexOf("outstanding");
            busyAt = fields.indexOf("utilization");
            dispatcher = new TokenBucketDispatchPolicy(settings, seed, this);
        }

        String className(String given) {
            String known = classNames.get(given);
            if (known == null) {
                throw bad("class", given);
            }
            return known;
        }

        LoadReport load(String report) {
            if (report == null) {
                return LoadReport.NONE;
            }
            double free = Double.NaN;
            double queued = Double.NaN;
            double inFlight = Double.NaN;
            double busy = Double.NaN;
            int from = 0;
            for (int i = 0; from <= report.length(); i++) {
                int comma = report.indexOf(',', from);
                int to = comma < 0 ? report.length() : comma;
                if (i == freeAt || i == queuedAt || i == inFlightAt || i == busyAt) {
                    double v = figure(report, from, to);
                    free = i == freeAt ? v : free;
                    queued = i == queuedAt ? v : queued;
                    inFlight = i == inFlightAt ? v : inFlight;
                    busy = i == busyAt ? v : busy;
                }
                from = to + 1;
            }
            return new LoadReport(free, queued, inFlight, busy);
        }

        private double figure(String report, int from, int to) {
            if (to == from || (to == from + 1 && report.charAt(from) == '-')) {
                return Double.NaN;
            }
            try {
                return Double.parseDouble(report.substring(from, to));
            } catch (NumberFormatException e) {
                throw bad("metrics", report);
            }
        }

        private StringBuilder begin(String word) {
            return reply.append(word).append('\t').append(name).append('\t');
        }

        @Override
        public void startAttempt(String jobId, String workerId, long limitNs) {
            begin("SEND")
                    .append(jobId)
                    .append('\t')
                    .append(workerId)
                    .append('\t')
                    .append(limitNs)
                    .append('\n');
        }

        @Override
        public void cancelAttempt(String jobId, int attempt) {
            begin("CALL_OFF").append(jobId).append('\t').append(attempt).append('\n');
        }

        @Override
        public void reject(String jobId, long retryAfterNs) {
            begin("REFUSE").append(jobId).append('\t').append(retryAfterNs).append('\n');
        }

        @Override
        public void fail(String jobId) {
            begin("GIVE_UP").append(jobId).append('\n');
        }

        @Override
        public void probe(String workerId) {
            begin("PROBE").append(workerId).append('\n');
        }

        @Override
        public void startTimer(String token, long inNs) {
            begin("AFTER").append(token).append('\t').append(inNs).append('\n');
        }

        @Override
        public void watchWorkers() {
            begin("TRACK").append("1\n");
        }
    }
}
