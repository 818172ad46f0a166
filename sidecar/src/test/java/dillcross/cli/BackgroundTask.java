package dillcross.cli;

/** Work on a daemon thread that ends when the test or the other side closes its sockets. */
interface BackgroundTask {
  /** Does the work; an exception ends the thread and is ignored, as a closed socket causes one. */
  void run() throws Exception;

  /** Starts the work on a thread of its own. */
  static void start(BackgroundTask task) {
    Thread thread =
        new Thread(
            () -> {
              try {
                task.run();
              } catch (Exception closed) {
                Thread.currentThread().interrupt();
              }
            });
    thread.setDaemon(true);
    thread.start();
  }
}
