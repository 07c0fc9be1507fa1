package postgrade.calendar;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import postgrade.window.InvalidCalendarException;

/** A component of a calendar as read: its properties and the components within. */
final class Component {

    /**
     * @param parameters by their names in capitals
     */
    record Property(String name, int line, Map<String, String> parameters, String value) {
        InvalidCalendarException faulty(String what) {
            return new InvalidCalendarException(line, name, what);
        }

        /** The kind of value: what VALUE says, else the given one. */
        String kind(String otherwise) {
            return parameters.getOrDefault("VALUE", otherwise).toUpperCase(java.util.Locale.ROOT);
        }

        Property with(String newValue) {
            return new Property(name, line, parameters, newValue);
        }
    }

    final String name;
    final int line;
    final List<Component> within = new ArrayList<>();
    final List<Property> properties = new ArrayList<>();

    Component(String name, int line) {
        this.name = name;
        this.line = line;
    }

    void add(Property p) {
        properties.add(new Property(p.name, p.line, new LinkedHashMap<>(p.parameters), p.value));
    }

    List<Property> all(String property) {
        return properties.stream().filter(p -> p.name.equals(property)).toList();
    }

    /** Null where there is none. */
    Property one(String property) {
        List<Property> all = all(property);
        if (all.size() > 1) {
            throw all.get(1).faulty("is there twice in " + name);
        }
        return all.isEmpty() ? null : all.get(0);
    }

    Property needed(String property) {
        Property p = one(property);
        if (p == null) {
            throw new InvalidCalendarException(line, property, "is missing in " + name);
        }
        return p;
    }

    String text(String property, String otherwise) {
        Property p = one(property);
        return p == null ? otherwise : p.value;
    }
}
