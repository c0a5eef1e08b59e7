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

/** What a scale run has measured: as JSON, as a Markdown table and as a plot. */
final class ScaleReport {
  private static final double[] PERCENTILES = {50, 90, 99, 100};

  private final ObjectNode json = Json.object();
  private final Map<String, List<Double>> series = new TreeMap<>();

  ObjectNode json() {
    return json;
  }

  /** A figure that changes in the run, once a second. */
  void series(String name, List<Double> values) {
    series.put(name, values);
  }

  /** Writes a histogram of microseconds as seconds. */
  static ObjectNode seconds(Histogram histogram) {
    ObjectNode out = Json.object().put("count", histogram.getTotalCount());
    for (double percentile : PERCENTILES) {
      out.put("p" + (int) percentile, histogram.getValueAtPercentile(percentile) / 1e6);
    }
    return out;
  }

  /** Every figure on a line of its own, by its path. */
  String markdown() {
    StringBuilder table = new StringBuilder("| figure | value |\n| --- | --- |\n");
    rows("", json, table);
    return table.toString();
  }

  private static void rows(String path, JsonNode node, StringBuilder table) {
    if (node.isObject()) {
      node.properties()
          .forEach(
              each ->
                  rows(
                      path.isEmpty() ? each.getKey() : path + "." + each.getKey(),
                      each.getValue(),
                      table));
    } else {
      String text = node.isDouble() ? String.format("%.3f", node.asDouble()) : node.asText();
      table.append("| ").append(path).append(" | ").append(text).append(" |\n");
    }
  }

  void write(Path folder) throws IOException {
    Files.createDirectories(folder);
    new ObjectMapper()
        .writerWithDefaultPrettyPrinter()
        .writeValue(folder.resolve("scale.json").toFile(), json);
    Files.writeString(folder.resolve("scale.md"), markdown());
    XYChart chart =
        new XYChartBuilder().title("Scale run").xAxisTitle("s").yAxisTitle("each second").build();
    series.forEach(
        (name, values) -> {
          if (!values.isEmpty()) {
            chart.addSeries(name, values);
          }
        });
    VectorGraphicsEncoder.saveVectorGraphic(
        chart, folder.resolve("scale").toString(), VectorGraphicsFormat.SVG);
  }
}
