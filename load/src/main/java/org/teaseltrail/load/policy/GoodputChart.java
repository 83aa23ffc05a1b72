package org.teaseltrail.load.policy;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import org.knowm.xchart.CategoryChart;
import org.knowm.xchart.CategoryChartBuilder;
import org.knowm.xchart.VectorGraphicsEncoder;
import org.knowm.xchart.VectorGraphicsEncoder.VectorGraphicsFormat;
import org.teaseltrail.core.id.Tier;

/**
 * Bar chart of goodput by tier in SVG format, with one group of bars for each policy in each
 * scenario.
 */
public final class GoodputChart {

  private static final int WIDTH_PX = 1200;
  private static final int HEIGHT_PX = 500;
  private static final int LABEL_DEGREES = 45;
  private static final double PERCENT = 100;

  private final List<GroupResult> groups;

  /** Creates a chart of one or more result groups, all of the same deployment. */
  public GoodputChart(List<GroupResult> groups) {
    this.groups = List.copyOf(groups);
  }

  /** Writes the chart to a file whose name ends in {@code .svg}. */
  public void write(Path file) throws IOException {
    VectorGraphicsEncoder.saveVectorGraphic(chart(), file.toString(), VectorGraphicsFormat.SVG);
  }

  private CategoryChart chart() {
    Scenario first = groups.get(0).scenario();
    CategoryChart chart =
        new CategoryChartBuilder()
            .width(WIDTH_PX)
            .height(HEIGHT_PX)
            .title("Goodput by tier, " + first.deployment().name())
            .yAxisTitle("useful answers, % of offered")
            .build();
    chart.getStyler().setXAxisLabelRotation(LABEL_DEGREES);
    chart.getStyler().setYAxisMax(PERCENT);
    List<String> labels = groups.stream().map(GoodputChart::label).toList();
    for (Tier tier : first.deployment().tiers()) {
      List<Double> values = groups.stream().map(g -> g.goodput(tier).mean() * PERCENT).toList();
      chart.addSeries(tier.toString(), labels, values);
    }
    return chart;
  }

  private static String label(GroupResult group) {
    String fault = group.scenario().fault().name().toLowerCase(Locale.ROOT);
    return group.policy().name() + " " + group.scenario().load() + " " + fault;
  }
}
