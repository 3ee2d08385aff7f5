//! Load reports of streaming servers, in the format of Open Request Cost Aggregation (ORCA): response header
//! `endpoint-load-metrics`. Two of its forms are supported, `TEXT` (`TEXT named_metrics.link=0.9, named_metrics.uplink=0.4`) and `JSON`
//! (`JSON {"named_metrics":{"link":0.9}}`).

use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

/// Name of the response header that carries a load report.
pub const HEADER: &str = "endpoint-load-metrics";

/// Load of a streaming server. A value that was not reported, or was invalid, is `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Demand on the server's link divided by its capacity: 0 or more, above 1 when overloaded.
    pub link: Option<f64>,
    /// Demand on the uplink of the server's rack divided by its capacity: 0 or more, above 1 when overloaded.
    pub uplink: Option<f64>,
    /// Share of their bit rates that the viewings on this server receive, 0 to 1.
    pub delivered: Option<f64>,
}

/// Values above this limit are errors of the sender, not loads, and count as absent.
const MAX_VALUE: f64 = 1e4;

impl Report {
    fn set_metric(&mut self, name: &str, value: f64) {
        let value = Some(value).filter(|number| number.is_finite() && (0.0..=MAX_VALUE).contains(number));
        match name {
            "link" => self.link = value,
            "uplink" => self.uplink = value,
            "delivered" => self.delivered = value.filter(|share| *share <= 1.0),
            _ => {}
        }
    }

    /// Parses the value of the header. A metric that is negative, infinite, not a number or too large counts as
    /// absent; a header of an unknown form gives an empty report.
    pub fn read(header: &str) -> Report {
        let mut report = Report::default();
        let header = header.trim();
        if let Some(text) = header.strip_prefix("TEXT ") {
            for pair in text.split(',') {
                if let Some((name, value)) = pair.split_once('=') {
                    let name = name.trim();
                    let name = name.strip_prefix("named_metrics.").unwrap_or("");
                    report.set_metric(name, value.trim().parse().unwrap_or(f64::NAN));
                }
            }
        } else if let Some(text) = header.strip_prefix("JSON ") {
            report = Report::read_json(text).unwrap_or_default();
        }
        report
    }

    /// Parses the JSON form of a report without the `JSON ` prefix; `None` if it is not such an object.
    pub fn read_json(text: &str) -> Option<Report> {
        #[derive(Deserialize)]
        struct JsonReport {
            #[serde(default)]
            named_metrics: Map<String, Value>,
        }
        let parsed: JsonReport = serde_json::from_str(text).ok()?;
        let mut report = Report::default();
        for (name, value) in &parsed.named_metrics {
            report.set_metric(name, value.as_f64().unwrap_or(f64::NAN));
        }
        Some(report)
    }

    fn named_metrics(&self) -> impl Iterator<Item = (&'static str, f64)> {
        let all = [("link", self.link), ("uplink", self.uplink), ("delivered", self.delivered)];
        all.into_iter().filter_map(|(name, value)| Some((name, value?)))
    }

    /// Formats the report as a header value in the `TEXT` form.
    pub fn text(&self) -> String {
        let pairs: Vec<String> =
            self.named_metrics().map(|(name, value)| format!("named_metrics.{name}={value:.4}")).collect();
        format!("TEXT {}", pairs.join(", "))
    }

    /// Formats the report as a JSON object, without the `JSON ` prefix of the header.
    pub fn json(&self) -> String {
        let named: Map<String, Value> =
            self.named_metrics().map(|(name, value)| (name.into(), value.into())).collect();
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
    fn valid_metrics_are_read_and_others_are_absent(header: &str) -> (Option<f64>, Option<f64>) {
        let report = Report::read(header);
        (report.link, report.uplink)
    }

    proptest! {
        // The fixed seed gives the same cases in each run; PROPTEST_CASES sets their number.
        #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

        #[test]
        fn arbitrary_headers_give_only_valid_loads(text in "(TEXT |JSON )?\\PC{0,120}") {
            let report = Report::read(&text);
            prop_assert!(report.link.is_none_or(|load| (0.0..=MAX_VALUE).contains(&load)));
        }

        #[test]
        fn text_and_json_forms_carry_the_same_metrics(link in 0.0..9.0f64, delivered in 0.0..1.0f64) {
            let report = Report { link: Some(link), uplink: None, delivered: Some(delivered) };
            let near = |a: Option<f64>, b: Option<f64>| (a.unwrap() - b.unwrap()).abs() < 1e-3;
            for read in [Report::read(&report.text()), Report::read(&format!("JSON {}", report.json()))] {
                prop_assert!(near(read.link, report.link) && near(read.delivered, report.delivered));
                prop_assert_eq!(read.uplink, None);
            }
        }
    }
}
