package loadbalancer;

import loadbalancer.proxy.lifecycle.ProxyNode;
import loadbalancer.simulator.SimulatorAdapter;

/** Entry point of the program, which runs either as a proxy node or as the adapter for the simulator. */
public final class Main {
    private Main() {}

    /** Starts the mode that the only argument names; exits with code 2 if it names none. */
    public static void main(String[] args) {
        switch (args.length == 1 ? args[0] : "") {
            case "simulator" -> SimulatorAdapter.run();
            case "proxy" -> ProxyNode.run(System.getenv());
            default -> {
                System.err.println("usage: java -jar loadbalancer.jar simulator | proxy");
                System.exit(2);
            }
        }
    }
}
