package postgrade;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.base.DescribedPredicate;
import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.Test;

/** The walls of the core: it decides and remembers, and reaches for nothing outside. */
public class WallsTest {

    private static final JavaClasses CORE =
            new ClassFileImporter()
                    .withImportOption(new ImportOption.DoNotIncludeTests())
                    .importPackages("postgrade");

    @Test
    public void theCoreTouchesNoSocketsFilesThreadsOrLogs() {
        noClasses()
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "java.io..",
                        "java.nio",
                        "java.nio.channels..",
                        "java.nio.file..",
                        "java.net..",
                        "java.util.logging..",
                        "java.util.concurrent..",
                        "org.slf4j..",
                        "com..")
                .check(CORE);
        noClasses().should().dependOnClassesThat().areAssignableTo(Thread.class).check(CORE);
    }

    @Test
    public void theCoreReadsNoClock() {
        noClasses()
                .should()
                .callMethod(System.class, "nanoTime")
                .orShould()
                .callMethod(System.class, "currentTimeMillis")
                .orShould()
                .dependOnClassesThat()
                .areAssignableTo(java.time.Clock.class)
                .check(CORE);
    }

    /**
     * Start windows need zones and calendars; they take the time from no clock and the zone from no
     * machine.
     */
    @Test
    public void onlyStartWindowsKnowZonesAndTheyToReadNoClock() {
        noClasses()
                .that()
                .resideOutsideOfPackage("postgrade.window..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("java.time..")
                .check(CORE);
        noClasses()
                .should()
                .callMethodWhere(
                        DescribedPredicate.describe(
                                "reads the clock or the machine's zone",
                                call ->
                                        call.getTargetOwner()
                                                        .getPackageName()
                                                        .startsWith("java.time")
                                                && (call.getName().equals("now")
                                                        || call.getName().equals("systemDefault"))))
                .check(CORE);
    }

    @Test
    public void theDecisionModuleKnowsNothingOfTheGatewayRoundIt() {
        noClasses()
                .that()
                .resideInAnyPackage("postgrade", "postgrade.policy..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("postgrade.dispatch..", "postgrade.settings..")
                .check(CORE);
    }
}
