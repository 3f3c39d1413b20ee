package loadbalancer.simulator;

/** Thrown if the input violates the format of the wire. The message is one line for the operator. */
public final class WireFormatException extends Exception {
    private static final long serialVersionUID = 1;

    WireFormatException(String message) {
        super(message);
    }
}
