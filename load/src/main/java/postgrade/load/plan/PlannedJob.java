package postgrade.load.plan;

import postgrade.script.Values.HostObject;

/**
 * What a plan makes of an entry.
 *
 * @param retryKey what a retry has in common with its first try, besides class and tenant; null for
 *     the key
 * @param deadlineMicros 0 where the plan gives none
 * @param bodyBytes -1 where the plan gives none
 */
public record PlannedJob(
        String jobClass,
        String tenant,
        String key,
        long deadlineMicros,
        long bodyBytes,
        String retryKey)
        implements HostObject {

    /** The plan leaves the entry out. */
    public record Dropped(String reason) implements HostObject {
        @Override
        public String typeName() {
            return "drop";
        }

        @Override
        public Object attribute(String name) {
            return name.equals("reason") ? reason : null;
        }
    }

    @Override
    public String typeName() {
        return "job";
    }

    @Override
    public Object attribute(String name) {
        return switch (name) {
            case "job_class" -> jobClass;
            case "tenant" -> postgrade.script.Values.of(tenant);
            case "key" -> postgrade.script.Values.of(key);
            default -> null;
        };
    }
}
