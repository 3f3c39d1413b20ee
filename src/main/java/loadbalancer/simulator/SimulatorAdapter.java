package loadbalancer.simulator;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;

/** Runs instances of the decision module for the simulator, over standard input and standard output. */
public final class SimulatorAdapter {
    private SimulatorAdapter() {}

    /**
     * Handles events until the input ends. On malformed input or an I/O error, writes one line to standard error and
     * exits with code 2.
     */
    public static void run() {
        try {
            new SimulatorSession(System.in, new FileOutputStream(FileDescriptor.out)).run();
        } catch (WireFormatException | IOException e) {
            System.err.println("loadbalancer: " + e.getMessage());
            System.exit(2);
        }
    }
}
