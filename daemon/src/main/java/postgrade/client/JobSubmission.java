package postgrade.client;

import java.util.function.Consumer;
import postgrade.dispatch.ExtensionHeaders;
import postgrade.http.BadMessageException;
import postgrade.http.Message;

/**
 * A job request whose headers have been parsed and validated.
 *
 * @param deadlineMicros how long the client waits
 * @param onAccepted to be called with the id once the job is accepted; null if no extension reads
 *     headers
 */
record JobSubmission(
        String id,
        String jobClass,
        String tenant,
        String key,
        long deadlineMicros,
        double slots,
        double memory,
        Consumer<String> onAccepted) {

    /**
     * Parses a request.
     *
     * @throws BadMessageException with the status and message for the client
     */
    static JobSubmission parse(Message request, ClientListener listener)
            throws BadMessageException {
        if (!request.declaresLength()) {
            throw new BadMessageException(411, "a job needs a body with a stated length");
        }
        String jobClass = request.header("x-class");
        String id = request.header("x-request-id");
        String tenant = request.header("x-tenant");
        String key = request.header("x-key");
        Long classDeadline = jobClass == null ? null : listener.deadlineMicros.get(jobClass);
        String problem =
                !JobHeaders.isValidId(id)
                        ? "X-Request-Id is missing or no id"
                        : classDeadline == null
                                ? "X-Class is not known"
                                : !listener.knowsTenant(tenant)
                                        ? "X-Tenant is not known"
                                        : !JobHeaders.isValidName(key)
                                                ? "X-Key is no name"
                                                : !JobHeaders.isValidName(
                                                                request.header("content-type"))
                                                        ? "Content-Type is no name"
                                                        : JobHeaders.SINGLE_HEADERS.stream()
                                                                        .anyMatch(
                                                                                name ->
                                                                                        request
                                                                                                        .headerCount(
                                                                                                                name)
                                                                                                > 1)
                                                                ? "a header is repeated"
                                                                : null;
        if (problem != null) {
            throw new BadMessageException(400, problem);
        }
        try {
            long deadline = JobHeaders.deadlineMicros(request.header("x-deadline"), classDeadline);
            double slots = JobHeaders.extra(request.header("x-extras"), "slots", 1);
            double memory = JobHeaders.extra(request.header("x-extras"), "memory", 0);
            if (slots == 0) {
                throw new IllegalArgumentException("X-Extras has no slots");
            }
            return new JobSubmission(
                    id,
                    jobClass,
                    tenant,
                    key,
                    deadline,
                    slots,
                    memory,
                    readExtensionHeaders(request, jobClass, listener.extensionHeaders));
        } catch (IllegalArgumentException e) {
            throw new BadMessageException(400, e.getMessage());
        }
    }

    private static Consumer<String> readExtensionHeaders(
            Message request, String jobClass, ExtensionHeaders headers) {
        if (headers == null) {
            return null;
        }
        for (String name : headers.names()) {
            if (request.headerCount(name) > 1) {
                throw new IllegalArgumentException(name + " is repeated");
            }
        }
        return headers.read(jobClass, request::header);
    }
}
