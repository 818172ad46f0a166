package dillcross.net.connection;

/**
 * The relays of large bodies that a connection takes part in: at most one that takes what arrives,
 * and one that brings what is sent. Belongs to the selector thread.
 */
public final class ConnectionRelays {
  private BodyRelay inbound; // null while complete messages are read
  private BodyRelay outbound; // null while complete messages are written

  ConnectionRelays() {}

  /** Has the relay take what arrives. */
  void attachInbound(BodyRelay relay) {
    inbound = relay;
  }

  /** Has the relay bring what is sent. */
  void attachOutbound(BodyRelay relay) {
    outbound = relay;
  }

  /** Detaches the relay from what arrives; returns false if it was not attached. */
  boolean detachInbound(BodyRelay relay) {
    if (inbound != relay) {
      return false;
    }
    inbound = null;
    return true;
  }

  /** Detaches the relay from what is sent; returns false if it was not attached. */
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

  /** Moves on what has arrived, if it is relayed. */
  void transferInbound() {
    if (inbound != null) {
      inbound.transfer();
    }
  }

  /** Brings more to be sent, if it is relayed. */
  void transferOutbound() {
    if (outbound != null) {
      outbound.transfer();
    }
  }

  /** Whether what arrives is relayed to another connection. */
  public boolean hasInbound() {
    return inbound != null;
  }

  /** Whether what is sent is relayed from another connection. */
  public boolean hasOutbound() {
    return outbound != null;
  }
}
