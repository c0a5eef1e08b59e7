package io.pineladder;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.MatchResult;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/**
 * Guards against log lines above debug that the operations page does not describe, and against
 * descriptions of lines that no longer exist. Compares the wording up to the first detail.
 */
class LogLinesTest {
  private static final Path SOURCES = Path.of("src/main/java");
  private static final Path OPERATIONS = Path.of("docs/operations.md");

  /** A call of a logger above debug, with the string literals that make up its template. */
  private static final Pattern LOG_CALL =
      Pattern.compile(
          "\\blog\\s*\\.(?:info|warn|error)\\(\\s*((?:\"(?:[^\"\\\\]|\\\\.)*\"[\\s+]*)*)");

  private static final Pattern LITERAL = Pattern.compile("\"((?:[^\"\\\\]|\\\\.)*)\"");

  /** The first column of a table row; does not match the table header. */
  private static final Pattern ROW = Pattern.compile("(?m)^\\| (`.*?) \\| ");

  private static final Pattern CODE = Pattern.compile("`([^`]+)`");

  /** Where the details of a line begin: a value, a key with a value, or a colon before either. */
  private static final Pattern DETAILS = Pattern.compile(":? (?:\\w+=|\\{}$).*|:$");

  @Test
  void documentsEveryLogLineAboveDebug() throws IOException {
    Set<String> logged = loggedWordings();
    assertTrue(logged.size() > 50, "log calls found: " + logged.size());
    assertEquals(lines(logged), lines(describedWordings()));
  }

  private static Set<String> loggedWordings() throws IOException {
    try (Stream<Path> files = Files.walk(SOURCES)) {
      return files
          .filter(file -> file.toString().endsWith(".java"))
          .flatMap(file -> LOG_CALL.matcher(read(file)).results())
          .map(call -> wording(template(call.group(1))))
          .collect(Collectors.toCollection(TreeSet::new));
    }
  }

  private static Set<String> describedWordings() {
    String page = read(OPERATIONS);
    String section = page.substring(page.indexOf("\n## Logging"), page.indexOf("\n## Settings"));
    return ROW.matcher(section)
        .results()
        .flatMap(row -> CODE.matcher(row.group(1)).results())
        .map(code -> wording(code.group(1)))
        .collect(Collectors.toCollection(TreeSet::new));
  }

  private static String template(String literals) {
    return LITERAL
        .matcher(literals)
        .results()
        .map((MatchResult literal) -> literal.group(1))
        .collect(Collectors.joining());
  }

  private static String wording(String template) {
    return DETAILS.matcher(template).replaceFirst("");
  }

  private static String lines(Set<String> wordings) {
    return String.join("\n", List.copyOf(new TreeSet<>(wordings)));
  }

  private static String read(Path file) {
    try {
      return Files.readString(file);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
