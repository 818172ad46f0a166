package dillcross.emulator;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Test;

/**
 * Permitted dependencies: the oracle does not depend on the code that it judges, the simulated
 * peers share no code with the sidecar, and no simulation run reads a real clock.
 */
class PackagesTest {
  private static final JavaClasses CLASSES =
      new ClassFileImporter()
          .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
          .importPackages("dillcross.emulator");
  private static final String[] SIDECAR = {
    "dillcross.balancer..",
    "dillcross.model..",
    "dillcross.sidecar..",
    "dillcross.net..",
    "dillcross.config..",
    "dillcross.endpointlist.."
  };

  @Test
  void oracleDependsOnNeitherSidecarNorSimulation() {
    noClasses()
        .that()
        .resideInAnyPackage("dillcross.emulator.oracle..")
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage(SIDECAR)
        .check(CLASSES);
    noClasses()
        .that()
        .resideInAnyPackage("dillcross.emulator.oracle..")
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage("dillcross.emulator.simulation..", "dillcross.emulator.network..")
        .check(CLASSES);
  }

  /**
   * Clients, endpoints and the discovery service read HTTP with code of their own; only the classes
   * that run the sidecar, and the simulation, which reads its usage, may depend on it.
   */
  @Test
  void simulatedPeersDoNotDependOnTheSidecar() {
    noClasses()
        .that()
        .resideInAPackage("dillcross.emulator.simulation..")
        .and()
        .doNotHaveFullyQualifiedName("dillcross.emulator.simulation.SidecarProcess")
        .and()
        .doNotHaveFullyQualifiedName("dillcross.emulator.simulation.SidecarSettingValues")
        .and()
        .doNotHaveFullyQualifiedName("dillcross.emulator.simulation.Simulation")
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage(SIDECAR)
        .check(CLASSES);
  }

  @Test
  void onlySearchAndCommandsReadTheRealClock() {
    noClasses()
        .that()
        .resideOutsideOfPackages("dillcross.emulator.search..", "dillcross.emulator.cli..")
        .should()
        .callMethod(System.class, "nanoTime")
        .orShould()
        .callMethod(System.class, "currentTimeMillis")
        .check(CLASSES);
    noClasses()
        .should()
        .callMethod(Math.class, "random")
        .orShould()
        .dependOnClassesThat()
        .belongToAnyOf(java.util.Random.class)
        .check(CLASSES);
  }
}
