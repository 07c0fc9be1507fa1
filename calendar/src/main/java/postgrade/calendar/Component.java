package postgrade.calendar;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import postgrade.window.InvalidCalendarException;

/** A parsed component of a calendar: its properties and child components. */
final class Component {

    /**
     * A property of a component.
     *
     * @param parameters by name in upper case
     */
    record Property(String name, int line, Map<String, String> parameters, String value) {
        InvalidCalendarException invalid(String message) {
            return new InvalidCalendarException(line, name, message);
        }

        /** Returns the type of the value: that of the VALUE parameter, else the given default. */
        String valueType(String defaultType) {
            return parameters.getOrDefault("VALUE", defaultType).toUpperCase(java.util.Locale.ROOT);
        }

        Property withValue(String newValue) {
            return new Property(name, line, parameters, newValue);
        }
    }

    final String name;
    final int line;
    final List<Component> children = new ArrayList<>();
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

    /** Returns null if the property is absent. */
    Property optional(String property) {
        List<Property> all = all(property);
        if (all.size() > 1) {
            throw all.get(1).invalid("is there twice in " + name);
        }
        return all.isEmpty() ? null : all.get(0);
    }

    Property required(String property) {
        Property p = optional(property);
        if (p == null) {
            throw new InvalidCalendarException(line, property, "is missing in " + name);
        }
        return p;
    }

    String valueOrDefault(String property, String defaultValue) {
        Property p = optional(property);
        return p == null ? defaultValue : p.value;
    }
}
