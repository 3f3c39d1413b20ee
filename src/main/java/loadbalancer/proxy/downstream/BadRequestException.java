package loadbalancer.proxy.downstream;

import loadbalancer.proxy.protocol.HttpProtocol;

/** Signals that a request header is missing or invalid. The message is the body of the response to the client. */
public final class BadRequestException extends Exception {
    private static final long serialVersionUID = 1;
    private static final String METHOD_MISMATCH = "does not go with the method";

    private final String header;
    private final String value;
    private final String reason;

    /**
     * Creates an exception with the message "header reason".
     *
     * @param header the name of the header
     * @param value the value of the header, or null if the header is missing
     * @param reason why the header is invalid
     */
    public BadRequestException(String header, String value, String reason) {
        this(header + " " + reason, header, value, reason);
    }

    private BadRequestException(String message, String header, String value, String reason) {
        super(message);
        this.header = header;
        this.value = value;
        this.reason = reason;
    }

    /** Creates the exception for a request class whose idempotency does not permit the method of the request. */
    static BadRequestException methodMismatch(String requestClass) {
        return new BadRequestException(
                "the class " + METHOD_MISMATCH, HttpProtocol.REQUEST_CLASS_HEADER, requestClass, METHOD_MISMATCH);
    }

    String header() {
        return header;
    }

    /** Returns the value of the header, or null if the header is missing. */
    String value() {
        return value;
    }

    /** Returns why the header is invalid. */
    String reason() {
        return reason;
    }
}
