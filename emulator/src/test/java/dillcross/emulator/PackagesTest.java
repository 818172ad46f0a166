package dillcross.emulator;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Test;

/**
 * What may know what: above all, the oracle must not see the books of those it judges, and no day
 * may read a clock.
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
    "dillcross.config.."
  };

  @Test
  void theOracleSeesTheWorldsSideAlone() {
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

  @Test
  void theWorldReadsNothingOfTheSidecarsCodec() {
    noClasses()
        .that()
        .haveSimpleName("HttpStreamReader")
        .or()
        .haveSimpleName("EmulatedEndpoint")
        .or()
        .haveSimpleName("EmulatedClients")
        .or()
        .haveSimpleName("DiscoveryService")
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage(SIDECAR)
        .check(CLASSES);
  }

  @Test
  void onlyWhatCountsRealTimeReadsAClock() {
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
