package loadbalancer.proxy.upstream;

/** Thrown for a response that cannot be used: it is malformed, or exceeds a limit. */
final class InvalidResponseException extends Exception {
    private static final long serialVersionUID = 1L;

    InvalidResponseException(String reason) {
        super(reason, null, false, false);
    }
}
