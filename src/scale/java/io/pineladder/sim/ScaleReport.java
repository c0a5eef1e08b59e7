package io.pineladder.sim;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pineladder.wire.Json;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import org.knowm.xchart.VectorGraphicsEncoder;
import org.knowm.xchart.VectorGraphicsEncoder.VectorGraphicsFormat;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;

/** The results of a scale run as JSON, as a Markdown table and as a plot. */
final class ScaleReport {
  private static final double[] PERCENTILES = {50, 90, 99, 100};

  private final ObjectNode json = Json.object();
  private final Map<String, List<Double>> seriesByName = new TreeMap<>();

  ObjectNode json() {
    return json;
  }

  /** Adds a time series with one value per second to the plot. */
  void addSeries(String name, List<Double> values) {
    seriesByName.put(name, values);
  }

  /** Converts a histogram in microseconds to percentiles in seconds. */
  static ObjectNode percentilesInSeconds(Histogram histogram) {
    ObjectNode out = Json.object().put("count", histogram.getTotalCount());
    for (double percentile : PERCENTILES) {
      out.put("p" + (int) percentile, histogram.getValueAtPercentile(percentile) / 1e6);
    }
    return out;
  }

  /** Returns a table with one row per value, named by its path in the JSON report. */
  String markdown() {
    StringBuilder table = new StringBuilder("| figure | value |\n| --- | --- |\n");
    appendRows("", json, table);
    return table.toString();
  }

  private static void appendRows(String path, JsonNode node, StringBuilder table) {
    if (node.isObject()) {
      node.properties()
          .forEach(
              each ->
                  appendRows(
                      path.isEmpty() ? each.getKey() : path + "." + each.getKey(),
                      each.getValue(),
                      table));
    } else {
      String text = node.isDouble() ? String.format("%.3f", node.asDouble()) : node.asText();
      table.append("| ").append(path).append(" | ").append(text).append(" |\n");
    }
  }

  void write(Path directory) throws IOException {
    Files.createDirectories(directory);
    new ObjectMapper()
        .writerWithDefaultPrettyPrinter()
        .writeValue(directory.resolve("scale.json").toFile(), json);
    Files.writeString(directory.resolve("scale.md"), markdown());
    XYChart chart =
        new XYChartBuilder().title("Scale run").xAxisTitle("s").yAxisTitle("each second").build();
    seriesByName.forEach(
        (name, values) -> {
          if (!values.isEmpty()) {
            chart.addSeries(name, values);
          }
        });
    VectorGraphicsEncoder.saveVectorGraphic(
        chart, directory.resolve("scale").toString(), VectorGraphicsFormat.SVG);
  }
}
