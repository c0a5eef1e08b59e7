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
 * Scale runs in which one size is varied: each figure's lowest, median and highest, and its slope.
 */
@Command(
    name = "scale-series",
    mixinStandardHelpOptions = true,
    description =
        "Repeats scale runs at several sizes of one argument and fits a line through the medians."
            + " What follows the options is handed on to each run.")
public final class ScaleSeries implements Callable<Integer> {
  private static final int EXIT_OK = 0;
  private static final int EXIT_FAILURE = 1;

  /** Figures of a run, by their place in its report. */
  private static final List<String> FIGURES =
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
      description = "the argument of the scale run that is varied")
  private String vary;

  @Option(names = "--sizes", required = true, split = ",", description = "its values")
  private List<Double> sizes;

  @Option(names = "--repeat", description = "runs of each size (default: ${DEFAULT-VALUE})")
  private int repeat = 3;

  @Option(
      names = "--report",
      required = true,
      description = "the file that the series is written to, as JSON")
  private Path file;

  @Parameters(description = "arguments of each scale run")
  private List<String> rest = new ArrayList<>();

  private final ObjectNode json = Json.object();
  private int failed;

  /** Runs it. */
  public static void main(String[] args) {
    System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", "error");
    System.setProperty("org.jboss.logging.provider", "slf4j");
    System.exit(new CommandLine(new ScaleSeries()).execute(args));
  }

  @Override
  public Integer call() throws IOException {
    json.put("vary", vary).put("arguments", String.join(" ", rest));
    ArrayNode runs = json.putArray("runs");
    List<List<JsonNode>> bySize = new ArrayList<>();
    for (double size : sizes) {
      List<JsonNode> ofSize = new ArrayList<>();
      for (int i = 0; i < repeat; i++) {
        ObjectNode figures = runOnce(size);
        runs.add(figures);
        if (figures.get("rules_broken").asInt() == 0) {
          ofSize.add(figures);
        } else {
          failed++;
        }
        Files.writeString(
            file, new ObjectMapper().writerWithDefaultPrettyPrinter().writeValueAsString(json));
      }
      bySize.add(ofSize);
    }
    StringBuilder table = new StringBuilder("| figure |");
    sizes.forEach(size -> table.append(' ').append(vary).append(' ').append(size).append(" |"));
    table.append(" slope | at 0 | largest residual |\n").append("| --- ".repeat(sizes.size() + 4));
    table.append("|\n");
    for (String figure : FIGURES) {
      row(figure, bySize, table);
    }
    System.out.println(table);
    System.out.println(failed + " of " + sizes.size() * repeat + " runs failed");
    return failed == 0 ? EXIT_OK : EXIT_FAILURE;
  }

  private ObjectNode runOnce(double size) throws IOException {
    ScaleRun run = new ScaleRun();
    List<String> arguments = new ArrayList<>(rest);
    arguments.add("--" + vary);
    arguments.add(size == Math.rint(size) ? Long.toString((long) size) : Double.toString(size));
    new CommandLine(run).parseArgs(arguments.toArray(String[]::new));
    int exit = run.call();
    ObjectNode figures = run.results().put("varied", size);
    if (!figures.has("rules_broken")) {
      figures.put("rules_broken", exit);
    }
    if (run.failure() != null) {
      figures.put("failure", run.failure().toString());
    }
    return figures;
  }

  /** Lowest, median and highest at each size, and the line through the medians. */
  private void row(String figure, List<List<JsonNode>> bySize, StringBuilder table) {
    table.append("| ").append(figure.substring(1).replace("/", " ")).append(" |");
    List<double[]> points = new ArrayList<>();
    for (int i = 0; i < sizes.size(); i++) {
      double[] values =
          bySize.get(i).stream()
              .map(run -> run.at(figure))
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
    double[] line = fit(points);
    double residual =
        points.stream().mapToDouble(p -> Math.abs(p[1] - line[0] * p[0] - line[1])).max().orElse(0);
    table.append(String.format(" %.6f | %.3f | %.3f |%n", line[0], line[1], residual));
  }

  /** Slope and value at zero of the line with the least squares. */
  private static double[] fit(List<double[]> points) {
    double meanX = points.stream().mapToDouble(p -> p[0]).average().orElse(0);
    double meanY = points.stream().mapToDouble(p -> p[1]).average().orElse(0);
    double above = points.stream().mapToDouble(p -> (p[0] - meanX) * (p[1] - meanY)).sum();
    double below = points.stream().mapToDouble(p -> (p[0] - meanX) * (p[0] - meanX)).sum();
    double slope = below == 0 ? 0 : above / below;
    return new double[] {slope, meanY - slope * meanX};
  }
}
