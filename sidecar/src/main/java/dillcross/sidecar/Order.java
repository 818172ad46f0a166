package dillcross.sidecar;

/** One thing for the network to carry out. */
public sealed interface Order {
    /** Push the content of a client's op to an endpoint, who is at the address; {@code untilUs} is when it will be given up. */
    record Push(long op, int push, Object client, String endpoint, String address, Object content, long untilUs) implements Order { }

    /** Stop waiting for a push, and report how far it came. */
    record GiveUp(long op, int push) implements Order { }

    /** Pass an acked answer on to the client. */
    record Ack(Object client, Object content) implements Order { }

    /** Pass on to the client an answer that has begun; the rest is passed on as it comes. */
    record Pass(Object client, Object content) implements Order { }

    /** The answer that is being passed on has come to its end, or was cut. */
    record Passed(Object client, boolean whole) implements Order { }

    /** Tell the client that its op was turned down for what it is; the content is the endpoint's answer. */
    record Reject(Object client, Object content) implements Order { }

    /** Tell the client that another try is harmless, in {@code retryAfterUs} if that is not 0. */
    record Nack(Object client, long retryAfterUs) implements Order { }

    /** Tell the client that it failed, with no promise. */
    record DeadLetter(Object client) implements Order { }

    /** The endpoint left, moved or began anew: close what is open to it once it is free, and keep nothing of it. */
    record Forget(String endpoint) implements Order { }

    /** Ask for what is newer in the list than that version. */
    record Watch(long version) implements Order { }
}
