package dillcross.net.buffer;

/**
 * What memory is taken for, with the share of the budget up to which it may be taken. The nearer a
 * request is to its answer the larger the share: where memory runs short, requests are refused
 * before they are forwarded, and what was forwarded is answered.
 */
public enum MemoryUse {
  /**
   * Requests that arrive or wait for their answer; a small one may be taken where a large is not.
   */
  REQUEST_INPUT(0, MemoryUse.SMALL_REQUEST_SHARE, MemoryUse.LARGE_REQUEST_SHARE),

  /** Parsed heads of requests. That of a usual request always fits. */
  REQUEST_HEAD(4 << 10, MemoryUse.SMALL_REQUEST_SHARE, MemoryUse.LARGE_REQUEST_SHARE),

  /** Requests on their way to an endpoint. A head always fits. */
  REQUEST_OUTPUT(16 << 10, MemoryUse.FORWARDED_SHARE, MemoryUse.FORWARDED_SHARE),

  /** Responses of endpoints. A head always fits. */
  RESPONSE_INPUT(32 << 10, MemoryUse.SCARCE_SHARE, MemoryUse.SCARCE_SHARE),

  /** Responses on their way to a client: a request that was forwarded is never left unanswered. */
  RESPONSE_OUTPUT(Integer.MAX_VALUE, MemoryUse.WHOLE, MemoryUse.WHOLE);

  /** The share of the budget from which on it is scarce: bodies are streamed in small steps. */
  static final double SCARCE_SHARE = 7 / 8.0;

  private static final double LARGE_REQUEST_SHARE = 4 / 8.0;
  private static final double SMALL_REQUEST_SHARE = 5 / 8.0;
  private static final double FORWARDED_SHARE = 6 / 8.0;
  private static final double WHOLE = 1;
  private static final int SMALL_BYTES = 8 << 10;

  private final int guaranteedBytes;
  private final double smallShare;
  private final double largeShare;

  MemoryUse(int guaranteedBytes, double smallShare, double largeShare) {
    this.guaranteedBytes = guaranteedBytes;
    this.smallShare = smallShare;
    this.largeShare = largeShare;
  }

  /** Whether one buffer may grow to {@code bytes} however much is taken. */
  boolean isGuaranteed(int bytes) {
    return bytes <= guaranteedBytes;
  }

  /** The share of the budget that may be taken when one buffer has grown to {@code bytes}. */
  double shareFor(int bytes) {
    return bytes <= SMALL_BYTES ? smallShare : largeShare;
  }
}
