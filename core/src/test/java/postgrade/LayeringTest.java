package postgrade;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.base.DescribedPredicate;
import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.Test;

/**
 * The layers of the core module as described in docs/architecture.md. The core makes decisions and
 * keeps state, and does no I/O.
 */
public class LayeringTest {

    private static final JavaClasses CORE =
            new ClassFileImporter()
                    .withImportOption(new ImportOption.DoNotIncludeTests())
                    .importPackages("postgrade");

    @Test
    public void coreUsesNoSocketsFilesThreadsOrLogs() {
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
    public void coreReadsNoClock() {
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
     * Start windows need time zones and calendars, but read neither the clock nor the time zone of
     * the machine.
     */
    @Test
    public void onlyStartWindowsUseTimeZonesAndTheyReadNoClock() {
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

    private static void assertDoesNotDependOn(String layer, String... otherLayers) {
        noClasses()
                .that()
                .resideInAPackage(layer)
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(otherLayers)
                .check(CORE);
    }

    @Test
    public void policyInterfaceDependsOnNoOtherLayer() {
        assertDoesNotDependOn(
                "postgrade.policy.api..",
                "postgrade.policy",
                "postgrade.dispatch..",
                "postgrade.endpoints..",
                "postgrade.settings..");
    }

    @Test
    public void policyDependsOnItsInterfaceOnly() {
        assertDoesNotDependOn(
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
    public void dispatcherDependsOnThePolicyInterfaceOnly() {
        assertDoesNotDependOn(
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
    public void endpointsAndSettingsDependOnThePolicyInterfaceOnly() {
        assertDoesNotDependOn(
                "postgrade.endpoints..",
                "postgrade.policy",
                "postgrade.dispatch..",
                "postgrade.settings..");
        assertDoesNotDependOn(
                "postgrade.settings..",
                "postgrade.policy",
                "postgrade.dispatch..",
                "postgrade.endpoints..");
    }
}
