package dillcross.sidecar;

import dillcross.model.Outcome;

/** How a push ended on the network: a value, never an exception. {@code content} is the answer that is passed on. */
public record Ending(Kind kind, Reach reach, Object content) {
    /** What ended it. */
    public enum Kind {
        ACKED, ERROR, TURNED_AWAY, REJECTED, BROKEN, GIVEN_UP,
        /** It was never begun, through no fault of the endpoint. */
        NOT_SENT
    }

    /** What it means to the module; {@code late} where the push was given up because its time was over. */
    Outcome outcome(boolean late) {
        return switch (kind) {
            case ACKED -> Outcome.ACKED;
            case ERROR -> Outcome.ERROR;
            case TURNED_AWAY -> Outcome.FULL;
            case REJECTED -> Outcome.REJECTED;
            // The endpoint begins with the last byte: what was not written whole has never run.
            case BROKEN -> reach == Reach.WHOLE_WRITTEN ? Outcome.RESET : Outcome.CONNECT_FAILED;
            case NOT_SENT -> Outcome.MOOT;
            case GIVEN_UP -> !late ? Outcome.CANCELLED
                    : reach == Reach.WHOLE_WRITTEN ? Outcome.TIMED_OUT : Outcome.CONNECT_FAILED;
        };
    }
}
