package io.pineladder.sim;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pineladder.wire.Json;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/**
 * Repeats scale runs while varying one option, and reports the minimum, median, maximum and slope
 * of each result.
 */
@Command(
    name = "scale-series",
    mixinStandardHelpOptions = true,
    description =
        "Repeats scale runs with several values of one option and fits a line through the medians."
            + " The remaining arguments are passed to each run.")
public final class ScaleSeries implements Callable<Integer> {
  private static final int EXIT_OK = 0;
  private static final int EXIT_FAILURE = 1;

  /** JSON pointers of the reported results in the report of a run. */
  private static final List<String> RESULT_PATHS =
      List.of(
          "/starts_a_second",
          "/tasks_running",
          "/roles/leader/cores",
          "/roles/leader/resident_mb",
          "/roles/leader/sockets",
          "/roles/services-0/cores",
          "/store_changes_a_second/all",
          "/store_requests_a_second",
          "/submission_to_start_s/urgent/p50",
          "/submission_to_start_s/urgent/p99",
          "/submission_to_acceptance_s/p99",
          "/settings_in_force_s/p100",
          "/workers_a_second/out report/messages",
          "/workers_a_second/out report/request_bytes",
          "/workers_a_second/out report/answer_bytes",
          "/workers_a_second/in do/messages");

  @Option(
      names = "--vary",
      required = true,
      description = "name of the scale run option to vary, without dashes")
  private String vary;

  @Option(
      names = "--sizes",
      required = true,
      split = ",",
      description = "values of the varied option")
  private List<Double> sizes;

  @Option(names = "--repeat", description = "number of runs per value (default: ${DEFAULT-VALUE})")
  private int repeat = 3;

  @Option(
      names = "--report",
      required = true,
      description = "file for the results of all runs, as JSON")
  private Path file;

  @Parameters(description = "arguments passed to each scale run")
  private List<String> rest = new ArrayList<>();

  private final ObjectNode report = Json.object();
  private int failedRuns;

  /** Runs the command and exits with its exit code. */
  public static void main(String[] args) {
    System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", "error");
    System.setProperty("org.jboss.logging.provider", "slf4j");
    System.exit(new CommandLine(new ScaleSeries()).execute(args));
  }

  @Override
  public Integer call() throws IOException {
    report.put("vary", vary).put("arguments", String.join(" ", rest));
    ArrayNode runs = report.putArray("runs");
    List<List<JsonNode>> bySize = new ArrayList<>();
    for (double size : sizes) {
      List<JsonNode> ofSize = new ArrayList<>();
      for (int i = 0; i < repeat; i++) {
        ObjectNode results = runOnce(size);
        runs.add(results);
        if (results.get("rules_broken").asInt() == 0) {
          ofSize.add(results);
        } else {
          failedRuns++;
        }
        Files.writeString(
            file, new ObjectMapper().writerWithDefaultPrettyPrinter().writeValueAsString(report));
      }
      bySize.add(ofSize);
    }
    StringBuilder table = new StringBuilder("| figure |");
    sizes.forEach(size -> table.append(' ').append(vary).append(' ').append(size).append(" |"));
    table.append(" slope | at 0 | largest residual |\n").append("| --- ".repeat(sizes.size() + 4));
    table.append("|\n");
    for (String path : RESULT_PATHS) {
      appendRow(path, bySize, table);
    }
    System.out.println(table);
    System.out.println(failedRuns + " of " + sizes.size() * repeat + " runs failed");
    return failedRuns == 0 ? EXIT_OK : EXIT_FAILURE;
  }

  private ObjectNode runOnce(double size) throws IOException {
    ScaleRun run = new ScaleRun();
    List<String> arguments = new ArrayList<>(rest);
    arguments.add("--" + vary);
    arguments.add(size == Math.rint(size) ? Long.toString((long) size) : Double.toString(size));
    new CommandLine(run).parseArgs(arguments.toArray(String[]::new));
    int exit = run.call();
    ObjectNode results = run.results().put("varied", size);
    if (!results.has("rules_broken")) {
      results.put("rules_broken", exit);
    }
    if (run.failure() != null) {
      results.put("failure", run.failure().toString());
    }
    return results;
  }

  /** Appends the minimum, median and maximum at each size, and the line through the medians. */
  private void appendRow(String path, List<List<JsonNode>> bySize, StringBuilder table) {
    table.append("| ").append(path.substring(1).replace("/", " ")).append(" |");
    List<double[]> points = new ArrayList<>();
    for (int i = 0; i < sizes.size(); i++) {
      double[] values =
          bySize.get(i).stream()
              .map(run -> run.at(path))
              .filter(JsonNode::isNumber)
              .mapToDouble(JsonNode::asDouble)
              .sorted()
              .toArray();
      if (values.length == 0) {
        table.append(" none |");
        continue;
      }
      double median = values[values.length / 2];
      points.add(new double[] {sizes.get(i), median});
      table.append(
          String.format(" %.3f %.3f %.3f |", values[0], median, values[values.length - 1]));
    }
    if (points.size() < 2) {
      table.append(" none | none | none |\n");
      return;
    }
    double[] line = fitLine(points);
    double residual =
        points.stream().mapToDouble(p -> Math.abs(p[1] - line[0] * p[0] - line[1])).max().orElse(0);
    table.append(String.format(" %.6f | %.3f | %.3f |%n", line[0], line[1], residual));
  }

  /** Returns the slope and the intercept of the least squares line. */
  private static double[] fitLine(List<double[]> points) {
    double meanX = points.stream().mapToDouble(p -> p[0]).average().orElse(0);
    double meanY = points.stream().mapToDouble(p -> p[1]).average().orElse(0);
    double covariance = points.stream().mapToDouble(p -> (p[0] - meanX) * (p[1] - meanY)).sum();
    double variance = points.stream().mapToDouble(p -> (p[0] - meanX) * (p[0] - meanX)).sum();
    double slope = variance == 0 ? 0 : covariance / variance;
    return new double[] {slope, meanY - slope * meanX};
  }
}
