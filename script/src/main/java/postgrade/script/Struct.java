package postgrade.script;

/** A value with named fields, as {@code struct(a = 1)} makes it. Never changes. */
public final class Struct {
    private final DictValue fields;

    Struct(DictValue fields) {
        this.fields = fields;
    }

    DictValue fields() {
        return fields;
    }

    /** The field's value, or null. */
    public Object get(String name) {
        return fields.getOrNull(name);
    }

    /** The names of the fields, in the order given. */
    public java.util.List<String> names() {
        return fields.keyList().stream().map(String.class::cast).toList();
    }
}
