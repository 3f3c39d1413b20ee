package loadbalancer.policy;

/** Which entries an endpoint list event contains. */
public enum EndpointListKind {
    /** Only the entries that have changed. */
    CHANGES,
    /** All entries. */
    COMPLETE,
    /** All entries as this instance last knew them, possibly out of date; reported once, when the instance starts. */
    CACHED
}
