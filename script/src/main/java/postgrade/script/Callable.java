package postgrade.script;

import java.util.List;
import java.util.Map;

/** What a script can call. */
interface Callable {

    String name();

    default String typeName() {
        return "builtin_function_or_method";
    }

    Object call(Run thread, List<Object> args, Map<String, Object> named);

    default void freeze() {}
}
