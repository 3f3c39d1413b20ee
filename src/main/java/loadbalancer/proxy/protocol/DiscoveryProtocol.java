package loadbalancer.proxy.protocol;

/** The path, the query and the JSON fields of the endpoint lists that discovery serves. */
public final class DiscoveryProtocol {
    /** The value of the {@code Host} header of requests to discovery. */
    public static final String HOST = "discovery";

    /**
     * The target of a request for a watch. Discovery keeps the response open and writes the endpoint list to it, later
     * the changes of the list, and blank lines as heartbeats while nothing changes.
     */
    public static final String WATCH_TARGET = "/discovery/hosts?watch=1";

    /** Appended to {@link #WATCH_TARGET}, with a version after it, to request only the changes after that version. */
    public static final String AFTER_VERSION_PARAMETER = "&after=";

    /** The version of an endpoint list, an integer. */
    public static final String VERSION_FIELD = "rev";

    /** Whether an endpoint list is complete, a boolean; otherwise the list holds only changes. */
    public static final String COMPLETE_FIELD = "all";

    /** The entries of an endpoint list, an array of objects. */
    public static final String ENDPOINTS_FIELD = "targets";

    /** The id of an endpoint, which is the same for all instances. */
    public static final String ENDPOINT_ID_FIELD = "uid";

    /** The IP address and port of an endpoint. */
    public static final String ADDRESS_FIELD = "endpoint";

    /** The zone of an endpoint, named as in the settings. */
    public static final String ZONE_FIELD = "az";

    /** The number of an endpoint's cell. */
    public static final String CELL_FIELD = "pod_group";

    /** The state of an endpoint, such as {@link #READY_STATE}. */
    public static final String STATE_FIELD = "state";

    /** The capacity of an endpoint relative to others. */
    public static final String CAPACITY_FIELD = "capacity_hint";

    /** The time of an endpoint's last start in milliseconds of Unix time; 0 if the start was long ago. */
    public static final String STARTED_AT_MS_FIELD = "boot_ms";

    /** The {@link #STATE_FIELD} of an endpoint that accepts requests. */
    public static final String READY_STATE = "Ready";

    /** The {@link #STATE_FIELD} of an endpoint that must not receive new requests. */
    public static final String DRAINING_STATE = "Terminating";

    /** The {@link #STATE_FIELD} of an endpoint that no longer exists. */
    public static final String REMOVED_STATE = "Gone";

    private DiscoveryProtocol() {}
}
