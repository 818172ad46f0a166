package dillcross.fleet;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.knowm.xchart.VectorGraphicsEncoder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.style.Styler;
import org.knowm.xchart.style.markers.SeriesMarkers;

/** Writes the results of a run as text, as SVG charts, and as a self-contained HTML page. */
final class Report {
  private Report() {}

  /** The summary of a run, as lines of plain text. */
  static String text(ExperimentRun.Result result) {
    StringBuilder all = new StringBuilder();
    all.append(
        String.format(
            Locale.ROOT,
            "%s, seed %d: %d sidecars, joined after %.1f s%n",
            result.experiment().name(),
            result.seed(),
            result.experiment().sidecars(),
            result.joinedMs() / 1000.0));
    for (Schedule.ScheduledFault scheduled : result.faults()) {
      all.append(
          String.format(
              Locale.ROOT, "%8.1f s  %s%n", scheduled.atMs() / 1000.0, scheduled.describe()));
    }
    all.append(
        String.format(
            Locale.ROOT,
            "deaths detected by %d observers: p50 %.1f s, p99 %.1f s, worst %.1f s (seen at the admin endpoint every %d ms)%n",
            result.detectMs().getTotalCount(),
            result.detectMs().getValueAtPercentile(50) / 1000.0,
            result.detectMs().getValueAtPercentile(99) / 1000.0,
            result.detectMs().getMaxValue() / 1000.0,
            ExperimentRun.POLL_INTERVAL_MS));
    all.append(
        String.format(
            Locale.ROOT,
            "false deaths %d pairs in %.2f member hours; agreed %.1f s after the last fault%n",
            result.falseDeaths(),
            result.memberHours(),
            result.agreedMs() / 1000.0));
    all.append(
        String.format(
            Locale.ROOT,
            "a member: %.0f bytes/s sent, %.1f ms CPU a second%n",
            result.bytesPerSecond(),
            result.cpuMsPerSecond()));
    all.append("counts ").append(result.counts()).append('\n');
    result.violations().forEach(v -> all.append("violation: ").append(v).append('\n'));
    return all.append("violations ").append(result.violations().size()).append('\n').toString();
  }

  /** Writes the chart and the HTML page of a run to an existing directory. */
  static void write(ExperimentRun.Result result, Path out) throws IOException {
    String chart = svg(stateChart(result));
    Files.writeString(out.resolve("held.svg"), chart);
    StringBuilder rows = new StringBuilder();
    for (Map.Entry<String, Long> count : result.counts().entrySet()) {
      rows.append("<tr><td>")
          .append(count.getKey())
          .append("</td><td>")
          .append(count.getValue())
          .append("</td></tr>");
    }
    Files.writeString(
        out.resolve("report.html"),
        page(
            result.experiment().name() + ", seed " + result.seed(),
            text(result),
            "<h2>Who held whom for what</h2>"
                + inline(chart)
                + "<h2>Counts of all members</h2><table>"
                + rows
                + "</table>"));
  }

  /** A self-contained HTML page; {@code rest} is inserted as HTML without escaping. */
  private static String page(String title, String text, String rest) {
    return "<!doctype html><html><head><meta charset=\"utf-8\"><title>"
        + escape(title)
        + "</title><style>body{font-family:sans-serif;max-width:64em;margin:2em auto}"
        + "pre{background:#f4f4f4;padding:1em;white-space:pre-wrap}td{padding:0 1em 0 0}</style></head><body><h1>"
        + escape(title)
        + "</h1><pre>"
        + escape(text)
        + "</pre>"
        + rest
        + "</body></html>\n";
  }

  /** The SVG without the XML declaration and doctype, for embedding in HTML. */
  private static String inline(String svg) {
    return svg.substring(svg.indexOf("<svg"));
  }

  /**
   * Writes the charts and the page of the demo.
   *
   * @param attempts for each step, the total of attempts by endpoint
   * @param requests for each step, the total of requests by outcome
   * @param stepS the time between two steps, in seconds
   */
  static void demo(
      Path out,
      List<String> events,
      String summary,
      List<String> endpoints,
      List<double[]> attempts,
      List<double[]> requests,
      double stepS)
      throws IOException {
    String attemptsChart = svg(rateChart("pushes to each endpoint", endpoints, attempts, stepS));
    String requestsChart =
        svg(
            rateChart(
                "ops of clients",
                List.of("acked", "nacked or failed", "no sidecar there"),
                requests,
                stepS));
    Files.writeString(out.resolve("pushes.svg"), attemptsChart);
    Files.writeString(out.resolve("ops.svg"), requestsChart);
    Files.writeString(
        out.resolve("report.html"),
        page(
            "dillcross demo",
            String.join("\n", events) + "\n" + summary,
            inline(attemptsChart) + inline(requestsChart)));
  }

  private static XYChart rateChart(
      String title, List<String> names, List<double[]> sums, double stepS) {
    XYChart chart =
        new XYChartBuilder()
            .width(900)
            .height(360)
            .title(title)
            .xAxisTitle("seconds")
            .yAxisTitle("a second")
            .build();
    chart
        .getStyler()
        .setLegendPosition(Styler.LegendPosition.OutsideS)
        .setLegendLayout(Styler.LegendLayout.Horizontal);
    for (int k = 0; k < names.size(); k++) {
      double[] x = new double[sums.size() - 1];
      double[] y = new double[sums.size() - 1];
      for (int i = 1; i < sums.size(); i++) {
        x[i - 1] = i * stepS;
        y[i - 1] = (sums.get(i)[k] - sums.get(i - 1)[k]) / stepS;
      }
      add(chart, names.get(k), x, y);
    }
    return chart;
  }

  private static XYChart stateChart(ExperimentRun.Result result) {
    XYChart chart =
        new XYChartBuilder()
            .width(900)
            .height(420)
            .title("pairs of observer and member")
            .xAxisTitle("seconds")
            .yAxisTitle("pairs")
            .build();
    chart
        .getStyler()
        .setLegendPosition(Styler.LegendPosition.OutsideS)
        .setLegendLayout(Styler.LegendLayout.Horizontal);
    double[] s = result.samples().stream().mapToDouble(m -> m.ms() / 1000.0).toArray();
    add(
        chart,
        "held alive",
        s,
        result.samples().stream().mapToDouble(ExperimentRun.Sample::alive).toArray());
    add(
        chart,
        "held suspect",
        s,
        result.samples().stream().mapToDouble(ExperimentRun.Sample::suspect).toArray());
    add(
        chart,
        "held dead or left",
        s,
        result.samples().stream().mapToDouble(ExperimentRun.Sample::dead).toArray());
    add(
        chart,
        "observer gives no view",
        s,
        result.samples().stream().mapToDouble(ExperimentRun.Sample::unseen).toArray());
    return chart;
  }

  private static void add(XYChart chart, String name, double[] x, double[] y) {
    chart.addSeries(name, x, y).setMarker(SeriesMarkers.NONE);
  }

  private static String svg(XYChart chart) throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    VectorGraphicsEncoder.saveVectorGraphic(
        chart, bytes, VectorGraphicsEncoder.VectorGraphicsFormat.SVG);
    return bytes.toString(StandardCharsets.UTF_8);
  }

  private static String escape(String text) {
    return text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;");
  }
}
