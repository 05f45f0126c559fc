//! Prints what a fleet serves of loads that it can't bear, beside a policy that sees all; and which decisions gave up the rest.
//! Draws it, where a file is named.
//!
//!     cargo run --release -p sloewick-fleet-model --example load
//!     cargo run --release -p sloewick-fleet-model --example load -- docs/overload-load.svg

use std::error::Error;

use plotters::prelude::*;
use sloewick_fleet_model::{Arm, Model, Second, Site};

const LOADS: [f64; 10] = [0.5, 1.0, 1.5, 2.0, 2.5, 3.0, 4.0, 5.0, 6.0, 8.0];
const SECONDS: usize = 40;
/// The first seconds count for nothing: nodes have just started.
const FROM: usize = 10;
const SEEDS: u64 = 2;

/// Worth a second.
struct Row {
    load: f64,
    offered: f64,
    served: f64,
}

fn play(site: &Site, arm: Arm, load: f64) -> Row {
    let (mut offered, mut served) = (0, 0);
    for seed in 1..=SEEDS {
        let mut model = Model::new(
            Site {
                rate: site.rate * load,
                ..site.clone()
            },
            arm,
            seed,
        );
        model.play(SECONDS);
        let sum = |of: fn(&Second) -> u32| model.seconds[FROM..].iter().map(of).sum::<u32>();
        offered += sum(|s| s.worth_offered);
        served += sum(|s| s.worth_served);
        println!(
            "{:8} {load:4} seed {seed}: given up {:?}",
            format!("{arm:?}"),
            model.why
        );
    }
    let of = (SECONDS - FROM) as f64 * SEEDS as f64;
    Row {
        load,
        offered: f64::from(offered) / of,
        served: f64::from(served) / of,
    }
}

fn draw(file: &str, all: &[(&str, Vec<Row>)]) -> Result<(), Box<dyn Error>> {
    let area = SVGBackend::new(file, (760, 440)).into_drawing_area();
    area.fill(&WHITE)?;
    let most = all
        .iter()
        .flat_map(|(_, rows)| rows)
        .map(|r| r.served)
        .fold(0.0, f64::max)
        * 1.1;
    let mut chart = ChartBuilder::on(&area)
        .caption("Worth served by load", ("sans-serif", 20))
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..8.2, 0.0..most)?;
    chart
        .configure_mesh()
        .x_desc("load, times the usual")
        .y_desc("worth a second")
        .draw()?;
    for (n, (name, rows)) in all.iter().enumerate() {
        let colour = Palette99::pick(n).to_rgba();
        let points = || rows.iter().map(|r| (r.load, r.served));
        chart
            .draw_series(LineSeries::new(points(), colour.stroke_width(2)))?
            .label(*name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 20, y)], colour.stroke_width(2)));
    }
    let offered = all[0]
        .1
        .iter()
        .map(|r| (r.load, r.offered))
        .take_while(|p| p.1 < most);
    chart.draw_series(LineSeries::new(offered, BLACK.mix(0.3)))?;
    chart
        .configure_series_labels()
        .border_style(BLACK.mix(0.3))
        .background_style(WHITE)
        .draw()?;
    area.present()?;
    Ok(())
}

fn main() -> Result<(), Box<dyn Error>> {
    let still = Site {
        writes: 0.0,
        ..Site::default()
    };
    let all: Vec<(&str, Vec<Row>)> = [
        ("nodes", Site::default(), Arm::Module),
        ("seeing all", Site::default(), Arm::Seeing),
        ("nodes, nothing written", still.clone(), Arm::Module),
        ("seeing all, nothing written", still, Arm::Seeing),
    ]
    .into_iter()
    .map(|(name, site, arm)| (name, LOADS.map(|load| play(&site, arm, load)).into()))
    .collect();
    println!("worth a second, seconds {FROM} to {SECONDS}, mean of {SEEDS} seeds");
    for (name, rows) in &all {
        for row in rows {
            println!(
                "{name:28} {:4} offered {:6.0} served {:6.0}",
                row.load, row.offered, row.served
            );
        }
    }
    match std::env::args().nth(1) {
        Some(file) => draw(&file, &all),
        None => Ok(()),
    }
}
