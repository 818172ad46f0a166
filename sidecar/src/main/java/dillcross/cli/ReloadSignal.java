package dillcross.cli;

import java.lang.invoke.MethodHandle;
import java.lang.invoke.MethodHandleProxies;
import java.lang.invoke.MethodHandles;
import java.lang.invoke.MethodType;
import java.util.logging.Logger;

/**
 * SIGHUP, which asks for a reload of the configuration. Java has no public API for this signal, and
 * the compiler warns of the internal one, so that is reached by reflection.
 */
final class ReloadSignal {
  private static final String SIGNAL_NAME = "HUP";
  private static final Logger LOG = Logger.getLogger(ReloadSignal.class.getName());

  private ReloadSignal() {}

  /**
   * Runs the action at each SIGHUP, on a thread of the JVM. Without a handler the signal ends the
   * process; where none can be installed, a warning is logged.
   */
  static void onSignal(Runnable action) {
    try {
      Class<?> signalClass = Class.forName("sun.misc.Signal");
      Class<?> handlerClass = Class.forName("sun.misc.SignalHandler");
      Object signal = signalClass.getConstructor(String.class).newInstance(SIGNAL_NAME);
      Object handler = handler(action, signalClass, handlerClass);
      signalClass.getMethod("handle", signalClass, handlerClass).invoke(null, signal, handler);
    } catch (ReflectiveOperationException | IllegalArgumentException e) {
      LOG.warning("SIGHUP handler not installed, SIGHUP would end the process: " + e);
    }
  }

  /** An instance of the handler interface that runs the action and ignores the signal's number. */
  private static Object handler(Runnable action, Class<?> signalClass, Class<?> handlerClass)
      throws ReflectiveOperationException {
    MethodHandle run =
        MethodHandles.lookup().bind(action, "run", MethodType.methodType(void.class));
    return MethodHandleProxies.asInterfaceInstance(
        handlerClass, MethodHandles.dropArguments(run, 0, signalClass));
  }
}
