package dillcross.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.MalformedURLException;
import java.net.URL;
import java.net.URLClassLoader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import javax.tools.JavaCompiler;
import javax.tools.StandardJavaFileManager;
import javax.tools.ToolProvider;

/**
 * Compiles one source file of the sidecar with a fault in it, and loads it with all other classes
 * of the program, separate from the unchanged ones.
 */
final class PlantedFault {
  private static final Path SOURCES = Path.of("../sidecar/src/main/java/dillcross");

  /** A word or a punctuation character of Java source. */
  private static final Pattern TOKEN = Pattern.compile("\\w+|[^\\w\\s]");

  private PlantedFault() {}

  /**
   * Plants a fault.
   *
   * @param folder directory for the changed source and its classes
   * @param file path of the source below {@code dillcross/}
   * @param original text to replace, which occurs once in the file; line breaks may differ
   * @param replacement text with the fault
   * @return a class loader for the program with the fault
   */
  static URLClassLoader loader(Path folder, String file, String original, String replacement)
      throws IOException {
    String source = Files.readString(SOURCES.resolve(file));
    Pattern pattern = withAnyLineBreaks(original);
    assertEquals(
        1,
        pattern.matcher(source).results().count(),
        "occurrences of the original text in " + file);
    compile(
        folder, file, pattern.matcher(source).replaceFirst(Matcher.quoteReplacement(replacement)));
    return loader(folder);
  }

  /** Matches the tokens of the text in order, with any white space between them. */
  private static Pattern withAnyLineBreaks(String text) {
    return Pattern.compile(
        TOKEN
            .matcher(text.trim())
            .results()
            .map(token -> Pattern.quote(token.group()))
            .collect(Collectors.joining("\\s*")));
  }

  private static void compile(Path folder, String file, String text) throws IOException {
    Path changed = folder.resolve("text").resolve(file);
    Files.createDirectories(changed.getParent());
    Files.writeString(changed, text);
    JavaCompiler compiler = ToolProvider.getSystemJavaCompiler();
    try (StandardJavaFileManager files = compiler.getStandardFileManager(null, null, null)) {
      Path out = Files.createDirectories(folder.resolve("classes"));
      assertTrue(
          compiler
              .getTask(
                  null,
                  files,
                  null,
                  List.of(
                      "-cp",
                      System.getProperty("java.class.path"),
                      "-d",
                      out.toString(),
                      "-XDstringConcat=inline"),
                  null,
                  files.getJavaFileObjects(changed))
              .call(),
          "the changed source compiles");
    }
  }

  /** Loads all dillcross classes itself, not from its parent; changed classes take precedence. */
  private static URLClassLoader loader(Path folder) throws MalformedURLException {
    List<URL> urls = new ArrayList<>(List.of(folder.resolve("classes").toUri().toURL()));
    for (String path : System.getProperty("java.class.path").split(java.io.File.pathSeparator)) {
      urls.add(Path.of(path).toUri().toURL());
    }
    return new URLClassLoader(urls.toArray(new URL[0]), PlantedFault.class.getClassLoader()) {
      @Override
      protected Class<?> loadClass(String name, boolean resolve) throws ClassNotFoundException {
        synchronized (getClassLoadingLock(name)) {
          Class<?> loaded = findLoadedClass(name);
          if (loaded == null) {
            loaded = name.startsWith("dillcross.") ? findClass(name) : super.loadClass(name, false);
          }
          return loaded;
        }
      }
    };
  }
}
