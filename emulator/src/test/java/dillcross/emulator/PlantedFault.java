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
 * The program with one line of the sidecar's source changed, recompiled and loaded beside the
 * unchanged program.
 */
final class PlantedFault {
  private static final Path SOURCES = Path.of("../sidecar/src/main/java/dillcross");

  private static final Pattern TOKEN = Pattern.compile("\\w+|[^\\w\\s]");

  private PlantedFault() {}

  static URLClassLoader loader(Path folder, String file, String text, String instead)
      throws IOException {
    String source = Files.readString(SOURCES.resolve(file));
    Pattern pattern = withAnyLineBreaks(text);
    assertEquals(
        1,
        pattern.matcher(source).results().count(),
        "the text that the fault changes stands once in " + file);
    compile(folder, file, pattern.matcher(source).replaceFirst(Matcher.quoteReplacement(instead)));
    return loader(folder);
  }

  /** The same tokens in the same order, however the formatter breaks the lines between them. */
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
          "the changed text compiles");
    }
  }

  /** Loads all of dillcross itself, the changed classes first. */
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
