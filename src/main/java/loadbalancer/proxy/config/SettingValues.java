package loadbalancer.proxy.config;

import java.util.Map;

/** Provides typed access to settings by their dotted names. */
final class SettingValues {
    private final Map<String, String> values;

    SettingValues(Map<String, String> values) {
        this.values = values;
    }

    String getRequiredText(String name) throws ConfigurationException {
        String value = values.get(name);
        if (value == null) {
            throw new ConfigurationException(name, "is missing");
        }
        return value;
    }

    String getText(String name, String defaultValue) {
        return values.getOrDefault(name, defaultValue);
    }

    /** Returns the elements of a list of values, which are separated by commas; empty if the setting is missing. */
    String[] getList(String name) {
        String value = values.getOrDefault(name, "");
        return value.isEmpty() ? new String[0] : value.split(",");
    }

    /** Returns the number of elements of a list of objects; 0 if the setting is missing. */
    int getCount(String name) throws ConfigurationException {
        return getInt(name + "." + SettingNames.COUNT, 0);
    }

    /** Returns a boolean setting; false if the setting is missing. */
    boolean getBoolean(String name) throws ConfigurationException {
        String value = values.getOrDefault(name, "false");
        return switch (value) {
            case "1", "true" -> true;
            case "0", "false" -> false;
            default -> throw new ConfigurationException(name, "is none of true, false, 1 and 0", value);
        };
    }

    int getInt(String name, int defaultValue) throws ConfigurationException {
        return (int) getLong(name, defaultValue);
    }

    long getLong(String name, long defaultValue) throws ConfigurationException {
        return values.containsKey(name) ? getRequiredLong(name) : defaultValue;
    }

    /** Returns a number without its fraction. */
    long getRequiredLong(String name) throws ConfigurationException {
        return (long) getRequiredDouble(name);
    }

    double getDouble(String name, double defaultValue) throws ConfigurationException {
        return values.containsKey(name) ? getRequiredDouble(name) : defaultValue;
    }

    private double getRequiredDouble(String name) throws ConfigurationException {
        double number;
        try {
            number = Double.parseDouble(getRequiredText(name));
        } catch (NumberFormatException e) {
            number = Double.NaN;
        }
        if (!Double.isFinite(number)) {
            throw new ConfigurationException(name, "is not a finite number", values.get(name));
        }
        return number;
    }
}
