package dillcross.net.connection;

/**
 * The relays of large bodies that a connection takes part in: at most one inbound relay, which
 * forwards its input, and one outbound relay, which supplies its output. Belongs to the selector
 * thread.
 */
public final class ConnectionRelays {
  private BodyRelay inbound; // null while complete messages are read
  private BodyRelay outbound; // null while complete messages are written

  ConnectionRelays() {}

  /** Sets the relay that forwards the input. */
  void attachInbound(BodyRelay relay) {
    inbound = relay;
  }

  /** Sets the relay that supplies the output. */
  void attachOutbound(BodyRelay relay) {
    outbound = relay;
  }

  /** Removes the relay if it is the inbound one; returns false if it is not. */
  boolean detachInbound(BodyRelay relay) {
    if (inbound != relay) {
      return false;
    }
    inbound = null;
    return true;
  }

  /** Removes the relay if it is the outbound one; returns false if it is not. */
  boolean detachOutbound(BodyRelay relay) {
    if (outbound != relay) {
      return false;
    }
    outbound = null;
    return true;
  }

  /** Ends both relays, if there are any. */
  public void detachAll() {
    if (outbound != null) {
      outbound.detach();
    }
    if (inbound != null) {
      inbound.detach();
    }
  }

  /** Forwards the input that has arrived, if there is an inbound relay. */
  void transferInbound() {
    if (inbound != null) {
      inbound.transfer();
    }
  }

  /** Adds more output, if there is an outbound relay. */
  void transferOutbound() {
    if (outbound != null) {
      outbound.transfer();
    }
  }

  /** Notes the progress of the connection that the input is relayed to, if there is one. */
  void noteInboundProgress(long nowUs) {
    if (inbound != null) {
      inbound.target().noteOwnProgress(nowUs);
    }
  }

  /**
   * For how long the connection that the input is relayed to has taken nothing; {@code
   * Long.MAX_VALUE} if there is none.
   */
  public long inboundStalledUs(long nowUs) {
    return inbound == null ? Long.MAX_VALUE : inbound.target().activity().outputStalledUs(nowUs);
  }

  /** Whether input waits until the connection that it is relayed to can take it. */
  public boolean isInboundBehind() {
    return inbound != null && inbound.isTargetBehind();
  }

  /** Whether the input is relayed to another connection. */
  public boolean hasInbound() {
    return inbound != null;
  }

  /** Whether the output is relayed from another connection. */
  public boolean hasOutbound() {
    return outbound != null;
  }
}
