package postgrade;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.base.DescribedPredicate;
import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.Test;

/**
 * The layers of core, as docs/architecture.md has them: it decides and remembers, and does no input
 * or output.
 */
public class LayeringTest {

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

    private static void doesNotDependOn(String layer, String... others) {
        noClasses()
                .that()
                .resideInAPackage(layer)
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(others)
                .check(CORE);
    }

    @Test
    public void thePolicysInterfaceDependsOnNothingElse() {
        doesNotDependOn(
                "postgrade.policy.api..",
                "postgrade.policy",
                "postgrade.dispatch..",
                "postgrade.endpoints..",
                "postgrade.settings..");
    }

    @Test
    public void thePolicyDependsOnItsInterfaceAlone() {
        doesNotDependOn(
                "postgrade.policy..",
                "postgrade.dispatch..",
                "postgrade.endpoints..",
                "postgrade.settings..",
                "postgrade.shared..",
                "postgrade.member..",
                "postgrade.recovery..",
                "postgrade.lease..",
                "postgrade.window..");
    }

    @Test
    public void theDispatcherKnowsThePolicyByItsInterface() {
        doesNotDependOn(
                "postgrade.dispatch..",
                "postgrade.policy",
                "postgrade.endpoints..",
                "postgrade.settings..",
                "postgrade.shared..",
                "postgrade.member..",
                "postgrade.recovery..",
                "postgrade.lease..",
                "postgrade.window..");
    }

    @Test
    public void endpointsAndSettingsKnowThePolicysInterfaceAlone() {
        doesNotDependOn(
                "postgrade.endpoints..",
                "postgrade.policy",
                "postgrade.dispatch..",
                "postgrade.settings..");
        doesNotDependOn(
                "postgrade.settings..",
                "postgrade.policy",
                "postgrade.dispatch..",
                "postgrade.endpoints..");
    }
}
