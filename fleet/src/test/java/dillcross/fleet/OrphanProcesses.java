package dillcross.fleet;

import java.nio.file.Path;
import java.util.List;

/**
 * Program that a test kills with SIGKILL: starts three sidecars, pauses one of them, prints their
 * process ids, and waits.
 */
final class OrphanProcesses {
  private OrphanProcesses() {}

  public static void main(String[] args) throws Exception {
    Fleet fleet = new Fleet(Fleet.root(), Path.of(args[0]), 3, List.of("east"), List.of(0), 200, 1);
    fleet.startAll();
    fleet.signal(2, "STOP");
    System.out.println(
        fleet.child(0).pid() + " " + fleet.child(1).pid() + " " + fleet.child(2).pid());
    Thread.sleep(60_000);
  }
}
