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
 * Checks the layers of the packages: a class depends only on its own package and on packages of
 * lower layers. The compiled classes are read, so a dependency without an import counts; and the
 * imports of the sources, since the compiler copies constants and leaves no dependency.
 */
class ArchitectureTest {
  private static final String ROOT = "io.pineladder";

  private static final Pattern OWN_IMPORT =
      Pattern.compile("(?m)^import (?:static )?(io\\.pineladder\\.(?:[a-z]+\\.)*[A-Z]\\w*)");

  /**
   * The layers from the lowest to the highest; packages of one layer do not depend on each other.
   * The empty name is the package of {@link ControllerNode} and {@link LeaderTerm}.
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
   * The dependencies that break the layers and are known, between top-level classes. The set may
   * only shrink: a dependency that is missing here fails the test, and so does an entry whose
   * dependency no longer exists.
   */
  private static final Set<KnownDependency> KNOWN_UPWARD =
      Set.of(
          new KnownDependency(PeerWire.class, HttpResponse.class),
          new KnownDependency(SubscriptionManager.class, Metrics.class));

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
  void noPackageDependsOnAHigherOne() throws IOException {
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
        if (isOwn(target)) {
          dependencies
              .computeIfAbsent(topLevelName(type), name -> new TreeSet<>())
              .add(topLevelName(target));
        }
      }
    }
    Set<String> upward = new TreeSet<>();
    dependencies.forEach(
        (from, targets) -> {
          for (String to : targets) {
            if (!packageOf(to).equals(packageOf(from))
                && layerOf.get(packageOf(to)) >= layerOf.get(packageOf(from))) {
              upward.add(from + " -> " + to);
            }
          }
        });
    Set<String> known = new TreeSet<>();
    KNOWN_UPWARD.forEach(dependency -> known.add(dependency.toString()));
    assertEquals(known, upward);
  }

  @Test
  void packagesHaveNoCycles() {
    SliceRule rule =
        SlicesRuleDefinition.slices().assignedFrom(new PackageSlices()).should().beFreeOfCycles();
    for (KnownDependency dependency : KNOWN_UPWARD) {
      rule = rule.ignoreDependency(within(dependency.from()), within(dependency.to()));
    }
    rule.check(CLASSES);
  }

  private static DescribedPredicate<JavaClass> within(Class<?> topLevel) {
    return DescribedPredicate.describe(
        topLevel.getName(), type -> topLevelName(type).equals(topLevel.getName()));
  }

  private static boolean isOwn(JavaClass type) {
    return type.getPackageName().equals(ROOT) || type.getPackageName().startsWith(ROOT + ".");
  }

  /** The package of a top-level class, relative to the root. */
  private static String packageOf(String topLevelName) {
    int end = topLevelName.lastIndexOf('.');
    return end <= ROOT.length() ? "" : topLevelName.substring(ROOT.length() + 1, end);
  }

  /** What each source file of this module imports of it, between top-level classes. */
  private static Map<String, Set<String>> importsOfSources() throws IOException {
    Path root = Path.of("src/main/java");
    Map<String, Set<String>> imports = new HashMap<>();
    try (Stream<Path> files = Files.walk(root)) {
      for (Path file : files.filter(path -> path.toString().endsWith(".java")).toList()) {
        String path = root.relativize(file).toString();
        String from = path.substring(0, path.length() - ".java".length()).replace('/', '.');
        Set<String> targets = new TreeSet<>();
        OWN_IMPORT.matcher(Files.readString(file)).results().forEach(m -> targets.add(m.group(1)));
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

  /** A dependency between two top-level classes. */
  private record KnownDependency(Class<?> from, Class<?> to) {
    @Override
    public String toString() {
      return from.getName() + " -> " + to.getName();
    }
  }

  /** Makes each package a slice of its own, also a package within another. */
  private static final class PackageSlices implements SliceAssignment {
    @Override
    public SliceIdentifier getIdentifierOf(JavaClass type) {
      return isOwn(type)
          ? SliceIdentifier.of(packageOf(topLevelName(type)))
          : SliceIdentifier.ignore();
    }

    @Override
    public String getDescription() {
      return "packages";
    }
  }
}
