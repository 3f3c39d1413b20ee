package loadbalancer.proxy.upstream;

import java.io.IOException;

/** Signals that a part of a request was not written, because the request may not be sent any more. */
final class WriteNotPermittedException extends IOException {
    private static final long serialVersionUID = 1;

    WriteNotPermittedException() {
        super("the request may not be sent any more");
    }
}
