package dillcross;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Test;

/** Which package may know which: the directions in which the parts depend on each other. */
class PackagesTest {
  /** The parts of the network code that stand on messages, buffers and the transport. */
  private static final String[] NETWORK_PARTS = {
    "dillcross.net",
    "dillcross.net.admin",
    "dillcross.net.client",
    "dillcross.net.connection",
    "dillcross.net.discovery",
    "dillcross.net.endpoint",
    "dillcross.net.membership"
  };

  private static final JavaClasses CLASSES =
      new ClassFileImporter()
          .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
          .importPackages("dillcross");
  private static final String[] IO = {
    "java.io..",
    "java.net..",
    "java.nio..",
    "java.util.concurrent..",
    "java.time..",
    "org.glassfish.."
  };

  @Test
  void theBalancerSeesTheModelAlone() {
    classes()
        .that()
        .resideInAPackage("dillcross.balancer")
        .should()
        .onlyDependOnClassesThat()
        .resideInAnyPackage(
            "dillcross.balancer",
            "dillcross.model",
            "java.lang..",
            "java.util",
            "java.util.stream",
            "java.util.function")
        .check(CLASSES);
    classes()
        .that()
        .resideInAPackage("dillcross.model")
        .should()
        .onlyDependOnClassesThat()
        .resideInAnyPackage(
            "dillcross.model", "java.lang..", "java.util", "java.util.stream", "java.util.function")
        .check(CLASSES);
  }

  @Test
  void balancerAndCoordinatorHaveNoInputOutputAndNoClock() {
    noClasses()
        .that()
        .resideInAnyPackage(
            "dillcross.balancer",
            "dillcross.model",
            "dillcross.sidecar..",
            "dillcross.membership..")
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage(IO)
        .check(CLASSES);
    noClasses()
        .that()
        .resideInAnyPackage(
            "dillcross.balancer",
            "dillcross.model",
            "dillcross.sidecar..",
            "dillcross.membership..")
        .should()
        .callMethod(System.class, "nanoTime")
        .orShould()
        .callMethod(System.class, "currentTimeMillis")
        .check(CLASSES);
  }

  /** The endpoint list reaches the coordinator as typed entries; JSON is read outside of it. */
  @Test
  void theCoordinatorSeesTypedValuesAlone() {
    classes()
        .that()
        .resideInAPackage("dillcross.sidecar..")
        .should()
        .onlyDependOnClassesThat()
        .resideInAnyPackage(
            "dillcross.sidecar..",
            "dillcross.balancer",
            "dillcross.model",
            "java.lang..",
            "java.util",
            "java.util.stream",
            "java.util.function")
        .check(CLASSES);
  }

  @Test
  void membershipKnowsNothingOfTheRest() {
    classes()
        .that()
        .resideInAPackage("dillcross.membership..")
        .should()
        .onlyDependOnClassesThat()
        .resideInAnyPackage(
            "dillcross.membership..",
            "java.lang..",
            "java.util",
            "java.util.stream",
            "java.util.function")
        .check(CLASSES);
  }

  @Test
  void theNetworkReadsNoClockOfItsOwn() {
    noClasses()
        .that()
        .resideInAPackage("dillcross.net..")
        .should()
        .callMethod(System.class, "nanoTime")
        .orShould()
        .callMethod(System.class, "currentTimeMillis")
        .check(CLASSES);
  }

  @Test
  void configurationIsReadBelowTheNetwork() {
    noClasses()
        .that()
        .resideInAnyPackage("dillcross.config..", "dillcross.sidecar..")
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage("dillcross.net..", "dillcross.simulator..", "dillcross.cli..")
        .check(CLASSES);
    noClasses()
        .that()
        .resideInAPackage("dillcross.net..")
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage("dillcross.config..", "dillcross.cli..", "dillcross.simulator..")
        .check(CLASSES);
  }

  @Test
  void noDependencyRunsBothWays() {
    slices().matching("dillcross.(**)").should().beFreeOfCycles().check(CLASSES);
  }

  @Test
  void theNetworkHasLayers() {
    noClasses()
        .that()
        .resideInAPackage("dillcross.net.transport")
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage("dillcross.net.buffer", "dillcross.net.http")
        .orShould()
        .dependOnClassesThat()
        .resideInAnyPackage(NETWORK_PARTS)
        .check(CLASSES);
    noClasses()
        .that()
        .resideInAPackage("dillcross.net.http")
        .should()
        .dependOnClassesThat()
        .resideInAPackage("dillcross.net.transport")
        .orShould()
        .dependOnClassesThat()
        .resideInAnyPackage(NETWORK_PARTS)
        .check(CLASSES);
    noClasses()
        .that()
        .resideInAPackage("dillcross.net.connection")
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage(
            "dillcross.net",
            "dillcross.net.admin",
            "dillcross.net.client",
            "dillcross.net.discovery",
            "dillcross.net.endpoint",
            "dillcross.net.membership")
        .check(CLASSES);
    noClasses()
        .that()
        .resideInAPackage("dillcross..")
        .and()
        .resideOutsideOfPackages("dillcross.net.grizzly", "dillcross.cli")
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage("dillcross.net.grizzly", "org.glassfish..")
        .check(CLASSES);
  }
}
