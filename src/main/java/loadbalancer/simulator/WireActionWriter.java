package loadbalancer.simulator;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

import loadbalancer.policy.LoadBalancerActions;
import loadbalancer.policy.log.PolicyEvent;

/**
 * Writes the actions that instances request, one per line. The actions of a batch are buffered until {@link #endReply}
 * writes them, so that no part of a reply is written if the batch is malformed.
 */
final class WireActionWriter implements LoadBalancerActions {
    private static final byte[] HEX_DIGITS = "0123456789abcdef".getBytes(StandardCharsets.US_ASCII);

    private final OutputStream out;
    private byte[] buffer = new byte[1 << 16];
    private int bufferedBytes;
    private String node = "";

    WireActionWriter(OutputStream out) {
        this.out = out;
    }

    /** Sets the node that is named in the actions that follow. */
    void setNode(String node) {
        this.node = node;
    }

    /** Ends the reply to a batch and writes it to the output. */
    void endReply() throws IOException {
        appendText("next\n");
        out.write(buffer, 0, bufferedBytes);
        out.flush();
        bufferedBytes = 0;
    }

    @Override
    public void startAttempt(long requestId, String endpointId, long deadlineUs) {
        beginAction("route");
        appendRequestId(requestId);
        appendText(" server=");
        appendText(endpointId);
        appendText(" untilUs=");
        appendNumber(deadlineUs);
        endAction();
    }

    @Override
    public void cancelAttempt(long requestId, int attemptNumber) {
        beginAction("abort_attempt");
        appendRequestId(requestId);
        appendText(" seqNo=");
        appendNumber(attemptNumber);
        endAction();
    }

    @Override
    public void reject(long requestId, long retryAfterUs) {
        beginAction("decline");
        appendRequestId(requestId);
        if (retryAfterUs > 0) {
            appendText(" retryInUs=");
            appendNumber(retryAfterUs);
        }
        endAction();
    }

    @Override
    public void fail(long requestId) {
        beginAction("lose");
        appendRequestId(requestId);
        endAction();
    }

    @Override
    public void setTimer(long atUs) {
        beginAction("remind");
        appendText(" dueAtUs=");
        appendNumber(atUs);
        appendText(" label=w");
        endAction();
    }

    @Override
    public void closeIdleConnections(String endpointId) {
        beginAction("drop_conns");
        appendText(" server=");
        appendText(endpointId);
        endAction();
    }

    @Override
    public void watchEndpointList() {
        beginAction("track");
        appendText(" want=1");
        endAction();
    }

    @Override
    public void record(PolicyEvent event) {
        beginAction("record");
        appendNoteAndEndAction(event.describe());
    }

    /** Reports an exception of the decision module to the simulator, which ends the simulation with this text. */
    void reportFault(String description) {
        beginAction("fault");
        appendNoteAndEndAction(description);
    }

    private void appendNoteAndEndAction(String note) {
        appendText(" noteText=");
        appendText(note.replace('\n', ' ').replace('\r', ' '));
        endAction();
    }

    private void beginAction(String action) {
        appendText(action);
        appendText(" node=");
        appendText(node);
    }

    private void endAction() {
        ensureCapacity(1);
        buffer[bufferedBytes++] = '\n';
    }

    private void appendRequestId(long requestId) {
        appendText(" handle=");
        ensureCapacity(16);
        for (int shift = 60; shift >= 0; shift -= 4) {
            buffer[bufferedBytes++] = HEX_DIGITS[(int) (requestId >>> shift) & 15];
        }
    }

    private void appendText(String text) {
        int length = text.length();
        // A char takes at most three bytes in UTF-8.
        ensureCapacity(3 * length);
        for (int i = 0; i < length; i++) {
            char c = text.charAt(i);
            if (c >= 128) {
                byte[] remainder = text.substring(i).getBytes(StandardCharsets.UTF_8);
                System.arraycopy(remainder, 0, buffer, bufferedBytes, remainder.length);
                bufferedBytes += remainder.length;
                return;
            }
            buffer[bufferedBytes++] = (byte) c;
        }
    }

    private void appendNumber(long value) {
        if (value < 0) {
            appendText(Long.toString(value));
            return;
        }
        // A non-negative long has at most 19 digits.
        ensureCapacity(20);
        int digits = 1;
        for (long rest = value; rest >= 10; rest /= 10) {
            digits++;
        }
        int position = bufferedBytes + digits;
        bufferedBytes = position;
        long rest = value;
        do {
            buffer[--position] = (byte) ('0' + rest % 10);
            rest /= 10;
        } while (rest > 0);
    }

    private void ensureCapacity(int additionalBytes) {
        if (bufferedBytes + additionalBytes > buffer.length) {
            buffer = Arrays.copyOf(buffer, Math.max(2 * buffer.length, bufferedBytes + additionalBytes));
        }
    }
}
