/** Starts threads that end with the process; a broken connection ends one quietly. */
final class Tasks {
  interface Task {
    void run() throws Exception;
  }

  private Tasks() {}

  static Thread start(Task task) {
    Thread thread =
        new Thread(
            null,
            () -> {
              try {
                task.run();
              } catch (java.io.IOException | InterruptedException ended) {
                // the peer has gone, or the run is over
              } catch (Exception fault) {
                System.err.println("stand-in failed: " + fault);
              }
            },
            "task",
            128 << 10);
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  static void sleep(double ms) throws InterruptedException {
    if (ms > 0) {
      Thread.sleep((long) ms, (int) ((ms - (long) ms) * 1e6));
    }
  }
}
