package dillcross.model;

/** One thing for the host to do. Which of the other fields count depends on the kind. */
public record Decision(Kind kind, long op, int push, String endpoint, long us) {
    /** What to do. */
    public enum Kind {
        /** Push the op to the endpoint; {@code us} is the clock time of the push time-out, 0 for the TTL. */
        PUSH,
        /** Final answer: another try is safe; {@code us} is how long to wait before it, 0 for no advice. */
        NACK,
        /** Final answer: nothing is promised. */
        DEAD_LETTER,
        /** Call back one push of the op. */
        CANCEL,
        /** Close the idle connections to the endpoint: it is not in use any more. */
        RELEASE,
        /** Subscribe to changes of the list. */
        LISTEN,
        /** Call {@code woken} when {@code us} from now have passed. */
        WAKE
    }

    public static Decision push(long op, String endpoint, long untilUs) {
        return new Decision(Kind.PUSH, op, 0, endpoint, untilUs);
    }

    public static Decision nack(long op, long retryAfterUs) {
        return new Decision(Kind.NACK, op, 0, null, retryAfterUs);
    }

    public static Decision deadLetter(long op) {
        return new Decision(Kind.DEAD_LETTER, op, 0, null, 0);
    }

    public static Decision cancel(long op, int push) {
        return new Decision(Kind.CANCEL, op, push, null, 0);
    }

    public static Decision release(String endpoint) {
        return new Decision(Kind.RELEASE, 0, 0, endpoint, 0);
    }

    public static Decision listen() {
        return new Decision(Kind.LISTEN, 0, 0, null, 0);
    }

    public static Decision wake(long afterUs) {
        return new Decision(Kind.WAKE, 0, 0, null, afterUs);
    }
}
