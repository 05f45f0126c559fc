//! Line charts for the examples, written as SVG files.

use std::error::Error;

use plotters::prelude::*;

/// Size of a chart, in pixels.
const CHART_SIZE: (u32, u32) = (760, 440);
/// Length of a line's sample in the legend, in pixels.
const LEGEND_SAMPLE_LENGTH: i32 = 20;

/// A line of a chart, drawn in the next colour of the palette.
pub(crate) struct Line {
    pub(crate) label: String,
    pub(crate) points: Vec<(f64, f64)>,
}

/// A thin grey line with which the other lines are compared.
pub(crate) struct ReferenceLine {
    /// Text in the legend; None: the line is not in the legend.
    pub(crate) label: Option<&'static str>,
    pub(crate) points: Vec<(f64, f64)>,
    /// Opacity of the black line, from 0 (invisible) to 1.
    pub(crate) opacity: f64,
}

/// A line chart whose axes start at 0.
pub(crate) struct Chart {
    pub(crate) caption: &'static str,
    pub(crate) x_description: &'static str,
    pub(crate) y_description: &'static str,
    pub(crate) x_max: f64,
    pub(crate) y_max: f64,
    pub(crate) lines: Vec<Line>,
    pub(crate) reference: ReferenceLine,
}

impl Chart {
    /// Writes the chart to a file.
    ///
    /// # Errors
    ///
    /// If the file cannot be written.
    pub(crate) fn write_svg(self, file: &str) -> Result<(), Box<dyn Error>> {
        let area = SVGBackend::new(file, CHART_SIZE).into_drawing_area();
        area.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&area)
            .caption(self.caption, ("sans-serif", 20))
            .margin(12)
            .x_label_area_size(40)
            .y_label_area_size(60)
            .build_cartesian_2d(0.0..self.x_max, 0.0..self.y_max)?;
        chart
            .configure_mesh()
            .x_desc(self.x_description)
            .y_desc(self.y_description)
            .draw()?;
        for (number, line) in self.lines.into_iter().enumerate() {
            let style = Palette99::pick(number).to_rgba().stroke_width(2);
            chart
                .draw_series(LineSeries::new(line.points, style))?
                .label(line.label)
                .legend(move |start| legend_sample(start, style));
        }
        let style = ShapeStyle::from(BLACK.mix(self.reference.opacity));
        let drawn = chart.draw_series(LineSeries::new(self.reference.points, style))?;
        if let Some(label) = self.reference.label {
            drawn
                .label(label)
                .legend(move |start| legend_sample(start, style));
        }
        chart
            .configure_series_labels()
            .border_style(BLACK.mix(0.3))
            .background_style(WHITE)
            .draw()?;
        area.present()?;
        Ok(())
    }
}

/// Draws the sample of a line in the legend.
fn legend_sample((x, y): (i32, i32), style: ShapeStyle) -> PathElement<(i32, i32)> {
    PathElement::new([(x, y), (x + LEGEND_SAMPLE_LENGTH, y)], style)
}
