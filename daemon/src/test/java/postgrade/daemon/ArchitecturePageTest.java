package postgrade.daemon;

import static com.tngtech.archunit.core.domain.JavaClass.Predicates.resideInAPackage;
import static com.tngtech.archunit.core.domain.JavaClass.Predicates.resideOutsideOfPackage;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static org.junit.Assert.assertEquals;

import com.tngtech.archunit.base.DescribedPredicate;
import com.tngtech.archunit.core.domain.JavaClass;
import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Stream;
import org.junit.Test;

/**
 * Checks the block of layers on the architecture page against the packages of the platform's jar.
 */
public class ArchitecturePageTest {

    private static final Path PAGE = Path.of("..", "docs", "architecture.md");
    private static final String ROOT = "postgrade.";

    /** Packages of core that the platform's jar does not include. */
    private static final Set<String> NOT_IN_THE_JAR =
            Set.of("shared", "member", "recovery", "lease", "window");

    private static final JavaClasses CLASSES =
            new ClassFileImporter()
                    .withImportOption(new ImportOption.DoNotIncludeTests())
                    .importPackages("postgrade");

    /** Returns each package with the packages that it may use. */
    private static Map<String, List<String>> layers() throws IOException {
        Map<String, List<String>> layers = new LinkedHashMap<>();
        boolean inBlock = false;
        for (String line : Files.readAllLines(PAGE)) {
            if (line.startsWith("```")) {
                inBlock = line.equals("```layers");
            } else if (inBlock) {
                String[] parts = line.split(":", 2);
                layers.put(
                        parts[0],
                        Stream.of(parts[1].split(" ")).filter(name -> !name.isEmpty()).toList());
            }
        }
        return layers;
    }

    @Test
    public void thePageListsEveryPackageOfTheJar() throws IOException {
        Set<String> packages = new TreeSet<>();
        for (JavaClass type : CLASSES) {
            packages.add(type.getPackageName().substring(ROOT.length()));
        }
        packages.removeAll(NOT_IN_THE_JAR);
        assertEquals(packages, new TreeSet<>(layers().keySet()));
    }

    @Test
    public void eachPackageUsesOnlyThoseThatThePageAllows() throws IOException {
        for (Map.Entry<String, List<String>> layer : layers().entrySet()) {
            DescribedPredicate<JavaClass> others =
                    resideInAPackage("postgrade..")
                            .and(resideOutsideOfPackage(ROOT + layer.getKey()));
            for (String allowed : layer.getValue()) {
                others = others.and(resideOutsideOfPackage(ROOT + allowed));
            }
            noClasses()
                    .that()
                    .resideInAPackage(ROOT + layer.getKey())
                    .should()
                    .dependOnClassesThat(others)
                    .check(CLASSES);
        }
    }
}
