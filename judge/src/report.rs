//! A judged day as files: the figures as JSON, and one page with plots.

use crate::record::{Event, Line, Terms};
use crate::rules::Verdict;
use crate::standing::Stays;
use plotters::prelude::*;
use std::collections::BTreeMap;
use std::error::Error;
use std::fmt::Write;
use std::fs;
use std::path::Path;

const SIZE: (u32, u32) = (760, 260);
/// Samples over the day.
const SAMPLES: usize = 240;
const BLUE: RGBColor = RGBColor(31, 119, 180);
const RED: RGBColor = RGBColor(214, 39, 40);

/// What each server is asked over what its link gives, over time.
struct Series {
    seconds: Vec<f64>,
    /// By server, by sample; `None` while it does not run.
    fill: Vec<Vec<Option<f64>>>,
    /// The herd index of the second that ends there.
    herd: Vec<f64>,
}

/// Writes `figures.json` and `report.html` into a folder, which is made if need be.
///
/// # Errors
/// What could not be drawn or written.
pub fn write_report(folder: &Path, terms: &Terms, lines: &[Line], verdict: &Verdict) -> Result<(), String> {
    let tell = |it: std::io::Error| format!("{}: {it}", folder.display());
    fs::create_dir_all(folder).map_err(tell)?;
    let figures = serde_json::to_string_pretty(verdict).map_err(|it| it.to_string())?;
    fs::write(folder.join("figures.json"), figures).map_err(tell)?;
    let page = page(terms, lines, verdict).map_err(|it| it.to_string())?;
    fs::write(folder.join("report.html"), page).map_err(tell)
}

fn page(terms: &Terms, lines: &[Line], verdict: &Verdict) -> Result<String, Box<dyn Error>> {
    let table = verdict.table().replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;");
    let mut text = format!(
        "<!doctype html><meta charset=\"utf-8\"><title>A judged day</title>\n<h1>A judged day</h1>\n<pre>{table}</pre>\n"
    );
    if let Some(series) = series(terms, lines) {
        for plot in [bands(&series)?, heat(&series)?, herd(&series)?] {
            _ = writeln!(text, "{plot}");
        }
    }
    Ok(text)
}

/// `None` where nothing was set up.
fn series(terms: &Terms, lines: &[Line]) -> Option<Series> {
    let stays = Stays::of(terms, lines)?;
    let (first, last) = (stays.first, stays.last);
    let step = ((last - first) / SAMPLES as f64).max(1.0);
    let mut names: BTreeMap<&str, usize> = BTreeMap::new();
    for it in &stays.lives {
        let next = names.len();
        names.entry(&it.server).or_insert(next);
    }
    let mut link = vec![1.0; names.len()];
    let mut asked: Vec<Option<f64>> = vec![None; names.len()];
    let mut held: BTreeMap<(usize, &str), f64> = BTreeMap::new();
    let mut wants: BTreeMap<&str, (&str, usize)> = BTreeMap::new();
    let rate = |package: &str, rung: usize| {
        let scale = terms.packages.get(package).map_or(1.0, |it| it.scale);
        terms.rates_kb.get(rung).copied().unwrap_or(1.0) * if scale > 0.0 { scale } else { 1.0 }
    };
    let mut series = Series { seconds: Vec::new(), fill: vec![Vec::new(); names.len()], herd: Vec::new() };
    let mut counts = vec![0.0; names.len()];
    let (mut next, mut herd, mut next_herd) = (first, 1.0, first + 1_000.0);
    for line in lines {
        while line.at >= next_herd && next_herd <= last {
            let all: f64 = counts.iter().sum();
            let there: f64 = asked.iter().flatten().count() as f64;
            let mean = all / there.max(1.0);
            let seen: f64 =
                counts.iter().zip(&asked).filter(|it| it.1.is_some()).map(|it| (it.0 - mean).powi(2)).sum();
            herd = if all >= 1.0 { seen / (all * (1.0 - 1.0 / there.max(2.0))) } else { 1.0 };
            counts.fill(0.0);
            next_herd += 1_000.0;
        }
        while line.at >= next && next <= last {
            series.seconds.push((next - first) / 1e3);
            for (ix, it) in asked.iter().enumerate() {
                series.fill[ix].push(it.map(|it| it / link[ix]));
            }
            series.herd.push(herd);
            next += step;
        }
        match &line.event {
            Event::ServerStarted { server, link_kb, .. } => {
                if let Some(ix) = names.get(server.as_str()) {
                    (link[*ix], asked[*ix]) = (link_kb.max(1.0), Some(0.0));
                }
            }
            Event::ServerEnded { server } | Event::Fell { server } => {
                if let Some(ix) = names.get(server.as_str()) {
                    asked[*ix] = None;
                    held.retain(|it, _| it.0 != *ix);
                }
            }
            Event::SetUp { server, vw, package, rung, .. } => {
                wants.insert(vw, (package, *rung));
                names.get(server.as_str()).into_iter().for_each(|it| counts[*it] += 1.0);
            }
            Event::SetUpAnswered { server, vw, status: 201, .. } | Event::Rung { server, vw, .. } => {
                let Some(ix) = names.get(server.as_str()) else { continue };
                let Some((package, rung)) = wants.get_mut(vw.as_str()) else { continue };
                if let Event::Rung { rung: now, .. } = &line.event {
                    *rung = *now;
                }
                let kb = rate(package, *rung);
                let before = held.insert((*ix, vw), kb).unwrap_or(0.0);
                asked[*ix] = asked[*ix].map(|it| it + kb - before);
            }
            Event::Ended { server, vw } => {
                let Some(ix) = names.get(server.as_str()) else { continue };
                if let Some(kb) = held.remove(&(*ix, vw.as_str())) {
                    asked[*ix] = asked[*ix].map(|it| (it - kb).max(0.0));
                }
            }
            _ => {}
        }
    }
    Some(series)
}

fn last(series: &Series) -> f64 {
    series.seconds.last().copied().unwrap_or(1.0).max(1.0)
}

/// All servers as bands: the fullest and the emptiest, the nine in ten between, the half.
fn bands(series: &Series) -> Result<String, Box<dyn Error>> {
    let mut text = String::new();
    {
        let at = |sample: usize| {
            let mut all: Vec<f64> = series.fill.iter().filter_map(|it| it[sample]).collect();
            all.sort_by(f64::total_cmp);
            move |part: f64| {
                let ix = ((all.len() as f64 * part) as usize).min(all.len().saturating_sub(1));
                all.get(ix).copied().unwrap_or(0.0)
            }
        };
        let of = |part: f64| -> Vec<(f64, f64)> {
            series.seconds.iter().enumerate().map(|(ix, second)| (*second, at(ix)(part))).collect()
        };
        let top = of(1.0).iter().map(|it| it.1).fold(0.1, f64::max) * 1.08;
        let root = SVGBackend::with_string(&mut text, SIZE).into_drawing_area();
        root.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&root)
            .caption(
                "asked over what the link gives: fullest and emptiest, nine in ten, half",
                ("sans-serif", 14),
            )
            .margin(6)
            .x_label_area_size(24)
            .y_label_area_size(46)
            .build_cartesian_2d(0.0..last(series), 0.0..top)?;
        chart.configure_mesh().x_labels(8).y_labels(5).light_line_style(WHITE).draw()?;
        for (low, high, strength) in [(0.0, 1.0, 0.15), (0.05, 0.95, 0.3)] {
            let ring: Vec<(f64, f64)> = of(high).into_iter().chain(of(low).into_iter().rev()).collect();
            chart.draw_series([Polygon::new(ring, BLUE.mix(strength))])?;
        }
        chart.draw_series(LineSeries::new(of(0.5), BLUE.stroke_width(2)))?;
        root.present()?;
    }
    Ok(text)
}

/// Server by time; the darker, the fuller, red past its link.
fn heat(series: &Series) -> Result<String, Box<dyn Error>> {
    let mut text = String::new();
    {
        let root = SVGBackend::with_string(&mut text, (SIZE.0, SIZE.1 + 140)).into_drawing_area();
        root.fill(&WHITE)?;
        let count = series.fill.len().max(1) as f64;
        let mut chart = ChartBuilder::on(&root)
            .caption("each server over time: the darker the fuller, red past its link", ("sans-serif", 14))
            .margin(6)
            .x_label_area_size(24)
            .y_label_area_size(46)
            .build_cartesian_2d(0.0..last(series), 0.0..count)?;
        chart.configure_mesh().x_labels(8).y_labels(5).disable_mesh().draw()?;
        // A cell of the map stands for a few samples, so that the page stays small.
        let several = (SAMPLES / 60).max(1);
        let cells = series.fill.iter().enumerate().flat_map(|(ix, row)| {
            row.chunks(several).enumerate().filter_map(move |(at, some)| {
                let known: Vec<f64> = some.iter().flatten().copied().collect();
                let fill = known.iter().sum::<f64>() / known.len().max(1) as f64;
                let from = series.seconds.get(at * several)?;
                let until = series.seconds.get((at + 1) * several).copied().unwrap_or(last(series));
                let colour = if fill > 1.02 { RED.mix(0.9) } else { BLUE.mix(fill.clamp(0.0, 1.0)) };
                let corners = [(*from, ix as f64), (until, ix as f64 + 1.0)];
                (!known.is_empty()).then(|| Rectangle::new(corners, colour.filled()))
            })
        });
        chart.draw_series(cells)?;
        root.present()?;
    }
    Ok(text)
}

fn herd(series: &Series) -> Result<String, Box<dyn Error>> {
    let mut text = String::new();
    {
        let points: Vec<(f64, f64)> =
            series.seconds.iter().copied().zip(series.herd.iter().copied()).collect();
        let top = points.iter().map(|it| it.1).fold(2.0, f64::max) * 1.08;
        let root = SVGBackend::with_string(&mut text, SIZE).into_drawing_area();
        root.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&root)
            .caption("herd index of each second, equal parts assumed (chance: 1)", ("sans-serif", 14))
            .margin(6)
            .x_label_area_size(24)
            .y_label_area_size(46)
            .build_cartesian_2d(0.0..last(series), 0.0..top)?;
        chart.configure_mesh().x_labels(8).y_labels(5).light_line_style(WHITE).draw()?;
        chart.draw_series(LineSeries::new(points, RED.stroke_width(1)))?;
        chart.draw_series(LineSeries::new([(0.0, 1.0), (last(series), 1.0)], BLACK.mix(0.5)))?;
        root.present()?;
    }
    Ok(text)
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::judge;
    use crate::standing::set_up;

    #[test]
    fn figures_and_plots_are_written() {
        let mut lines = Vec::new();
        for server in ["a", "b"] {
            let (server, cold, places, cell, link_kb) = (server.to_string(), false, 9.0, 0, 100.0);
            lines.push(Line {
                at: 0.0,
                event: Event::ServerStarted { server, cold, places, cell, link_kb, rack: 0, uplink_kb: 0.0 },
            });
        }
        for number in 0..40 {
            let server = if number % 4 == 0 { "a" } else { "b" };
            lines.extend(set_up((server, &format!("v{number}"), "clips-1"), f64::from(number) * 100.0, 201));
        }
        let terms = Terms { rates_kb: vec![10.0], ..Terms::default() };
        let series = series(&terms, &lines).unwrap();
        assert_eq!(
            series.fill[0].last().unwrap().unwrap(),
            1.0,
            "ten viewings of ten on a link of a hundred"
        );
        assert_eq!(series.fill[1].last().unwrap().unwrap(), 2.9);
        let place = tempfile::tempdir().unwrap();
        // Not there yet: the report makes it.
        let folder = place.path().join("report");
        write_report(&folder, &terms, &lines, &judge(&terms, &lines)).unwrap();
        let figures: serde_json::Value =
            serde_json::from_slice(&fs::read(folder.join("figures.json")).unwrap()).unwrap();
        assert_eq!(figures["spread"]["servers"], 2);
        assert_eq!(fs::read_to_string(folder.join("report.html")).unwrap().matches("<svg").count(), 3);
    }
}
