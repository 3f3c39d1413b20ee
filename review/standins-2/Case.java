import java.nio.file.Path;

/** What the programs of all cases share: the folder, the switch for the disruption, and the exit code. */
final class Case {
    private static final int MAX_RUN_MS = 110_000;
    private static final int HELD = 0;
    private static final int BROKEN = 1;
    private static final int COULD_NOT_RUN = 2;

    /** The body of a case: returns how often the rule was broken. */
    interface Body {
        int run(Journal journal, boolean hasTrouble) throws Exception;
    }

    private Case() {}

    /** Runs a case and ends the process, with all that it has started. */
    static void run(String[] args, Body body) {
        Thread watchdog = new Thread(() -> {
            try {
                Thread.sleep(MAX_RUN_MS);
                cannotRun(new IllegalStateException("no result within " + MAX_RUN_MS + " ms"));
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        watchdog.setDaemon(true);
        watchdog.start();
        try {
            Journal journal = new Journal(Path.of(args[0]));
            boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
            int breaks = body.run(journal, hasTrouble);
            String verdict = breaks > 0 ? "BROKEN " + breaks + " times" : "HELD";
            journal.write((hasTrouble ? "" : "without the disruption: ") + verdict);
            System.out.println((hasTrouble ? "" : "without the disruption: ") + verdict);
            System.exit(breaks > 0 ? BROKEN : HELD);
        } catch (Exception e) {
            cannotRun(e);
        }
    }

    static void cannotRun(Exception reason) {
        System.err.println("the case could not run: " + reason);
        System.exit(COULD_NOT_RUN);
    }
}
