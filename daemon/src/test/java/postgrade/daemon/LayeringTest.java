package postgrade.daemon;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.Test;

/**
 * Checks the layers of the daemon described in docs/architecture.md: its client, worker and
 * discovery sides do not depend on each other.
 */
public class LayeringTest {

    private static final JavaClasses DAEMON =
            new ClassFileImporter()
                    .withImportOption(new ImportOption.DoNotIncludeTests())
                    .importPackages("postgrade");

    private static void assertIndependent(String from, String... others) {
        noClasses()
                .that()
                .resideInAPackage(from)
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(others)
                .check(DAEMON);
    }

    @Test
    public void clientAndWorkerSidesAreIndependent() {
        assertIndependent(
                "postgrade.client..",
                "postgrade.worker..",
                "postgrade.discovery..",
                "postgrade.daemon..");
        assertIndependent(
                "postgrade.worker..",
                "postgrade.client..",
                "postgrade.discovery..",
                "postgrade.daemon..");
        assertIndependent(
                "postgrade.discovery..",
                "postgrade.client..",
                "postgrade.worker..",
                "postgrade.daemon..",
                "postgrade.dispatch.RequestTracker");
    }

    @Test
    public void theHttpCodecDependsOnNoOtherPackage() {
        assertIndependent(
                "postgrade.http..",
                "postgrade.policy..",
                "postgrade.endpoints..",
                "postgrade.dispatch..",
                "postgrade.client..",
                "postgrade.worker..",
                "postgrade.discovery..",
                "postgrade.daemon..");
    }

    @Test
    public void theDaemonDoesNotDependOnSharing() {
        assertIndependent(
                "postgrade..",
                "postgrade.sharing..",
                "postgrade.quorum..",
                "postgrade.calendar..",
                "io.microraft..",
                "io.grpc..");
        assertIndependent(
                "postgrade.extension..",
                "postgrade.daemon..",
                "postgrade.client..",
                "postgrade.worker..",
                "postgrade.discovery..");
    }
}
