import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** The record of one run: what was sent, answered and run, with the time in ms since its start. */
final class Record {
  private final PrintWriter out;
  private final long startNs = System.nanoTime();

  Record(Path file) {
    try {
      out = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  double nowMs() {
    return (System.nanoTime() - startNs) / 1e6;
  }

  synchronized void line(String text) {
    out.printf(Locale.ROOT, "%10.1f %s%n", nowMs(), text);
    out.flush();
  }
}
