package postgrade.quorum.settings;

import java.net.InetAddress;
import java.net.UnknownHostException;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Settings of a process that shares state.
 *
 * @param name of this process, the same after each restart; a voter if it is one of the voters'
 *     names
 * @param incarnation higher at each start; 0 if it is to be chosen when the process opens the
 *     shared state
 * @param voters three or five voters; a single one is for trials
 * @param store folder of a voter's log; an observer needs none
 * @param maxViewAgeMicros a process grants nothing from a view older than this
 * @param requestTimeoutMillis maximum duration of a call between processes
 * @param pullIntervalMillis interval at which the view is renewed
 * @param heartbeatIntervalMillis interval of a leader's heartbeats, at which it may also advance
 *     the log's time
 * @param electionTimeoutMillis a leader that is silent for this long is replaced
 */
public record QuorumSettings(
        String name,
        long incarnation,
        List<Voter> voters,
        Path store,
        long maxViewAgeMicros,
        int requestTimeoutMillis,
        int pullIntervalMillis,
        int heartbeatIntervalMillis,
        int electionTimeoutMillis) {

    public static final long DEFAULT_MAX_VIEW_AGE_MICROS = 2_000_000;
    public static final int DEFAULT_REQUEST_TIMEOUT_MILLIS = 500;
    public static final int DEFAULT_PULL_INTERVAL_MILLIS = 250;
    public static final int DEFAULT_HEARTBEAT_INTERVAL_MILLIS = 100;
    public static final int DEFAULT_ELECTION_TIMEOUT_MILLIS = 800;
    private static final int MAX_VOTERS = 5;
    private static final int MAX_NAME_LENGTH = 64;
    private static final String OBSERVER_SUFFIX = ".beside";

    /** Address on which a voter listens. */
    public record Voter(String name, String host, int port) {
        public Voter {
            requireName("voters: name", name);
            if (port < 1 || port > 65_535) {
                throw new InvalidQuorumSettingException(
                        "voters", name + ": port must lie between 1 and 65535");
            }
            try {
                if (!InetAddress.getByName(host).isLoopbackAddress()) {
                    throw new InvalidQuorumSettingException(
                            "voters", name + ": host must be a loopback address, not " + host);
                }
            } catch (UnknownHostException e) {
                throw new InvalidQuorumSettingException(
                        "voters", name + ": host " + host + " cannot be resolved");
            }
        }
    }

    /** Reports a setting that cannot be used; the message begins with its key. */
    public static final class InvalidQuorumSettingException extends IllegalArgumentException {
        private static final long serialVersionUID = 1L;

        public InvalidQuorumSettingException(String key, String problem) {
            super(key + ": " + problem);
        }
    }

    public QuorumSettings {
        requireName("name", name);
        if (incarnation < 0) {
            throw new InvalidQuorumSettingException("incarnation", "must not be negative");
        }
        voters = List.copyOf(voters);
        if (voters.isEmpty() || voters.size() > MAX_VOTERS || voters.size() % 2 == 0) {
            throw new InvalidQuorumSettingException(
                    "voters", "must be 3 or 5 voters, or 1 for a trial, not " + voters.size());
        }
        Set<String> names = new HashSet<>();
        Set<String> addresses = new HashSet<>();
        for (Voter voter : voters) {
            if (!names.add(voter.name)) {
                throw new InvalidQuorumSettingException(
                        "voters", "the name " + voter.name + " is used twice");
            }
            if (!addresses.add(voter.host + ":" + voter.port)) {
                throw new InvalidQuorumSettingException(
                        "voters", "two voters listen on " + voter.host + ":" + voter.port);
            }
        }
        if (names.contains(name) && store == null) {
            throw new InvalidQuorumSettingException(
                    "store", "is missing, and " + name + " is a voter");
        }
        requireBetween("heartbeat_ms", heartbeatIntervalMillis, 10, 10_000);
        requireBetween("election_ms", electionTimeoutMillis, 2L * heartbeatIntervalMillis, 60_000);
        requireBetween("pull_ms", pullIntervalMillis, 10, 10_000);
        requireBetween("request_ms", requestTimeoutMillis, 10, 60_000);
        requireBetween("view_age_ms", maxViewAgeMicros / 1000, 2L * pullIntervalMillis, 600_000);
    }

    /** Settings with the default limits. */
    public static QuorumSettings withDefaults(String name, List<Voter> voters, Path store) {
        return new QuorumSettings(
                name,
                0,
                voters,
                store,
                DEFAULT_MAX_VIEW_AGE_MICROS,
                DEFAULT_REQUEST_TIMEOUT_MILLIS,
                DEFAULT_PULL_INTERVAL_MILLIS,
                DEFAULT_HEARTBEAT_INTERVAL_MILLIS,
                DEFAULT_ELECTION_TIMEOUT_MILLIS);
    }

    public QuorumSettings withIncarnation(long newIncarnation) {
        return new QuorumSettings(
                name,
                newIncarnation,
                voters,
                store,
                maxViewAgeMicros,
                requestTimeoutMillis,
                pullIntervalMillis,
                heartbeatIntervalMillis,
                electionTimeoutMillis);
    }

    /**
     * Settings of an observer under a name that no voter has, as voters limit the pull rate of each
     * name.
     */
    public QuorumSettings asObserver() {
        String observerName =
                name.substring(
                                0,
                                Math.min(
                                        name.length(),
                                        MAX_NAME_LENGTH - OBSERVER_SUFFIX.length() - voters.size()))
                        + OBSERVER_SUFFIX;
        while (voter(observerName) != null) {
            observerName += "-";
        }
        return new QuorumSettings(
                observerName,
                0,
                voters,
                null,
                maxViewAgeMicros,
                requestTimeoutMillis,
                pullIntervalMillis,
                heartbeatIntervalMillis,
                electionTimeoutMillis);
    }

    public boolean isVoter() {
        return voter(name) != null;
    }

    /** The voter of that name, or null. */
    public Voter voter(String voterName) {
        return voters.stream().filter(v -> v.name.equals(voterName)).findFirst().orElse(null);
    }

    private static void requireName(String key, String name) {
        if (name == null || !name.matches("[A-Za-z0-9._-]{1," + MAX_NAME_LENGTH + "}")) {
            throw new InvalidQuorumSettingException(
                    key, "must be 1 to 64 letters, digits, dots, dashes or underscores");
        }
    }

    private static void requireBetween(String key, long value, long min, long max) {
        if (value < min || value > max) {
            throw new InvalidQuorumSettingException(
                    key, "must lie between " + min + " and " + max + ", not " + value);
        }
    }
}
