//! Load reports in answers: Open Request Cost Aggregation, header `endpoint-load-metrics`. Two of its forms
//! are read, `TEXT` (`TEXT named_metrics.link=0.9, named_metrics.uplink=0.4`) and `JSON`
//! (`JSON {"named_metrics":{"link":0.9}}`).

use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

pub const HEADER: &str = "endpoint-load-metrics";

/// What is asked over what is given, of the link and of the rack's uplink; from 0, also above 1. `delivered`
/// is the share of their rates that viewings there get, 0 to 1.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    pub link: Option<f64>,
    pub uplink: Option<f64>,
    pub delivered: Option<f64>,
}

/// More than this is no load but a mistake.
const MOST: f64 = 1e4;

impl Report {
    fn take(&mut self, name: &str, value: f64) {
        let value = Some(value).filter(|it| it.is_finite() && (0.0..=MOST).contains(it));
        match name {
            "link" => self.link = value,
            "uplink" => self.uplink = value,
            "delivered" => self.delivered = value.filter(|it| *it <= 1.0),
            _ => {}
        }
    }

    /// Reads a header. A value that is negative, infinite, not a number or absurd counts as not told; a
    /// header that is of no known form tells nothing.
    pub fn read(header: &str) -> Report {
        let mut report = Report::default();
        let header = header.trim();
        if let Some(text) = header.strip_prefix("TEXT ") {
            for pair in text.split(',') {
                if let Some((name, value)) = pair.split_once('=') {
                    let name = name.trim();
                    let name = name.strip_prefix("named_metrics.").unwrap_or("");
                    report.take(name, value.trim().parse().unwrap_or(f64::NAN));
                }
            }
        } else if let Some(text) = header.strip_prefix("JSON ") {
            report = Report::read_json(text).unwrap_or_default();
        }
        report
    }

    /// Reads the JSON form of the report by itself; `None` if it is no such object.
    pub fn read_json(text: &str) -> Option<Report> {
        #[derive(Deserialize)]
        struct Whole {
            #[serde(default)]
            named_metrics: Map<String, Value>,
        }
        let whole: Whole = serde_json::from_str(text).ok()?;
        let mut report = Report::default();
        for (name, value) in &whole.named_metrics {
            report.take(name, value.as_f64().unwrap_or(f64::NAN));
        }
        Some(report)
    }

    fn named(&self) -> impl Iterator<Item = (&'static str, f64)> {
        let all = [("link", self.link), ("uplink", self.uplink), ("delivered", self.delivered)];
        all.into_iter().filter_map(|(name, value)| Some((name, value?)))
    }

    pub fn text(&self) -> String {
        let pairs: Vec<String> =
            self.named().map(|(name, value)| format!("named_metrics.{name}={value:.4}")).collect();
        format!("TEXT {}", pairs.join(", "))
    }

    pub fn json(&self) -> String {
        let named: Map<String, Value> =
            self.named().map(|(name, value)| (name.into(), value.into())).collect();
        serde_json::json!({ "named_metrics": named }).to_string()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;
    use proptest::test_runner::RngSeed;
    use test_case::test_case;

    #[test_case("TEXT named_metrics.link=0.9, named_metrics.uplink=1.25" => (Some(0.9), Some(1.25)); "text")]
    #[test_case("JSON {\"cpu_utilization\":0.3,\"named_metrics\":{\"link\":0.9}}"
        => (Some(0.9), None); "json")]
    #[test_case("TEXT named_metrics.link=NaN, named_metrics.uplink=-1" => (None, None); "no loads")]
    #[test_case("JSON {\"named_metrics\":{\"link\":1e99,\"uplink\":\"x\"}}" => (None, None); "absurd")]
    #[test_case("TEXT link=0.9" => (None, None); "not named")]
    #[test_case("BIN AAAA" => (None, None); "another form")]
    #[test_case("JSON {" => (None, None); "cut off")]
    fn a_report_is_read(header: &str) -> (Option<f64>, Option<f64>) {
        let report = Report::read(header);
        (report.link, report.uplink)
    }

    proptest! {
        // The same cases each time; more by PROPTEST_CASES.
        #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

        #[test]
        fn any_header_is_read_without_harm(text in "(TEXT |JSON )?\\PC{0,120}") {
            let report = Report::read(&text);
            prop_assert!(report.link.is_none_or(|it| (0.0..=MOST).contains(&it)));
        }

        #[test]
        fn both_forms_say_the_same(link in 0.0..9.0f64, delivered in 0.0..1.0f64) {
            let report = Report { link: Some(link), uplink: None, delivered: Some(delivered) };
            let near = |a: Option<f64>, b: Option<f64>| (a.unwrap() - b.unwrap()).abs() < 1e-3;
            for read in [Report::read(&report.text()), Report::read(&format!("JSON {}", report.json()))] {
                prop_assert!(near(read.link, report.link) && near(read.delivered, report.delivered));
                prop_assert_eq!(read.uplink, None);
            }
        }
    }
}
