package loadbalancer.policy.selection;

import java.util.Arrays;
import java.util.SplittableRandom;

import loadbalancer.policy.LoadBalancerSettings;
import loadbalancer.policy.model.Endpoint;
import loadbalancer.policy.model.KeyHash;
import loadbalancer.policy.model.PendingRequest;

/**
 * Picks endpoints among the active ones: picks two at random by weight and returns the one with fewer of this
 * instance's requests in flight.
 *
 * <p>Where endpoints cache keys, the request's key determines the picks. Every instance picks the same endpoints for a
 * key. An endpoint whose error count grows loses some keys to the next picks of these keys; all other keys stay where
 * they are cached. If none of a key's picks has capacity, the request waits: any other endpoint would have to do the
 * work that the cache saves.
 */
public final class EndpointPicker {
    /**
     * Maximum number of picks after a first one that is not permitted. Examining every endpoint of a long list would
     * use too much CPU time.
     */
    private static final int MAX_REPEATED_PICKS = 15;

    /** Number of picks that a key determines. Some of them are rejected because of the endpoint's weight. */
    private static final int PICKS_PER_KEY = 8;

    /**
     * Number of this instance's requests in flight at a local endpoint from which on all zones are considered, and
     * by which an endpoint picked from all zones must have fewer in flight to be preferred.
     */
    private static final int REMOTE_IN_FLIGHT_MARGIN = 2;

    private static final Endpoint[] NO_ENDPOINTS = {};

    private final LoadBalancerSettings settings;
    private final SplittableRandom random;
    private final EndpointFilter filter;
    private final EndpointWeights weights = new EndpointWeights();
    private Endpoint[] active = NO_ENDPOINTS;
    private EndpointSelection allEndpoints = new EndpointSelection(NO_ENDPOINTS, false);
    /** The endpoints of the local zone if crossing zones has a cost, otherwise equal to {@link #allEndpoints}. */
    private EndpointSelection localEndpoints = allEndpoints;

    /** Creates a picker that has no endpoints yet. */
    public EndpointPicker(LoadBalancerSettings settings, SplittableRandom random, EndpointFilter filter) {
        this.settings = settings;
        this.random = random;
        this.filter = filter;
    }

    /** Sets the endpoints to pick from. */
    public void setActiveEndpoints(Endpoint[] newActive) {
        active = newActive;
        allEndpoints = new EndpointSelection(newActive, settings.endpointsCacheKeys);
        localEndpoints =
                settings.crossZoneCost == 0 ? allEndpoints : new EndpointSelection(filterLocal(newActive), false);
        weights.markStale();
    }

    private Endpoint[] filterLocal(Endpoint[] endpoints) {
        return Arrays.stream(endpoints)
                .filter(endpoint -> endpoint.zone() == settings.localZone)
                .toArray(Endpoint[]::new);
    }

    /** Has the weights recomputed at the next pick. To be called when error counts or ejections have changed. */
    public void markWeightsStale() {
        weights.markStale();
    }

    /**
     * Picks an endpoint for a request without attempts in flight. Returns null if no permitted endpoint is found.
     *
     * <p>If crossing zones has a cost and the request has no key affinity, a local endpoint is picked first and
     * returned if it has few requests in flight and no errors. Otherwise an endpoint is also picked from all zones. The
     * latter is returned if no local endpoint was found, if it has fewer errors than the local one, or if it has at
     * least {@link #REMOTE_IN_FLIGHT_MARGIN} fewer requests in flight.
     */
    public Endpoint pick(PendingRequest request, long nowUs) {
        boolean localOnly = localEndpoints == allEndpoints || request.hasKeyAffinity();
        Endpoint best = pickOfTwo(request, request.hasKeyAffinity() ? allEndpoints : localEndpoints, nowUs);
        if (localOnly || (best != null && isLightlyLoaded(best))) {
            return best;
        }
        Endpoint fromAllZones = pickOfTwo(request, allEndpoints, nowUs);
        return best == null || (fromAllZones != null && isPreferable(fromAllZones, best)) ? fromAllZones : best;
    }

    private static boolean isLightlyLoaded(Endpoint endpoint) {
        return endpoint.concurrency().inFlight() < REMOTE_IN_FLIGHT_MARGIN && endpoint.errorCount() == 0;
    }

    private static boolean isPreferable(Endpoint candidate, Endpoint localEndpoint) {
        return candidate.concurrency().inFlight() + REMOTE_IN_FLIGHT_MARGIN
                        <= localEndpoint.concurrency().inFlight()
                || candidate.errorCount() < localEndpoint.errorCount();
    }

    /**
     * Picks two endpoints and returns the one with fewer of this instance's requests in flight. A tie is broken at
     * random, or in favor of the first pick if the request has key affinity.
     */
    private Endpoint pickOfTwo(PendingRequest request, EndpointSelection selection, long nowUs) {
        Endpoint first = pickOne(request, selection, null, nowUs);
        Endpoint second = first == null ? null : pickOne(request, selection, first, nowUs);
        if (second == null) {
            return first;
        }
        int inFlightDifference =
                first.concurrency().inFlight() - second.concurrency().inFlight();
        if (inFlightDifference != 0) {
            return inFlightDifference < 0 ? first : second;
        }
        // The first pick is more likely to be the one with the higher weight, so a tie is broken at random.
        return request.hasKeyAffinity() || random.nextInt(2) == 0 ? first : second;
    }

    /** Picks one permitted endpoint other than {@code excluded} by weight, or returns null if it finds none. */
    private Endpoint pickOne(PendingRequest request, EndpointSelection selection, Endpoint excluded, long nowUs) {
        weights.refresh(active, allEndpoints, localEndpoints);
        if (request.hasKeyAffinity()) {
            return pickByKey(request, selection, excluded, false, nowUs);
        }
        for (int i = 0; i <= MAX_REPEATED_PICKS && selection.size() > 0; i++) {
            Endpoint endpoint = selection.get(weights.pickIndex(selection, random));
            if (endpoint != excluded && filter.mayAttemptAt(request, endpoint, nowUs)) {
                return endpoint;
            }
        }
        return null;
    }

    /** Returns the first permitted endpoint among the picks that the request's key determines, or null. */
    private Endpoint pickByKey(
            PendingRequest request, EndpointSelection selection, Endpoint excluded, boolean excludeTried, long nowUs) {
        Endpoint[] table = selection.keyTable();
        for (int i = 0; i < PICKS_PER_KEY && table.length > 0; i++) {
            long hash = KeyHash.ofPick(request.keySeed(), i);
            Endpoint endpoint = table[(int) ((hash >>> 32) % table.length)];
            boolean isExcluded = endpoint == excluded || (excludeTried && request.hasTried(endpoint));
            if (weights.accepts(endpoint, hash) && !isExcluded && filter.mayAttemptAt(request, endpoint, nowUs)) {
                return endpoint;
            }
        }
        return null;
    }

    /**
     * Picks an endpoint that the request has not tried yet, for a retry or a hedge. Returns null if no permitted
     * endpoint is found. The endpoint is picked by key if the request has key affinity and is known not to have been
     * executed. Otherwise the next permitted endpoint after {@code failed} in list order is returned.
     */
    public Endpoint pickForRetry(PendingRequest request, Endpoint failed, long nowUs) {
        if (request.hasKeyAffinity() && request.firstPossiblyExecutedAttempt() == null) {
            return pickByKey(request, allEndpoints, null, true, nowUs);
        }
        for (int i = 1; i <= active.length; i++) {
            Endpoint next = active[(failed.activeIndex() + i) % active.length];
            if (!request.hasTried(next) && filter.mayAttemptAt(request, next, nowUs)) {
                return next;
            }
        }
        return null;
    }
}
