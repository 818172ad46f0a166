package dillcross.sidecar;

/**
 * A request as the network received it.
 *
 * @param client who waits for the answer; opaque here
 * @param content what is sent to endpoints; opaque here
 * @param tenant null where it names none
 * @param requestClass a class that the settings name
 * @param timeoutUs how long its client waits, in microseconds from the last byte of the body
 * @param isRepeat whether its client says that it tried before
 * @param isBodyIncomplete whether more of its body follows
 */
public record IncomingRequest(
    Object client,
    Object content,
    String tenant,
    String requestClass,
    long timeoutUs,
    boolean isRepeat,
    boolean isBodyIncomplete) {}
