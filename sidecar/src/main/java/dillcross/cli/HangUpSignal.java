package dillcross.cli;

import java.lang.invoke.MethodHandle;
import java.lang.invoke.MethodHandleProxies;
import java.lang.invoke.MethodHandles;
import java.lang.invoke.MethodType;
import java.util.logging.Logger;

/**
 * Reacts to SIGHUP. Java has no public way to learn of this signal; the type is named by
 * reflection, as the compiler warns of it.
 */
final class HangUpSignal {
  private static final Logger LOG = Logger.getLogger(HangUpSignal.class.getName());

  private HangUpSignal() {}

  /** Has the action run at each SIGHUP, which would end the program else. */
  static void onSignal(Runnable action) {
    try {
      Class<?> signal = Class.forName("sun.misc.Signal");
      Class<?> handler = Class.forName("sun.misc.SignalHandler");
      MethodHandle run =
          MethodHandles.lookup().bind(action, "run", MethodType.methodType(void.class));
      Object proxy =
          MethodHandleProxies.asInterfaceInstance(
              handler, MethodHandles.dropArguments(run, 0, signal));
      Object hangUp = signal.getConstructor(String.class).newInstance("HUP");
      signal.getMethod("handle", signal, handler).invoke(null, hangUp, proxy);
    } catch (ReflectiveOperationException | IllegalArgumentException e) {
      LOG.warning("SIGHUP can't be handled here, and would end the program: " + e);
    }
  }
}
