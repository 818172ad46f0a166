package dillcross.cli;

import java.lang.invoke.MethodHandle;
import java.lang.invoke.MethodHandleProxies;
import java.lang.invoke.MethodHandles;
import java.lang.invoke.MethodType;
import java.util.logging.Logger;

/**
 * Handles SIGHUP, which asks for a reload of the configuration. Java has no public API for signals,
 * and the compiler warns about sun.misc.Signal, so that class is called by reflection.
 */
final class ReloadSignal {
  private static final String SIGNAL_NAME = "HUP";
  private static final Logger LOG = Logger.getLogger(ReloadSignal.class.getName());

  private ReloadSignal() {}

  /**
   * Installs a handler that runs the action at each SIGHUP, on a thread of the JVM. If the handler
   * cannot be installed, a warning is logged, and a SIGHUP ends the process.
   */
  static void onSignal(Runnable action) {
    try {
      Class<?> signalClass = Class.forName("sun.misc.Signal");
      Class<?> handlerClass = Class.forName("sun.misc.SignalHandler");
      Object signal = signalClass.getConstructor(String.class).newInstance(SIGNAL_NAME);
      Object handler = handler(action, signalClass, handlerClass);
      signalClass.getMethod("handle", signalClass, handlerClass).invoke(null, signal, handler);
    } catch (ReflectiveOperationException | IllegalArgumentException e) {
      LOG.warning("SIGHUP handler could not be installed, a SIGHUP will end the process: " + e);
    }
  }

  /** An instance of the signal handler interface that runs the action for any signal. */
  private static Object handler(Runnable action, Class<?> signalClass, Class<?> handlerClass)
      throws ReflectiveOperationException {
    MethodHandle run =
        MethodHandles.lookup().bind(action, "run", MethodType.methodType(void.class));
    return MethodHandleProxies.asInterfaceInstance(
        handlerClass, MethodHandles.dropArguments(run, 0, signalClass));
  }
}
