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

/**
 * Translates lines of the simulator's protocol into policy events, and policy actions into lines.
 * Makes no decisions.
 */
final class WireProtocol {

    /** A malformed line; the message names the line's first word and the field. */
    static final class MalformedLineException extends RuntimeException {
        private static final long serialVersionUID = 1L;

        MalformedLineException(String message) {
            super(message);
        }
    }

    private final Map<String, SimulatedDispatcher> instances = new HashMap<>();
    private final StringBuilder reply;
    private final String[] fields = new String[16];
    private int fieldCount;
    private String line = "";
    private long nowNs;
    private SimulatedDispatcher listInstance;
    private WorkerListUpdateType listUpdateType;
    private int rowsLeft;
    private List<WorkerInfo> listRows = List.of();

    WireProtocol(StringBuilder reply) {
        this.reply = reply;
    }

    /** Processes one line. Returns true when a batch is complete and its reply is ready. */
    boolean processLine(String text) {
        line = text;
        if (text.isEmpty()) {
            return false;
        }
        splitFields();
        String messageType = fields[0];
        if (rowsLeft > 0) {
            readWorkerEntry(messageType);
            return false;
        }
        switch (messageType) {
            case "FRAME" -> nowNs = integer(1, "clock");
            case "YOUR_TURN" -> {
                reply.append("READY\n");
                return true;
            }
            case "DEMAND" -> {
                SimulatedDispatcher instance = instance();
                instance.policy.jobArrived(
                        nowNs,
                        new Job(
                                text(2, "tid"),
                                instance.knownClass(text(3, "class")),
                                optional(4),
                                optional(5),
                                integer(6, "expiresInNs"),
                                decimal(8, 1, "coresNeeded"),
                                decimal(9, 0, "memory")));
            }
            case "FINISHED" -> {
                SimulatedDispatcher instance = instance();
                instance.policy.attemptFinished(
                        nowNs,
                        text(2, "tid"),
                        (int) integer(3, "trial"),
                        outcome(5),
                        flag(7, "last"),
                        instance.parseLoadReport(optional(9)));
            }
            case "HEARTBEAT" -> {
                DispatchPolicy policy = instance().policy;
                long sort = integer(3, "sort");
                if (sort == 1) {
                    policy.attemptStarted(nowNs, text(2, "tid"), (int) integer(4, "trial"));
                } else if (sort == 2) {
                    policy.attemptProgressed(
                            nowNs,
                            text(2, "tid"),
                            (int) integer(4, "trial"),
                            decimal(6, 0, "level"));
                }
            }
            case "TIMER" -> instance().policy.timerFired(nowNs, text(2, "nonce"));
            case "TOPOLOGY" -> beginWorkerList();
            case "ATTACH" -> attachInstance();
            case "KILLED" -> instances.remove(text(1, "i"));
            case "ABANDONED" -> instance().policy.jobAbandoned(nowNs, text(2, "tid"));
            case "CHECKED" -> {
                SimulatedDispatcher instance = instance();
                instance.policy.workerProbed(
                        nowNs,
                        text(2, "runner"),
                        integer(3, "code") == 0,
                        instance.parseLoadReport(optional(5)));
            }
            case "ESTABLISHED" ->
                    instance()
                            .policy
                            .attemptStreaming(nowNs, text(2, "tid"), (int) integer(4, "trial"));
            case "MEMO" -> instance();
            default -> throw new MalformedLineException(messageType + ": unknown message");
        }
        return false;
    }

    private void splitFields() {
        fieldCount = 0;
        int from = 0;
        while (fieldCount < fields.length) {
            int tab = line.indexOf('\t', from);
            fields[fieldCount++] = tab < 0 ? line.substring(from) : line.substring(from, tab);
            if (tab < 0) {
                return;
            }
            from = tab + 1;
        }
    }

    private void beginWorkerList() {
        listInstance = instance();
        String form = text(2, "form");
        listUpdateType =
                switch (form) {
                    case "diff" -> WorkerListUpdateType.DELTA;
                    case "snapshot" -> WorkerListUpdateType.FULL;
                    case "disk" -> WorkerListUpdateType.CACHED;
                    case "error" -> WorkerListUpdateType.FAILED;
                    default -> throw malformed("form", form);
                };
        rowsLeft = fieldCount > 4 && !fields[4].equals("-") ? (int) integer(4, "rows") : 0;
        listRows = new ArrayList<>(rowsLeft);
        if (rowsLeft == 0) {
            listInstance.policy.workersUpdated(nowNs, listUpdateType, listRows);
        }
    }

    private void readWorkerEntry(String messageType) {
        if (!messageType.equals("ENTRY")) {
            throw new MalformedLineException(
                    "TOPOLOGY: rows: "
                            + rowsLeft
                            + " more ENTRY lines announced, got "
                            + messageType);
        }
        String phase = text(5, "phase");
        WorkerPhase workerPhase =
                switch (phase) {
                    case "Ready" -> WorkerPhase.READY;
                    case "Terminating" -> WorkerPhase.DRAINING;
                    case "Gone" -> WorkerPhase.GONE;
                    default -> throw malformed("phase", phase);
                };
        listRows.add(
                new WorkerInfo(
                        text(1, "runner"),
                        orEmpty(2),
                        orEmpty(3),
                        (int) decimal(4, 0, "cell"),
                        workerPhase,
                        decimal(6, 1, "heft"),
                        (long) decimal(7, 0, "bornNs")));
        if (--rowsLeft == 0) {
            listInstance.policy.workersUpdated(nowNs, listUpdateType, listRows);
        }
    }

    private AttemptOutcome outcome(int index) {
        return switch (text(index, "code")) {
            case "0" -> AttemptOutcome.SERVED;
            case "13" -> AttemptOutcome.ERROR;
            case "8" -> AttemptOutcome.FULL;
            case "4" -> AttemptOutcome.TIMEOUT;
            case "14" -> AttemptOutcome.UNREACHABLE;
            case "10" -> AttemptOutcome.RESET;
            case "1" -> AttemptOutcome.CANCELLED;
            case "9" -> AttemptOutcome.NOT_SENT;
            default -> throw malformed("code", fields[index]);
        };
    }

    private void attachInstance() {
        String name = text(1, "i");
        long seed = integer(2, "prng");
        Map<String, String> pairs = new LinkedHashMap<>();
        for (String pair : line.split("\t")) {
            int equalsAt = pair.indexOf('=');
            if (equalsAt > 0) {
                pairs.put(pair.substring(0, equalsAt), pair.substring(equalsAt + 1));
            }
        }
        instances.put(name, new SimulatedDispatcher(name, seed, pairs));
    }

    private SimulatedDispatcher instance() {
        SimulatedDispatcher instance = instances.get(text(1, "i"));
        if (instance == null) {
            throw malformed("i", fields[1]);
        }
        return instance;
    }

    private String text(int index, String field) {
        if (index >= fieldCount || fields[index].isEmpty() || fields[index].equals("-")) {
            throw new MalformedLineException(fields[0] + ": " + field + " is missing");
        }
        return fields[index];
    }

    private String optional(int index) {
        return index >= fieldCount || fields[index].isEmpty() || fields[index].equals("-")
                ? null
                : fields[index];
    }

    private String orEmpty(int index) {
        String value = optional(index);
        return value == null ? "" : value;
    }

    private long integer(int index, String field) {
        String value = text(index, field);
        try {
            return Long.parseLong(value);
        } catch (NumberFormatException e) {
            throw malformed(field, value);
        }
    }

    private double decimal(int index, double defaultValue, String field) {
        String value = optional(index);
        if (value == null) {
            return defaultValue;
        }
        try {
            return value.length() == 1 ? Integer.parseInt(value) : Double.parseDouble(value);
        } catch (NumberFormatException e) {
            throw malformed(field, value);
        }
    }

    private boolean flag(int index, String field) {
        String value = text(index, field);
        if (value.equals("1") || value.equals("0")) {
            return value.equals("1");
        }
        throw malformed(field, value);
    }

    private MalformedLineException malformed(String field, String value) {
        return new MalformedLineException(fields[0] + ": " + field + " cannot be " + value);
    }

    /** One simulated dispatcher: its policy, whose actions are written to the reply. */
    private final class SimulatedDispatcher implements PolicyActions {
        private final String name;
        private final DispatchPolicy policy;
        private final Map<String, String> classNames = new HashMap<>();
        private final int freeIndex;
        private final int queuedIndex;
        private final int inFlightIndex;
        private final int busyIndex;

        SimulatedDispatcher(String name, long seed, Map<String, String> pairs) {
            this.name = name;
            SettingsReader reader = SettingsReader.ofPairs(pairs);
            PolicySettings settings;
            try {
                settings = reader.settings();
            } catch (IllegalArgumentException e) {
                throw new MalformedLineException("ATTACH: " + e.getMessage());
            }
            for (JobClass jobClass : settings.classes) {
                classNames.put(jobClass.name(), jobClass.name());
            }
            List<String> metricNames = reader.list("telemetry.fields");
            freeIndex =
                    "free_slots".equals(reader.text("specifics.reportX0", ""))
                            ? metricNames.indexOf("x0")
                            : -1;
            queuedIndex = metricNames.indexOf("backlog");
            inFlightIndex = metricNames.indexOf("outstanding");
            busyIndex = metricNames.indexOf("utilization");
            policy = new TokenBucketDispatchPolicy(settings, seed, this);
        }

        String knownClass(String className) {
            String known = classNames.get(className);
            if (known == null) {
                throw malformed("class", className);
            }
            return known;
        }

        LoadReport parseLoadReport(String report) {
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
                if (i == freeIndex || i == queuedIndex || i == inFlightIndex || i == busyIndex) {
                    double value = parseMetric(report, from, to);
                    free = i == freeIndex ? value : free;
                    queued = i == queuedIndex ? value : queued;
                    inFlight = i == inFlightIndex ? value : inFlight;
                    busy = i == busyIndex ? value : busy;
                }
                from = to + 1;
            }
            return new LoadReport(free, queued, inFlight, busy);
        }

        private double parseMetric(String report, int from, int to) {
            if (to == from || (to == from + 1 && report.charAt(from) == '-')) {
                return Double.NaN;
            }
            try {
                return Double.parseDouble(report.substring(from, to));
            } catch (NumberFormatException e) {
                throw malformed("metrics", report);
            }
        }

        private StringBuilder beginAction(String messageType) {
            return reply.append(messageType).append('\t').append(name).append('\t');
        }

        @Override
        public void startAttempt(String jobId, String workerId, long limitNs) {
            beginAction("SEND")
                    .append(jobId)
                    .append('\t')
                    .append(workerId)
                    .append('\t')
                    .append(limitNs)
                    .append('\n');
        }

        @Override
        public void cancelAttempt(String jobId, int attempt) {
            beginAction("CALL_OFF").append(jobId).append('\t').append(attempt).append('\n');
        }

        @Override
        public void reject(String jobId, long retryAfterNs) {
            beginAction("REFUSE").append(jobId).append('\t').append(retryAfterNs).append('\n');
        }

        @Override
        public void fail(String jobId) {
            beginAction("GIVE_UP").append(jobId).append('\n');
        }

        @Override
        public void probe(String workerId) {
            beginAction("PROBE").append(workerId).append('\n');
        }

        @Override
        public void startTimer(String token, long inNs) {
            beginAction("AFTER").append(token).append('\t').append(inNs).append('\n');
        }

        @Override
        public void watchWorkers() {
            beginAction("TRACK").append("1\n");
        }
    }
}
