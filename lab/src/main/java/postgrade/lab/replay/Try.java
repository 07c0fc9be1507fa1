package postgrade.lab.replay;

import postgrade.trace.TraceJob;

/** One request that the replay sends. */
final class Try {
    final TraceJob job;

    /** 0 for the job itself; more for the copies that a mix above 1 makes. */
    final int copy;

    final String id;
    final long deadlineMicros;
    final boolean neverTwice;

    /** When it should leave, on the clock of ledgers. */
    final long intendedMicros;

    /** When its last byte was handed over; 0 until then. */
    long sentMicros;

    boolean over;

    Try(
            TraceJob job,
            int copy,
            String id,
            long deadlineMicros,
            boolean neverTwice,
            long intendedMicros) {
        this.job = job;
        this.copy = copy;
        this.id = id;
        this.deadlineMicros = deadlineMicros;
        this.neverTwice = neverTwice;
        this.intendedMicros = intendedMicros;
    }

    /** What stands in the ledger of what it is. */
    String detail() {
        return "job="
                + job.number()
                + "."
                + copy
                + " class="
                + job.jobClass()
                + " tenant="
                + (job.tenant() == null ? "-" : job.tenant().replace(' ', '_'))
                + " attempt="
                + job.attempt()
                + " deadline="
                + deadlineMicros
                + " intended="
                + intendedMicros
                + " repeatable="
                + !neverTwice;
    }
}
