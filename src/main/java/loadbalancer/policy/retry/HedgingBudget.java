package loadbalancer.policy.retry;

/** Limits hedged requests to a share of first attempts, with a maximum burst. */
public final class HedgingBudget {
    private static final double TOKENS_PER_FIRST_ATTEMPT = 0.2;
    private static final double MAX_TOKENS = 20;

    private double tokens = MAX_TOKENS;

    /** Returns whether the budget allows another hedged request. */
    public boolean isAvailable() {
        return tokens >= 1;
    }

    /** Removes one hedged request from the budget; the caller checks first that the budget is available. */
    public void spend() {
        tokens--;
    }

    /** Adds a first attempt's share to the budget. */
    public void onFirstAttempt() {
        tokens = Math.min(MAX_TOKENS, tokens + TOKENS_PER_FIRST_ATTEMPT);
    }
}
