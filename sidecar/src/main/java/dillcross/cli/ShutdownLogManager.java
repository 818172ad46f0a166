package dillcross.cli;

import java.util.logging.LogManager;

/**
 * A log manager that goes on logging while the process shuts down: the JVM's own closes the log
 * first, so that what happens to the last requests is not recorded.
 */
public final class ShutdownLogManager extends LogManager {
  private volatile boolean keepsHandlers;

  /** Keeps the log open from now on. */
  void keepHandlers() {
    keepsHandlers = true;
  }

  @Override
  public void reset() {
    if (!keepsHandlers) {
      super.reset();
    }
  }
}
