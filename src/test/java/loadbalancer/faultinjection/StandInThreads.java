package loadbalancer.faultinjection;

import java.io.IOException;

/** Starts daemon threads for the stand-ins. A thread ends when its socket is closed. */
final class StandInThreads {
    /** The task of a thread. An exception of the declared types ends the thread silently. */
    interface Task {
        void run() throws IOException, InterruptedException;
    }

    private StandInThreads() {}

    static void start(Task task) {
        Thread thread = new Thread(
                () -> {
                    try {
                        task.run();
                    } catch (IOException | InterruptedException e) {
                        // The peer has closed the connection, or the test is over.
                    }
                },
                "stand-in");
        thread.setDaemon(true);
        thread.start();
    }
}
