package dillcross.model;

/** How one push ended. */
public enum Outcome {
    ACKED(true, false),
    ERROR(true, true),
    /** Turned away unseen by an endpoint that is full or draining; no mark against its health. */
    FULL(false, false),
    /** The op itself was turned down, as any endpoint would; no mark against this one's health, and final. */
    REJECTED(false, false),
    TIMED_OUT(true, true),
    CONNECT_FAILED(false, true),
    RESET(true, true),
    CANCELLED(true, false),
    /** Never sent: the op was over, out of time or out of pushes. */
    MOOT(false, false);

    /** False only where the outcome proves that the op never ran. */
    public final boolean mayHaveRun;
    /** Counts as a failure of the endpoint. */
    public final boolean failure;

    Outcome(boolean mayHaveRun, boolean failure) {
        this.mayHaveRun = mayHaveRun;
        this.failure = failure;
    }
}
