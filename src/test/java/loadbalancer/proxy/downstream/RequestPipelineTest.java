package loadbalancer.proxy.downstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;

import org.junit.jupiter.api.Test;

/** The order of waiting requests, and the memory of rejections. */
class RequestPipelineTest {
    private final RequestPipeline pipeline = new RequestPipeline();

    @Test
    void requestsThatAreRejectedAlikeTakeUpTheMemoryOfOne() {
        for (int i = 0; i < 1_000; i++) {
            pipeline.add(ReceivedRequest.rejectedForLackOfMemory(true, i));
        }
        assertEquals(ReceivedRequest.OVERHEAD_BYTES, pipeline.heldBytes());
        for (int i = 0; i < 1_000; i++) {
            assertNotNull(pipeline.poll());
        }
        assertNull(pipeline.poll());
        assertEquals(0, pipeline.heldBytes());
    }

    @Test
    void orderIsKeptWhereRejectionsDiffer() {
        ReceivedRequest readinessCheck = ReceivedRequest.complete(RequestHead.readinessCheck(true), new byte[0], 1);
        ReceivedRequest rejected = ReceivedRequest.rejectedForLackOfMemory(true, 2);
        ReceivedRequest last = ReceivedRequest.rejectedForLackOfMemory(false, 3);
        pipeline.add(rejected);
        pipeline.add(readinessCheck);
        pipeline.add(rejected);
        pipeline.add(rejected);
        pipeline.add(last);
        for (ReceivedRequest expected : new ReceivedRequest[] {rejected, readinessCheck, rejected, rejected, last}) {
            assertEquals(expected, pipeline.poll());
        }
        assertNull(pipeline.poll());
    }
}
