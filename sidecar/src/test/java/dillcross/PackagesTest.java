package dillcross;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Test;

/** Checks which packages may depend on which, and that some use neither I/O nor a clock. */
class PackagesTest {
  /** The network packages above the layers of HTTP messages, buffers and transport. */
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
  void balancerDependsOnModelOnly() {
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
  void balancerCoordinatorAndMembershipUseNeitherIoNorClock() {
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

  /** The coordinator receives the endpoint list as typed entries; other packages read the JSON. */
  @Test
  void coordinatorDependsOnBalancerAndModelOnly() {
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
  void membershipDependsOnNoOtherPackage() {
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
  void networkReadsNoSystemClock() {
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
  void networkAndConfigurationDoNotDependOnEachOther() {
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
  void packagesHaveNoCyclicDependencies() {
    slices().matching("dillcross.(**)").should().beFreeOfCycles().check(CLASSES);
  }

  @Test
  void networkLayersDependOnLowerLayersOnly() {
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
