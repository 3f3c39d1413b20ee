package loadbalancer.proxy.config;

/**
 * Thrown if a field of the configuration or of an endpoint list is missing or invalid. The message names the field and
 * is one line.
 */
public final class ConfigurationException extends Exception {
    private static final long serialVersionUID = 1;

    /** The path of the field. */
    private final String field;
    /** The invalid value, or null if the field is missing or its value is not shown. */
    private final String value;
    /** The fault, as the end of a sentence that begins with the field, such as {@code is missing}. */
    private final String reason;

    /** Creates an exception that does not show the value of the field. */
    ConfigurationException(String field, String reason) {
        this(field, reason, null);
    }

    /** Creates an exception that shows the invalid value of the field. */
    ConfigurationException(String field, String reason, String value) {
        super(field + " " + describe(reason, value));
        this.field = field;
        this.reason = reason;
        this.value = value;
    }

    private static String describe(String reason, String value) {
        return value == null ? reason : reason + ": " + value.replace('\n', ' ').replace('\r', ' ');
    }

    /** Returns this exception with the name of the enclosing field before the path. */
    ConfigurationException within(String parent) {
        return new ConfigurationException(parent + "." + field, reason, value);
    }

    /** Returns the path of the field. */
    public String field() {
        return field;
    }

    /** Returns the fault, and the value of the field if it is shown. */
    public String description() {
        return describe(reason, value);
    }
}
