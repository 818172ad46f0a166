import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.stream.Stream;

/** Runs one case: exit 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
abstract class Case {
  final boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
  final Path root = Path.of("").toAbsolutePath();
  Record record;
  Path folder;

  /** Plays the case; returns whether the rule was broken. */
  abstract boolean play() throws Exception;

  /** {@code args}: the folder of the case, where its record goes. */
  void execute(String[] args) {
    int status = 2;
    try {
      record = new Record(Path.of(args[0]).resolve("record.txt"));
      folder = Files.createTempDirectory("review");
      record.line("trouble " + (hasTrouble ? "on" : "off"));
      status = play() ? 1 : 0;
      record.line(status == 1 ? "BROKEN" : "held");
      System.out.println(status == 1 ? "broken" : "held");
    } catch (Exception e) {
      System.err.println("the case could not run: " + e);
    } finally {
      Runtime.getRuntime().addShutdownHook(new Thread(this::removeFolder));
      System.exit(status);
    }
  }

  private void removeFolder() {
    try (Stream<Path> files = Files.walk(folder)) {
      files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
    } catch (IOException | RuntimeException left) {
      // a temporary folder is left
    }
  }
}
