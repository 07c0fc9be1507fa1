package postgrade.client;

import java.util.function.Consumer;
import postgrade.dispatch.ExtensionHeaders;
import postgrade.http.BadMessageException;
import postgrade.http.Message;

/**
 * A request for a job, its headers read and checked.
 *
 * @param deadlineMicros how long its consumer waits
 * @param claim to be told its id once it is taken over; null where nobody reads claims
 */
record Submission(
        String id,
        String jobClass,
        String tenant,
        String key,
        long deadlineMicros,
        double slots,
        double memory,
        Consumer<String> claim) {

    /**
     * @throws BadMessageException with the status and the sentence for its consumer
     */
    static Submission of(Message request, ClientListener listener) throws BadMessageException {
        if (!request.declaresLength()) {
            throw new BadMessageException(411, "a job needs a body with a stated length");
        }
        String jobClass = request.header("x-class");
        String id = request.header("x-request-id");
        String tenant = request.header("x-tenant");
        String key = request.header("x-key");
        Long classDeadline = jobClass == null ? null : listener.deadlineMicros.get(jobClass);
        String wrong =
                !Fields.isId(id)
                        ? "X-Request-Id is missing or no id"
                        : classDeadline == null
                                ? "X-Class is not known"
                                : !listener.knowsTenant(tenant)
                                        ? "X-Tenant is not known"
                                        : !Fields.isName(key)
                                                ? "X-Key is no name"
                                                : !Fields.isName(request.header("content-type"))
                                                        ? "Content-Type is no name"
                                                        : Fields.ONCE.stream()
                                                                        .anyMatch(
                                                                                name ->
                                                                                        request
                                                                                                        .headerCount(
                                                                                                                name)
                                                                                                > 1)
                                                                ? "a header is repeated"
                                                                : null;
        if (wrong != null) {
            throw new BadMessageException(400, wrong);
        }
        try {
            long deadline = Fields.deadlineMicros(request.header("x-deadline"), classDeadline);
            double slots = Fields.extra(request.header("x-extras"), "slots", 1);
            double memory = Fields.extra(request.header("x-extras"), "memory", 0);
            if (slots == 0) {
                throw new IllegalArgumentException("X-Extras has no slots");
            }
            return new Submission(
                    id,
                    jobClass,
                    tenant,
                    key,
                    deadline,
                    slots,
                    memory,
                    claim(request, jobClass, listener.claims));
        } catch (IllegalArgumentException e) {
            throw new BadMessageException(400, e.getMessage());
        }
    }

    private static Consumer<String> claim(
            Message request, String jobClass, ExtensionHeaders claims) {
        if (claims == null) {
            return null;
        }
        for (String name : claims.names()) {
            if (request.headerCount(name) > 1) {
                throw new IllegalArgumentException(name + " is repeated");
            }
        }
        return claims.read(jobClass, request::header);
    }
}
