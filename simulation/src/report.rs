//! One HTML file of an experiment: its table, and plots over time of one run of each variant.

use crate::compare::{compare, MEASURES};
use crate::detail::{Band, Detail, Span};
use crate::errors::PlotError;
use crate::experiment::Outcome;
use crate::grid::variants;
use plotters::drawing::DrawingAreaErrorKind;
use plotters::prelude::*;
use std::fmt::Write;
use std::io;

const SIZE: (u32, u32) = (560, 240);
const COLOURS: [RGBColor; 6] = [
    RGBColor(31, 119, 180),
    RGBColor(214, 39, 40),
    RGBColor(44, 160, 44),
    RGBColor(148, 103, 189),
    RGBColor(255, 127, 14),
    RGBColor(127, 127, 127),
];

type Line<'a> = (&'a str, Vec<(f64, f64)>);

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;").replace('"', "&quot;")
}

/// Lines over time, as SVG; between the two of `band`, if told, the ground is shaded.
fn plot(title: &str, lines: &[Line], band: Option<&[(f64, f64, f64)]>) -> Result<String, PlotError> {
    let mut text = String::new();
    let points = || lines.iter().flat_map(|it| &it.1).copied();
    let last = points().map(|it| it.0).fold(1.0, f64::max);
    let tops = band.into_iter().flatten().map(|it| it.2);
    let top = points().map(|it| it.1).chain(tops).fold(1e-9, f64::max) * 1.08;
    draw(&mut text, title, lines, band, (last, top))
        .map_err(|source| PlotError { title: title.into(), source })?;
    Ok(text)
}

fn draw(
    text: &mut String,
    title: &str,
    lines: &[Line],
    band: Option<&[(f64, f64, f64)]>,
    (last, top): (f64, f64),
) -> Result<(), DrawingAreaErrorKind<io::Error>> {
    let root = SVGBackend::with_string(text, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .caption(title, ("sans-serif", 15))
        .margin(6)
        .x_label_area_size(24)
        .y_label_area_size(46)
        .build_cartesian_2d(0.0..last, 0.0..top)?;
    chart.configure_mesh().x_labels(6).y_labels(5).light_line_style(WHITE).draw()?;
    if let Some(band) = band {
        let ring = band.iter().map(|it| (it.0, it.2)).chain(band.iter().rev().map(|it| (it.0, it.1)));
        chart.draw_series([Polygon::new(ring.collect::<Vec<_>>(), COLOURS[0].mix(0.25))])?;
    }
    for ((name, points), colour) in lines.iter().zip(COLOURS.iter().cycle()) {
        let drawn = chart.draw_series(LineSeries::new(points.iter().copied(), colour.stroke_width(1)))?;
        if lines.len() > 1 {
            drawn.label(*name).legend(move |(x, y)| PathElement::new([(x, y), (x + 14, y)], *colour));
        }
    }
    if lines.len() > 1 {
        chart
            .configure_series_labels()
            .background_style(WHITE.mix(0.8))
            .label_font(("sans-serif", 11))
            .draw()?;
    }
    root.present()?;
    Ok(())
}

fn line<'a>(name: &'a str, spans: &[Span], of: impl Fn(&Span) -> f64) -> Line<'a> {
    (name, spans.iter().map(|it| (it.until, of(it))).collect())
}

fn banded(title: &str, spans: &[Span], of: fn(&Span) -> Band) -> Result<String, PlotError> {
    let band: Vec<(f64, f64, f64)> = spans.iter().map(|it| (it.until, of(it)[0], of(it)[2])).collect();
    plot(title, &[line("half", spans, |it| of(it)[1])], Some(&band))
}

fn plots(detail: &Detail) -> Result<Vec<String>, PlotError> {
    let spans = &detail.spans;
    let rungs = spans.iter().map(|it| it.rungs.len()).max().unwrap_or(0);
    let names: Vec<String> = (0..rungs).map(|it| format!("rung {it}")).collect();
    let by_rung: Vec<Line> = (0..rungs)
        .map(|rung| line(&names[rung], spans, move |it| it.rungs.get(rung).copied().unwrap_or(0) as f64))
        .collect();
    let counts = [
        line("asked", spans, |it| it.asked as f64),
        line("played", spans, |it| it.played as f64),
        line("blocked", spans, |it| it.blocked as f64),
        line("aborted", spans, |it| it.aborted as f64),
    ];
    let waited = line("ms", spans, |it| it.waited_ms / it.played.max(1) as f64);
    let cold = [
        line("servers that warm up", spans, |it| it.cold as f64),
        line("set-ups sent there", spans, |it| it.cold_set_ups as f64),
    ];
    Ok(vec![
        plot("first requests and answers in a span", &counts, None)?,
        banded("asked of links over what they give: half of them, and 8 in 10", spans, |it| it.links)?,
        banded("asked of uplinks over what they give", spans, |it| it.uplinks)?,
        plot("viewings held, by rung", &by_rung, None)?,
        plot("from request to answer of those that play, mean ms", &[waited], None)?,
        plot("cold servers", &cold, None)?,
    ])
}

fn tables(detail: &Detail) -> String {
    let mut text =
        String::from("<div class=row><table><tr><th>rack<th>uplink, mean<th>short, in 100 samples</tr>");
    for it in &detail.racks {
        let short = 100.0 * it.lost as f64 / it.all.max(1) as f64;
        _ = write!(text, "<tr><td>{}<td>{:.2}<td>{short:.1}</tr>", escape(&it.name), it.fill);
    }
    text += "</table><table><tr><th>title<th>asked<th>blocked, in 100</tr>";
    for it in &detail.titles {
        let blocked = 100.0 * it.lost as f64 / it.all.max(1) as f64;
        _ = write!(text, "<tr><td>{}<td>{}<td>{blocked:.1}</tr>", escape(&it.name), it.all);
    }
    text + "</table></div>"
}

/// The whole file.
///
/// # Errors
/// If a plot can't be drawn.
pub fn html(name: &str, all: &[Outcome]) -> Result<String, PlotError> {
    let names = variants(all);
    let mut text = format!(
        "<!doctype html><meta charset=utf-8><title>{0}</title><style>body{{font:14px sans-serif;margin:2em}}\
         table{{border-collapse:collapse;margin:1em 2em 1em 0}}td,th{{border:1px solid #ccc;padding:2px \
         8px;text-align:right}}\
         td:first-child{{text-align:left}}.row{{display:flex;flex-wrap:wrap;align-items:flex-start}}</style>\
         <h1>{0}</h1><p>Simulated. {1} runs. Differences are to the first variant, by pairs of the same day \
         and seed; in \
         brackets where 95 in 100 of means drawn anew lie; bold where that is clear of \
         none.<table><tr><th>variant<th>runs",
        escape(name),
        all.len()
    );
    MEASURES.iter().for_each(|it| _ = write!(text, "<th>{}", it.0));
    text += "</tr>";
    for variant in &names {
        let runs = all.iter().filter(|it| it.variant == *variant).count();
        _ = write!(text, "<tr><td>{}<td>{runs}", escape(variant));
        for (_, difference) in compare(all, &names[0], variant) {
            let Some(it) = difference else {
                text += "<td>-";
                continue;
            };
            _ = write!(text, "<td>{:.3}", it.of_b);
            if *variant != names[0] {
                let (open, close) = if it.is_clear() { ("<b>", "</b>") } else { ("", "") };
                _ = write!(
                    text,
                    "<br><small>{open}{:+.3}{close} [{:+.3}, {:+.3}]</small>",
                    it.mean, it.from, it.to
                );
            }
        }
        text += "</tr>";
    }
    text += "</table>";
    for variant in &names {
        let Some(one) = all.iter().find(|it| it.variant == *variant) else {
            continue;
        };
        let (variant, day) = (escape(variant), escape(&one.day));
        _ = write!(
            text,
            "<h2>{variant}</h2><p>{day}, seed {}, settings {}<div class=row>",
            one.seed, one.settings
        );
        plots(&one.detail)?.iter().for_each(|it| text += it);
        text += "</div>";
        text += &tables(&one.detail);
    }
    Ok(text)
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::figures::Figures;

    fn outcome(variant: &str, seed: u64) -> Outcome {
        let span = |it: usize| Span {
            until: it as f64,
            asked: it as u64,
            rungs: vec![1, 2],
            links: [0.1, 0.5, 0.9],
            ..Span::default()
        };
        Outcome {
            day: "d".into(),
            variant: variant.into(),
            seed,
            settings: "s".into(),
            version: 1,
            figures: Figures { asked: 10, played: 9 - seed, blocked: 1 + seed, ..Figures::default() },
            detail: Detail { spans: (1..20).map(span).collect(), ..Detail::default() },
            broken: Vec::new(),
        }
    }

    #[test]
    fn a_report_has_every_variant_and_its_plots_and_no_raw_name() {
        let all = [outcome("a", 1), outcome("<b>", 1), outcome("a", 2), outcome("<b>", 2)];
        let text = html("an experiment", &all).unwrap();
        assert_eq!(text.matches("<svg").count(), 12);
        assert!(
            text.contains("<h2>a</h2>") && text.contains("<h2>&lt;b&gt;</h2>") && !text.contains("<h2><b>")
        );
    }
}
