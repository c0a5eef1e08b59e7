package io.pineladder;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.tngtech.archunit.base.DescribedPredicate;
import com.tngtech.archunit.core.domain.Dependency;
import com.tngtech.archunit.core.domain.JavaClass;
import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.library.dependencies.SliceAssignment;
import com.tngtech.archunit.library.dependencies.SliceIdentifier;
import com.tngtech.archunit.library.dependencies.SliceRule;
import com.tngtech.archunit.library.dependencies.SlicesRuleDefinition;
import io.pineladder.admin.Metrics;
import io.pineladder.delivery.SubscriptionManager;
import io.pineladder.net.HttpResponse;
import io.pineladder.wire.PeerWire;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/**
 * Checks the package layers: a class may depend only on its own package and on packages of lower
 * layers. Dependencies are read from compiled classes, which also shows those without an import,
 * and from imports in the sources, since inlined constants leave no trace in compiled classes.
 */
class ArchitectureTest {
  private static final String ROOT = "io.pineladder";

  private static final Pattern PROJECT_IMPORT =
      Pattern.compile("(?m)^import (?:static )?(io\\.pineladder\\.(?:[a-z]+\\.)*[A-Z]\\w*)");

  /**
   * The layers from lowest to highest; packages of the same layer must not depend on each other.
   * The empty name is the root package, that of {@link ControllerNode} and {@link LeaderTerm}.
   */
  private static final List<Set<String>> LAYERS =
      List.of(
          Set.of("model"),
          Set.of("wire", "queue"),
          Set.of("net"),
          Set.of("retry"),
          Set.of("store", "snapshot"),
          Set.of("leadership", "membership", "zones", "scheduling", "replica", "delivery"),
          Set.of("upgrade", "generation", "autoscaling", "workers", "failover"),
          Set.of("delivery.receiver", "recovery", "reconciliation"),
          Set.of(""),
          Set.of("admin"),
          Set.of("api"),
          Set.of("cli"));

  /**
   * Known violations of the layers, between top-level classes. The set must only shrink: the test
   * fails on a violation that is not listed here, and on an entry whose dependency no longer
   * exists.
   */
  private static final Set<KnownViolation> KNOWN_VIOLATIONS =
      Set.of(
          new KnownViolation(PeerWire.class, HttpResponse.class),
          new KnownViolation(SubscriptionManager.class, Metrics.class));

  private static final JavaClasses CLASSES =
      new ClassFileImporter()
          .withImportOption(new ImportOption.DoNotIncludeTests())
          .withImportOption(new ImportOption.DoNotIncludeJars())
          .importPackages(ROOT);

  @Test
  void everyPackageHasALayer() {
    Set<String> found = new TreeSet<>();
    CLASSES.forEach(type -> found.add(packageOf(topLevelName(type))));
    Set<String> layered = new TreeSet<>();
    LAYERS.forEach(layered::addAll);
    assertEquals(layered, found);
  }

  @Test
  void packagesDependOnlyOnLowerLayers() throws IOException {
    Map<String, Integer> layerOf = new HashMap<>();
    for (int layer = 0; layer < LAYERS.size(); layer++) {
      for (String name : LAYERS.get(layer)) {
        layerOf.put(name, layer);
      }
    }
    Map<String, Set<String>> dependencies = importsOfSources();
    for (JavaClass type : CLASSES) {
      for (Dependency dependency : type.getDirectDependenciesFromSelf()) {
        JavaClass target = dependency.getTargetClass().getBaseComponentType();
        if (isProjectClass(target)) {
          dependencies
              .computeIfAbsent(topLevelName(type), name -> new TreeSet<>())
              .add(topLevelName(target));
        }
      }
    }
    Set<String> violations = new TreeSet<>();
    dependencies.forEach(
        (from, targets) -> {
          for (String to : targets) {
            if (!packageOf(to).equals(packageOf(from))
                && layerOf.get(packageOf(to)) >= layerOf.get(packageOf(from))) {
              violations.add(from + " -> " + to);
            }
          }
        });
    Set<String> known = new TreeSet<>();
    KNOWN_VIOLATIONS.forEach(violation -> known.add(violation.toString()));
    assertEquals(known, violations);
  }

  @Test
  void packagesHaveNoCycles() {
    SliceRule rule =
        SlicesRuleDefinition.slices().assignedFrom(new PackageSlices()).should().beFreeOfCycles();
    for (KnownViolation violation : KNOWN_VIOLATIONS) {
      rule = rule.ignoreDependency(within(violation.from()), within(violation.to()));
    }
    rule.check(CLASSES);
  }

  private static DescribedPredicate<JavaClass> within(Class<?> topLevel) {
    return DescribedPredicate.describe(
        topLevel.getName(), type -> topLevelName(type).equals(topLevel.getName()));
  }

  private static boolean isProjectClass(JavaClass type) {
    return type.getPackageName().equals(ROOT) || type.getPackageName().startsWith(ROOT + ".");
  }

  /** The package of a top-level class, relative to the root. */
  private static String packageOf(String topLevelName) {
    int end = topLevelName.lastIndexOf('.');
    return end <= ROOT.length() ? "" : topLevelName.substring(ROOT.length() + 1, end);
  }

  /** The classes of this module that each source file imports, by top-level class. */
  private static Map<String, Set<String>> importsOfSources() throws IOException {
    Path root = Path.of("src/main/java");
    Map<String, Set<String>> imports = new HashMap<>();
    try (Stream<Path> files = Files.walk(root)) {
      for (Path file : files.filter(path -> path.toString().endsWith(".java")).toList()) {
        String path = root.relativize(file).toString();
        String from = path.substring(0, path.length() - ".java".length()).replace('/', '.');
        Set<String> targets = new TreeSet<>();
        PROJECT_IMPORT
            .matcher(Files.readString(file))
            .results()
            .forEach(m -> targets.add(m.group(1)));
        imports.put(from, targets);
      }
    }
    return imports;
  }

  private static String topLevelName(JavaClass type) {
    String name = type.getName();
    int nested = name.indexOf('$');
    return nested < 0 ? name : name.substring(0, nested);
  }

  /** A known dependency between two top-level classes that violates the layers. */
  private record KnownViolation(Class<?> from, Class<?> to) {
    @Override
    public String toString() {
      return from.getName() + " -> " + to.getName();
    }
  }

  /** Makes each package, including nested ones, a slice of its own. */
  private static final class PackageSlices implements SliceAssignment {
    @Override
    public SliceIdentifier getIdentifierOf(JavaClass type) {
      return isProjectClass(type)
          ? SliceIdentifier.of(packageOf(topLevelName(type)))
          : SliceIdentifier.ignore();
    }

    @Override
    public String getDescription() {
      return "packages";
    }
  }
}
