package io.shallotspur.replay;

import java.awt.BasicStroke;
import java.awt.Color;
import java.awt.geom.Rectangle2D;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;

import org.jfree.chart.ChartFactory;
import org.jfree.chart.JFreeChart;
import org.jfree.chart.plot.PlotOrientation;
import org.jfree.chart.plot.XYPlot;
import org.jfree.chart.renderer.xy.XYLineAndShapeRenderer;
import org.jfree.data.xy.XYSeries;
import org.jfree.data.xy.XYSeriesCollection;
import org.jfree.svg.SVGGraphics2D;

/**
 * Draws one plot of a sweep as SVG. Stateless and thread-safe.
 */
final class SweepPlot {

	private static final int WIDTH = 720;

	private static final int HEIGHT = 400;

	private static final float STROKE = 2f;

	private static final List<Color> COLORS = List.of(new Color(0x0072B2), new Color(0xD55E00), new Color(0x009E73),
			new Color(0xCC79A7), new Color(0x999999));

	private SweepPlot() {
	}

	/**
	 * Draws lines over the load.
	 * @param title the title
	 * @param axis the name of the vertical axis
	 * @param lines the values at each load, by the name of the line
	 * @param file where to
	 * @throws IOException if the file cannot be written
	 */
	static void write(String title, String axis, Map<String, Map<Double, Double>> lines, Path file) throws IOException {
		XYSeriesCollection data = new XYSeriesCollection();
		lines.forEach((name, values) -> {
			XYSeries s = new XYSeries(name);
			values.forEach(s::add);
			data.addSeries(s);
		});
		JFreeChart chart = ChartFactory.createXYLineChart(title, "load", axis, data, PlotOrientation.VERTICAL, true,
				false, false);
		XYPlot plot = chart.getXYPlot();
		plot.setBackgroundPaint(Color.WHITE);
		plot.setRangeGridlinePaint(Color.LIGHT_GRAY);
		XYLineAndShapeRenderer renderer = new XYLineAndShapeRenderer(true, true);
		for (int i = 0; i < data.getSeriesCount(); i++) {
			renderer.setSeriesPaint(i, COLORS.get(i % COLORS.size()));
			renderer.setSeriesStroke(i, new BasicStroke(STROKE));
		}
		plot.setRenderer(renderer);
		SVGGraphics2D svg = new SVGGraphics2D(WIDTH, HEIGHT);
		svg.setDefsKeyPrefix(file.getFileName() + "-");
		chart.draw(svg, new Rectangle2D.Double(0, 0, WIDTH, HEIGHT));
		Files.writeString(file, svg.getSVGDocument());
	}

}
