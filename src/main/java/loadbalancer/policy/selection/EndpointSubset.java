package loadbalancer.policy.selection;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;

import loadbalancer.policy.LoadBalancerSettings;
import loadbalancer.policy.model.Endpoint;
import loadbalancer.policy.model.EndpointSharing;

/**
 * Selects the subset of the ready endpoints that this instance uses in a large fleet, mostly local ones if crossing
 * zones has a cost. Subsets are used because the number of connections is limited, each connection has a cost, and an
 * instance that spreads its requests over more endpoints observes less of each.
 *
 * <p>Subsets are rows of a Maglev table; instance {@code i} uses row {@code i} modulo the number of rows. All endpoints
 * are used by about the same number of instances, every instance builds the same table from the same list, and a change
 * of the list moves few entries.
 */
public final class EndpointSubset {
    /** Instances that share an endpoint in a large fleet. In a fleet no larger than this, each uses all endpoints. */
    private static final int SHARING_INSTANCES = 24;

    /** Minimum size of a subset if there are enough endpoints: one may fail and another one may hang. */
    private static final int MIN_SIZE = 4;

    /**
     * Minimum table entries per endpoint in a large fleet, so that all are used by about the same number of instances.
     */
    private static final int MIN_TABLE_ENTRIES_PER_ENDPOINT = 4;

    private final LoadBalancerSettings settings;
    private final EndpointSharing sharing;
    /**
     * Number of local endpoints in the subset. It changes only when the wanted number has doubled or halved, because a
     * change of this size moves all table entries.
     */
    private int localSize;

    /** Creates a selector by these settings, which updates {@code sharing} with each subset. */
    public EndpointSubset(LoadBalancerSettings settings, EndpointSharing sharing) {
        this.settings = settings;
        this.sharing = sharing;
    }

    /**
     * Returns this instance's subset of the ready endpoints, in list order, and updates how many instances share an
     * endpoint on average.
     */
    public Endpoint[] selectFrom(Endpoint[] ready) {
        Set<Endpoint> subset = new HashSet<>(selectSubset(ready));
        double instancesPerEndpoint = (double) settings.instances * subset.size() / Math.max(1, ready.length);
        sharing.setInstancesPerEndpoint(Math.max(1, instancesPerEndpoint));
        return Arrays.stream(ready).filter(subset::contains).toArray(Endpoint[]::new);
    }

    private List<Endpoint> selectSubset(Endpoint[] ready) {
        int zones = settings.crossZoneCost == 0 ? 1 : Math.max(1, settings.zones.size());
        Endpoint[] local = zones == 1 ? ready : filterByLocality(ready, true);
        Endpoint[] remote = zones == 1 ? new Endpoint[0] : filterByLocality(ready, false);
        int wantedLocalSize = subsetSize(local.length, (double) settings.instances / zones, zones == 1 ? 2 : 1);
        int wantedRemoteSize = subsetSize(remote.length, settings.instances, 1);
        if (wantedLocalSize == local.length && wantedRemoteSize == remote.length) {
            return Arrays.asList(ready);
        }
        boolean keepsSize = 2 * wantedLocalSize > localSize && wantedLocalSize < 2 * localSize;
        localSize = keepsSize ? localSize : wantedLocalSize;
        List<Endpoint> subset = new ArrayList<>(selectRow(local, Math.min(local.length, localSize)));
        subset.addAll(selectRow(remote, Math.min(wantedRemoteSize, Math.max(MIN_SIZE, localSize / 2))));
        return subset;
    }

    private Endpoint[] filterByLocality(Endpoint[] endpoints, boolean isLocal) {
        return Arrays.stream(endpoints)
                .filter(endpoint -> (endpoint.zone() == settings.localZone) == isLocal)
                .toArray(Endpoint[]::new);
    }

    private static int subsetSize(int endpoints, double instances, int minSize) {
        // If few endpoints are left, MIN_SIZE endpoints at every instance would reach the limit on connections.
        int lowerBound = (int) Math.max(minSize, Math.min(MIN_SIZE, 2 * SHARING_INSTANCES * endpoints / instances));
        return Math.min(endpoints, Math.max(lowerBound, (int) Math.ceil(SHARING_INSTANCES * endpoints / instances)));
    }

    /**
     * Returns this instance's row of the Maglev table. Several instances use the same row, since a table with one row
     * per instance would use too much CPU time in a large fleet.
     */
    private List<Endpoint> selectRow(Endpoint[] endpoints, int size) {
        if (size == endpoints.length) {
            return Arrays.asList(endpoints);
        }
        int rows = 1;
        while (2 * rows <= settings.instances && rows * size < MIN_TABLE_ENTRIES_PER_ENDPOINT * endpoints.length) {
            rows *= 2;
        }
        Endpoint[] table = MaglevTable.build(endpoints, Endpoint::hash, MaglevTable.nextPrime(rows * size), size);
        int rowStart = settings.instanceIndex % rows * size;
        return Arrays.stream(table, rowStart, rowStart + size)
                .filter(Objects::nonNull)
                .toList();
    }
}
