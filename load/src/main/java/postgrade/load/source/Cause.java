package postgrade.load.source;

import java.util.Locale;

/**
 * Why an entry is not taken as it stands. The names are stable: they stand in rejects files, plans
 * and reports.
 */
public enum Cause {
    NOT_OF_THE_FORMAT("the line is not of the format"),
    TRUNCATED("the line or file ends in mid-entry"),
    INTERLEAVED("two writers' lines lie in one"),
    BAD_TIME("the time cannot be read"),
    NUL_BYTES("NUL bytes among the text"),
    BAD_UTF8("bytes that are not UTF-8"),
    TOO_LONG("the line is longer than 64 KiB"),
    BAD_JSON("not JSON, or not an object"),
    CLOCK_BACKWARDS("the clock was set back"),
    CLOCK_FORWARDS("the clock was set forward, or nothing was written"),
    DST_FOLD("a local time that stands twice, its second time"),
    SECOND_RESOLUTION("times in whole seconds, spread evenly inside them"),
    WEBSOCKET("a WebSocket, which is no job"),
    CACHED("answered from the browser's cache, never sent"),
    NEGATIVE_TIMING("a duration below zero"),
    MISSING_TIMING("no duration"),
    RETRY_WITHOUT_FIRST("marked as a retry, but its first try is not there"),
    DROPPED("the plan leaves it out"),
    PLAN_FAILED("the plan's classify failed");

    public final String meaning;

    Cause(String meaning) {
        this.meaning = meaning;
    }

    /** As plans and reports write it: {@code clock_backwards}. */
    public String key() {
        return name().toLowerCase(Locale.ROOT);
    }
}
