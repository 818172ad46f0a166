package dillcross.sidecar;

/**
 * A request as the network received it.
 *
 * @param client the client that waits for the answer: an object of the network
 * @param content the request that is sent to endpoints: an object of the network
 * @param tenant the tenant that the request names; null where it names none
 * @param requestClass the name of a request class of the settings
 * @param timeoutUs how long the client waits, in microseconds from the last byte of the body
 * @param isRepeat whether the client says that the request is a retry
 * @param isBodyIncomplete whether more of the body follows
 */
public record IncomingRequest(
    Object client,
    Object content,
    String tenant,
    String requestClass,
    long timeoutUs,
    boolean isRepeat,
    boolean isBodyIncomplete) {}
