package postgrade.lab.report;

import java.awt.BasicStroke;
import java.awt.Color;
import java.awt.Font;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.knowm.xchart.CategoryChart;
import org.knowm.xchart.CategoryChartBuilder;
import org.knowm.xchart.VectorGraphicsEncoder;
import org.knowm.xchart.VectorGraphicsEncoder.VectorGraphicsFormat;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.internal.chartpart.Chart;
import org.knowm.xchart.style.Styler.LegendPosition;
import org.knowm.xchart.style.markers.SeriesMarkers;

/** Charts as SVG, to be set into a page. */
final class Charts {

    /** Told apart also by those who do not tell red from green, and in print. */
    private static final Color[] COLOURS = {
        new Color(0x0072b2),
        new Color(0xd55e00),
        new Color(0x009e73),
        new Color(0xcc79a7),
        new Color(0x56b4e9),
        new Color(0xe69f00)
    };

    private static final int WIDTH = 900;
    private static final int HEIGHT = 300;

    private Charts() {}

    /** One line of a chart. */
    record Line(String name, List<Double> x, List<Double> y) {
        Line(String name) {
            this(name, new ArrayList<>(), new ArrayList<>());
        }

        void add(double px, double py) {
            if (Double.isFinite(py)) {
                x.add(px);
                y.add(py);
            }
        }
    }

    static String lines(String xTitle, String yTitle, boolean logarithmic, List<Line> lines)
            throws IOException {
        XYChart chart =
                new XYChartBuilder()
                        .width(WIDTH)
                        .height(HEIGHT)
                        .xAxisTitle(xTitle)
                        .yAxisTitle(yTitle)
                        .build();
        style(chart);
        chart.getStyler().setYAxisLogarithmic(logarithmic);
        chart.getStyler().setYAxisMin(logarithmic ? null : Double.valueOf(0));
        int i = 0;
        for (Line l : lines) {
            if (!l.x.isEmpty()) {
                var s =
                        chart.addSeries(
                                l.name,
                                l.x,
                                logarithmic
                                        ? l.y.stream().map(y -> Math.max(y, 0.1)).toList()
                                        : l.y);
                s.setMarker(SeriesMarkers.NONE);
                s.setLineColor(COLOURS[i % COLOURS.length]);
                s.setLineStyle(
                        new BasicStroke(
                                2,
                                BasicStroke.CAP_BUTT,
                                BasicStroke.JOIN_ROUND,
                                10,
                                i < COLOURS.length ? null : new float[] {6, 4},
                                0));
                i++;
            }
        }
        return i == 0 ? "" : svg(chart);
    }

    /** Bars by name, one set for each series. */
    static String bars(String yTitle, Map<String, Map<String, Double>> series) throws IOException {
        CategoryChart chart =
                new CategoryChartBuilder().width(WIDTH).height(HEIGHT).yAxisTitle(yTitle).build();
        style(chart);
        chart.getStyler().setXAxisLabelRotation(60);
        int i = 0;
        for (Map.Entry<String, Map<String, Double>> s : series.entrySet()) {
            if (!s.getValue().isEmpty()) {
                chart.addSeries(
                                s.getKey(),
                                new ArrayList<>(s.getValue().keySet()),
                                new ArrayList<>(s.getValue().values()))
                        .setFillColor(COLOURS[i++ % COLOURS.length]);
            }
        }
        return i == 0 ? "" : svg(chart);
    }

    private static void style(Chart<?, ?> chart) {
        Font font = new Font(Font.SANS_SERIF, Font.PLAIN, 11);
        chart.getStyler()
                .setChartBackgroundColor(Color.WHITE)
                .setPlotBorderVisible(false)
                .setLegendPosition(LegendPosition.OutsideE)
                .setLegendBorderColor(Color.WHITE)
                .setLegendFont(font);
        if (chart.getStyler() instanceof org.knowm.xchart.style.AxesChartStyler a) {
            a.setAxisTickLabelsFont(font)
                    .setAxisTitleFont(font)
                    .setPlotGridLinesColor(new Color(0xdddddd));
        }
    }

    private static String svg(Chart<?, ?> chart) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        VectorGraphicsEncoder.saveVectorGraphic(chart, bytes, VectorGraphicsFormat.SVG);
        String text = bytes.toString(StandardCharsets.UTF_8);
        return text.substring(text.indexOf("<svg"));
    }
}
