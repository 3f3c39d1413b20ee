package loadbalancer.policy.health;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Predicate;

import loadbalancer.policy.Idempotency;
import loadbalancer.policy.LoadBalancerSettings;
import loadbalancer.policy.log.DecisionLog;
import loadbalancer.policy.log.EndpointEjected;
import loadbalancer.policy.log.EndpointRestored;
import loadbalancer.policy.model.Endpoint;
import loadbalancer.policy.model.EndpointHealth;
import loadbalancer.policy.model.EndpointSharing;
import loadbalancer.policy.model.PendingRequest;

/**
 * Outlier detection: counts the errors of endpoints and ejects endpoints that fail too often.
 *
 * <p>A failure adds one to the error count of its endpoint, which lowers the endpoint's weight, and a success clears
 * the count. An endpoint with too many failures among its recent results is ejected, either for all request classes or
 * for one. An ejected endpoint gets only single probation attempts for these requests, and each failure increases the
 * time to the next probation attempt. At most half of the active endpoints are ejected: if more fail, the endpoints are
 * not the cause, and only the weights are used. Each class is also judged separately, since the successes of one class
 * would hide the failures of another.
 */
public final class OutlierDetector {
    /**
     * Failures among the last {@link EndpointHealth#HISTORY_LENGTH} results that eject an endpoint, in addition to
     * those that are tolerated because of the common failure rate.
     */
    private static final int MIN_FAILURES_TO_EJECT = 4;

    /**
     * Multiple of the common failure rate that is tolerated of each endpoint: connection resets that affect all
     * endpoints are not the fault of one.
     */
    private static final double COMMON_FAILURE_FACTOR = 2;

    /** Weight of a new result in the common failure rate. */
    private static final double COMMON_FAILURE_GAIN = 1.0 / 256;

    /** Consecutive successful probation attempts after which an endpoint is restored. */
    private static final int SUCCESSES_TO_RESTORE = 3;

    /** Mean time from the first ejection to the first probation attempt. */
    private static final long FIRST_EJECTION_US = 250_000;

    /** Upper bound of the mean time to a probation attempt. This time doubles with each failure during an ejection. */
    private static final long MAX_EJECTION_US = 4_000_000;

    /**
     * Multiple of the ejection time by which probation is delayed further for non-idempotent requests. Such a request
     * is lost if its attempt fails.
     */
    private static final int NON_IDEMPOTENT_PROBATION_FACTOR = 4;

    /**
     * Maximum error count that slow responses can cause. It need not be higher, since the concurrency limit also bounds
     * the load of a slow endpoint.
     */
    private static final int MAX_ERRORS_FROM_SLOWNESS = 8;

    /** Class index that stands for the results of all classes together. */
    private static final int ALL_CLASSES = -1;

    private final LoadBalancerSettings settings;
    private final EndpointSharing sharing;
    private final SplittableRandom random;
    private final DecisionLog log;
    private final Listener listener;
    /** The active endpoints that are ejected for all classes or for at least one, in list order. */
    private final List<Endpoint> ejected = new ArrayList<>();

    private int activeEndpoints;
    /** Running share of failures among all results, without the failures of ejected endpoints. */
    private double commonFailureRate;

    /** Receiver of the changes that the detector makes to endpoints. */
    public interface Listener {
        /** Handles a change of an error count, which changes weights. */
        void onErrorCountChanged();

        /** Handles the ejection, its extension, or the restoration of an endpoint, for all classes or for one. */
        void onEjectionsChanged();
    }

    /** Creates a detector without results or endpoints. */
    public OutlierDetector(
            LoadBalancerSettings settings,
            EndpointSharing sharing,
            SplittableRandom random,
            DecisionLog log,
            Listener listener) {
        this.settings = settings;
        this.sharing = sharing;
        this.random = random;
        this.log = log;
        this.listener = listener;
    }

    /** Sets the active endpoints and determines which of them are ejected. */
    public void refreshEjectedEndpoints(Endpoint[] active) {
        activeEndpoints = active.length;
        ejected.clear();
        for (Endpoint endpoint : active) {
            if (endpoint.isEjectedForAnyClass()) {
                ejected.add(endpoint);
            }
        }
    }

    /** Returns whether any active endpoint is ejected for all classes or for at least one. */
    public boolean hasEjectedEndpoints() {
        return !ejected.isEmpty();
    }

    /**
     * Counts a failure.
     *
     * @param indicatesPoorHealth whether the failure may be caused by poor health of the endpoint and not only by its
     *     load. If not, it raises the error count but does not lead to an ejection
     */
    public void onFailure(Endpoint endpoint, int classIndex, boolean indicatesPoorHealth, long nowUs) {
        setErrorCount(endpoint, endpoint.errorCount() + 1);
        if (!indicatesPoorHealth) {
            return;
        }
        if (!endpoint.health().isEjected()) {
            commonFailureRate += COMMON_FAILURE_GAIN * (1 - commonFailureRate);
        }
        EndpointHealth classHealth = endpoint.healthOf(classIndex);
        EndpointHealth overallHealth = endpoint.health();
        overallHealth.recordFailure();
        if (overallHealth.isEjected()
                || (exceedsFailureThreshold(overallHealth) && !servesOtherClass(endpoint, classHealth))) {
            eject(endpoint, overallHealth, ALL_CLASSES, nowUs);
        }
        classHealth.recordFailure();
        if (classHealth.isEjected() || exceedsFailureThreshold(classHealth)) {
            eject(endpoint, classHealth, classIndex, nowUs);
        }
    }

    private boolean exceedsFailureThreshold(EndpointHealth health) {
        return health.recentFailures()
                >= MIN_FAILURES_TO_EJECT + COMMON_FAILURE_FACTOR * EndpointHealth.HISTORY_LENGTH * commonFailureRate;
    }

    /**
     * Returns whether another class has had a success after the last success of this class, and no failure among its
     * recent results.
     */
    private static boolean servesOtherClass(Endpoint endpoint, EndpointHealth classHealth) {
        for (int c = 0; c < endpoint.classCount(); c++) {
            EndpointHealth other = endpoint.healthOf(c);
            if (other.lastSuccessAtUs() > classHealth.lastSuccessAtUs() && other.recentFailures() == 0) {
                return true;
            }
        }
        return false;
    }

    /**
     * Counts a success.
     *
     * @param isSlow whether the response was slower than most of its class
     */
    public void onSuccess(Endpoint endpoint, int classIndex, boolean isSlow, long nowUs) {
        commonFailureRate -= COMMON_FAILURE_GAIN * commonFailureRate;
        if (recordSuccess(endpoint, ALL_CLASSES, nowUs)
                || recordSuccess(endpoint, classIndex, nowUs)
                || endpoint.health().isEjected()) {
            return;
        }
        int newErrorCount = sharing.isWidelyShared() ? errorsAfterSuccess(endpoint.errorCount(), isSlow) : 0;
        if (newErrorCount != endpoint.errorCount()) {
            setErrorCount(endpoint, newErrorCount);
        }
    }

    /**
     * Returns the error count after a success at an instance that observes little of the endpoint's load. A slow
     * response adds an error and any other response subtracts one, so that the weights converge to values at which all
     * endpoints are about equally fast.
     */
    private static int errorsAfterSuccess(int errorCount, boolean isSlow) {
        return isSlow
                ? Math.max(errorCount, Math.min(MAX_ERRORS_FROM_SLOWNESS, errorCount + 1))
                : Math.max(0, errorCount - 1);
    }

    /** Records a success and returns whether it restored the endpoint. */
    private boolean recordSuccess(Endpoint endpoint, int classIndex, long nowUs) {
        boolean isForAllClasses = classIndex == ALL_CLASSES;
        EndpointHealth health = isForAllClasses ? endpoint.health() : endpoint.healthOf(classIndex);
        health.recordSuccess(nowUs);
        if (!health.isEjected() || health.probationSuccesses() < SUCCESSES_TO_RESTORE) {
            return false;
        }
        log.record(new EndpointRestored(endpoint.id(), !isForAllClasses), nowUs);
        health.reset();
        if (isForAllClasses) {
            resetHistory(endpoint);
        }
        listener.onEjectionsChanged();
        return true;
    }

    /** Ejects an endpoint unless too many are ejected, or extends its ejection. */
    private void eject(Endpoint endpoint, EndpointHealth health, int classIndex, long nowUs) {
        if (!health.isEjected()) {
            if (2 * (countEjected(classIndex) + 1) > activeEndpoints) {
                return;
            }
            String className = classIndex == ALL_CLASSES
                    ? null
                    : settings.classes.get(classIndex).name();
            log.record(new EndpointEjected(endpoint.id(), health.recentFailures(), className), nowUs);
        }
        long previousDurationUs = health.isEjected() ? health.ejectionDurationUs() : FIRST_EJECTION_US / 2;
        long durationUs = Math.min(MAX_EJECTION_US, 2 * previousDurationUs);
        health.eject(durationUs, nowUs + durationUs / 2 + random.nextLong(durationUs));
        listener.onEjectionsChanged();
    }

    private int countEjected(int classIndex) {
        int count = 0;
        for (Endpoint endpoint : ejected) {
            EndpointHealth health = classIndex == ALL_CLASSES ? endpoint.health() : endpoint.healthOf(classIndex);
            count += health.isEjected() ? 1 : 0;
        }
        return count;
    }

    /**
     * Clears the error count, the recent results and the ejections of an endpoint, as after a restart of its process.
     */
    public void resetHistory(Endpoint endpoint) {
        if (endpoint.errorCount() > 0) {
            setErrorCount(endpoint, 0);
        }
        endpoint.health().reset();
        for (int c = 0; c < endpoint.classCount(); c++) {
            endpoint.healthOf(c).reset();
        }
    }

    private void setErrorCount(Endpoint endpoint, int newErrorCount) {
        endpoint.setErrorCount(newErrorCount);
        listener.onErrorCountChanged();
    }

    /**
     * Returns the first ejected endpoint that is permitted, due for a probation attempt with {@code request}, and has
     * no requests in flight; null if there is none.
     */
    public Endpoint findProbationEndpoint(PendingRequest request, Predicate<Endpoint> isPermitted, long nowUs) {
        for (Endpoint endpoint : ejected) {
            if (isDueForProbation(endpoint, request, nowUs)
                    && endpoint.concurrency().inFlight() == 0
                    && isPermitted.test(endpoint)) {
                return endpoint;
            }
        }
        return null;
    }

    private static boolean isDueForProbation(Endpoint endpoint, PendingRequest request, long nowUs) {
        EndpointHealth overallHealth = endpoint.health();
        EndpointHealth classHealth = endpoint.healthOf(request.classIndex());
        if (request.requestClass().idempotency() == Idempotency.NON_IDEMPOTENT) {
            // A non-idempotent request is sent only if no request of another class can detect the recovery.
            return !overallHealth.isEjected()
                    && classHealth.isEjected()
                    && nowUs
                            >= classHealth.probationAtUs()
                                    + NON_IDEMPOTENT_PROBATION_FACTOR * classHealth.ejectionDurationUs();
        }
        return (overallHealth.isEjected() && nowUs >= overallHealth.probationAtUs())
                || (classHealth.isEjected() && nowUs >= classHealth.probationAtUs());
    }
}
