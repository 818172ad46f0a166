package dillcross.net;

/**
 * What stands above the messages of its connections: it takes them whole, and hears when a
 * connection is gone.
 */
interface Part {
  /** A message, or where it can't be read the status that says why. */
  void message(Connection from, Message message, int fault);

  /**
   * The last byte of a message that flows has come, though it may not have gone on yet; told again
   * and again.
   */
  default void came(Connection from) {
    // who asks does not wait for it
  }

  void closed(Connection connection);
}
