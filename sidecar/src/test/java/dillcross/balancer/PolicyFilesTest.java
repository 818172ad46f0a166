package dillcross.balancer;

import static com.tngtech.archunit.core.domain.JavaClass.Predicates.resideInAPackage;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static org.junit.jupiter.api.Assertions.assertEquals;

import com.tngtech.archunit.base.DescribedPredicate;
import com.tngtech.archunit.core.domain.JavaClass;
import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import dillcross.model.Decision;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

/**
 * The files that the deployment names as policy hold every decision, in lines of bounded length.
 */
class PolicyFilesTest {
  private static final int MAX_LINE_LENGTH = 110;
  private static final Path ROOT = Path.of("..");
  private static final Pattern POLICY = Pattern.compile("^policy = \\[([^]]*)]", Pattern.MULTILINE);
  private static final Pattern QUOTED = Pattern.compile("\"([^\"]+)\"");

  private static List<Path> policyFiles() throws IOException {
    String deployment = Files.readString(ROOT.resolve("deploy/balancer.toml"));
    String list = POLICY.matcher(deployment).results().findFirst().orElseThrow().group(1);
    return QUOTED.matcher(list).results().map(result -> ROOT.resolve(result.group(1))).toList();
  }

  @Test
  void linesStayWithinTheirMaximumLength() throws IOException {
    for (Path file : policyFiles()) {
      List<String> lines = Files.readAllLines(file);
      assertEquals(
          List.of(),
          lines.stream().filter(line -> line.length() > MAX_LINE_LENGTH).toList(),
          file.toString());
    }
  }

  /**
   * Only policy files create decisions to send, reject, fail or cancel. Within the balancer, only
   * they draw random numbers.
   */
  @Test
  void onlyPolicyFilesDecide() throws IOException {
    Set<String> policy =
        policyFiles().stream()
            .map(file -> "dillcross.balancer." + file.getFileName().toString().replace(".java", ""))
            .collect(Collectors.toSet());
    DescribedPredicate<JavaClass> outsidePolicy =
        DescribedPredicate.describe(
            "are not named as policy",
            type -> !policy.contains(type.getName().replaceAll("\\$.*", "")));
    JavaClasses classes =
        new ClassFileImporter()
            .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
            .importPackages("dillcross");
    noClasses()
        .that(resideInAPackage("dillcross..").and(outsidePolicy))
        .should()
        .callConstructor(Decision.SendAttempt.class, long.class, String.class, long.class)
        .orShould()
        .callConstructor(Decision.Reject.class, long.class, long.class)
        .orShould()
        .callConstructor(Decision.Fail.class, long.class)
        .orShould()
        .callConstructor(Decision.CancelAttempt.class, long.class, int.class)
        .check(classes);
    noClasses()
        .that(resideInAPackage("dillcross.balancer").and(outsidePolicy))
        .should()
        .callMethod(Random.class, "nextDouble")
        .orShould()
        .callMethod(Random.class, "nextInt", int.class)
        .check(classes);
  }
}
