package dillcross.net;

/**
 * The resources that a server has in use.
 *
 * @param trackedRequests requests that the coordinator keeps
 * @param timers timers of the coordinator that are set
 * @param attempts attempts in flight
 * @param openRequests requests that wait for their response
 * @param bufferBytes bytes that are taken from the memory budget
 * @param failedIterations iterations of the event loop that have failed since the start
 */
public record ResourceUsage(
    int trackedRequests,
    int timers,
    int attempts,
    int openRequests,
    long bufferBytes,
    int failedIterations) {}
