package loadbalancer.proxy.upstream;

import io.netty.handler.codec.http.FullHttpRequest;

import loadbalancer.policy.AttemptResult;

/** One request to an endpoint, with its response. */
public interface UpstreamExchange {
    /** Returns whether the request may still be sent: the client waits for it and its time is not over. */
    boolean isActive();

    /**
     * Returns whether the decision module permits to send the request now. The pool checks this before each write, because the
     * request may have waited for a connection, or for the endpoint to read its first part.
     */
    boolean isSendPermitted();

    /** Creates the request message. The pool calls this at most once, when a connection is available. */
    FullHttpRequest createRequest();

    /**
     * Completes the exchange. The pool calls this at most once, and never after the exchange was abandoned.
     *
     * @param body the body of the endpoint's response if the result is OK, otherwise empty
     */
    void onCompleted(AttemptResult result, byte[] body);
}
