package io.shallotspur.util.plot;

import java.awt.BasicStroke;
import java.awt.Color;
import java.awt.geom.Rectangle2D;
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
 * A plot of lines. Immutable and thread-safe.
 *
 * @param title the title
 * @param horizontal the name of the horizontal axis
 * @param vertical the name of the vertical axis
 * @param lines the points of each line, by its name
 */
public record LinePlot(String title, String horizontal, String vertical, Map<String, Map<Double, Double>> lines) {

	private static final int WIDTH = 720;

	private static final int HEIGHT = 400;

	private static final float STROKE = 2f;

	private static final List<Color> COLORS = List.of(new Color(0x0072B2), new Color(0xD55E00), new Color(0x009E73),
			new Color(0xCC79A7), new Color(0x999999));

	/**
	 * Draws the plot.
	 * @param keyPrefix begins the ids inside, so that several plots can stand on one page
	 * @return an SVG document, the same for equal plots
	 */
	public String toSvg(String keyPrefix) {
		SVGGraphics2D svg = new SVGGraphics2D(WIDTH, HEIGHT);
		svg.setDefsKeyPrefix(keyPrefix);
		chart().draw(svg, new Rectangle2D.Double(0, 0, WIDTH, HEIGHT));
		return svg.getSVGDocument();
	}

	/**
	 * Draws the plot to stand inside an HTML page.
	 * @param keyPrefix begins the ids inside, so that several plots can stand on one page
	 * @return an SVG element
	 */
	public String toSvgElement(String keyPrefix) {
		SVGGraphics2D svg = new SVGGraphics2D(WIDTH, HEIGHT);
		svg.setDefsKeyPrefix(keyPrefix);
		chart().draw(svg, new Rectangle2D.Double(0, 0, WIDTH, HEIGHT));
		return svg.getSVGElement();
	}

	private JFreeChart chart() {
		XYSeriesCollection data = new XYSeriesCollection();
		this.lines.forEach((name, points) -> {
			XYSeries s = new XYSeries(name);
			points.forEach(s::add);
			data.addSeries(s);
		});
		JFreeChart chart = ChartFactory.createXYLineChart(this.title, this.horizontal, this.vertical, data,
				PlotOrientation.VERTICAL, true, false, false);
		XYPlot plot = chart.getXYPlot();
		plot.setBackgroundPaint(Color.WHITE);
		plot.setRangeGridlinePaint(Color.LIGHT_GRAY);
		XYLineAndShapeRenderer renderer = new XYLineAndShapeRenderer(true, true);
		for (int i = 0; i < data.getSeriesCount(); i++) {
			renderer.setSeriesPaint(i, COLORS.get(i % COLORS.size()));
			renderer.setSeriesStroke(i, new BasicStroke(STROKE));
		}
		plot.setRenderer(renderer);
		return chart;
	}

}
