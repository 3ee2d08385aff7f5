//! Lists of servers and titles in the format of a Consul service catalogue. The catalogue is read with blocking
//! queries: `/v1/health/service/NAME?index=N&wait=10s` answers once the index is greater than N, or after the
//! wait time.

use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use serde::{Deserialize, Serialize};
use serde_json::{json, Value};
use std::collections::BTreeSet;

pub use crate::error::CatalogueError;

/// Name of the response header that carries the index of the catalogue.
pub const INDEX_HEADER: &str = "x-consul-index";
/// Maximum size of an answer, in bytes.
pub const MAX_ANSWER_BYTES: usize = 8 << 20;

/// Whether a listed server accepts new viewings.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Standing {
    /// The server accepts new viewings.
    Up,
    /// The server is being drained: it gets no new viewings.
    Draining,
}

/// Entry of a streaming server in the catalogue.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CatalogueServer {
    pub id: String,
    /// `host:port`.
    pub address: String,
    pub standing: Standing,
    /// Name of the zone that holds the server.
    pub zone: String,
    /// Kind of the server's hardware.
    pub kind: String,
    /// Number of the cell that the server belongs to.
    pub cell: u64,
    /// Capacity of the server's link divided by that of the usual link.
    pub weight: f64,
    /// Start time in milliseconds since the Unix epoch, if the server started recently.
    pub started_ms: Option<f64>,
}

/// A title and its location: `copies` consecutive cells, of which `base` is the first.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Title {
    #[serde(default)]
    pub name: String,
    pub base: u64,
    pub copies: u64,
}

/// Whether the text consists only of ASCII letters, digits and `-_.:` (at most 100 of them), so that it is safe
/// in paths and logs.
fn is_safe_name(text: &str) -> bool {
    let allowed = |symbol: char| symbol.is_ascii_alphanumeric() || matches!(symbol, '-' | '_' | '.' | ':');
    !text.is_empty() && text.len() <= 100 && text.chars().all(allowed)
}

/// Parses a list of servers.
///
/// # Errors
/// Returns an error if an entry is incomplete or invalid, or if a server is listed twice. The whole list is
/// then rejected, since a partial list must not be used.
pub fn read_servers(text: &[u8]) -> Result<Vec<CatalogueServer>, CatalogueError> {
    let rows: Vec<Value> = serde_json::from_slice(text).map_err(CatalogueError::not_a_list)?;
    let mut seen = BTreeSet::new();
    let mut list = Vec::with_capacity(rows.len());
    for (row, entry) in rows.iter().enumerate() {
        let server = read_server(row, entry)?;
        if !seen.insert(server.id.clone()) {
            return Err(CatalogueError::DuplicateServer { id: server.id });
        }
        list.push(server);
    }
    Ok(list)
}

fn read_server(row: usize, entry: &Value) -> Result<CatalogueServer, CatalogueError> {
    let (service, meta) = (&entry["Service"], &entry["Service"]["Meta"]);
    let id = service["ID"].as_str().unwrap_or("");
    if !is_safe_name(id) {
        return Err(CatalogueError::InvalidServerId { row, id: id.into() });
    }
    let text = |key: &str| meta[key].as_str().filter(|text| is_safe_name(text)).map(str::to_string);
    let invalid = |key: &'static str| CatalogueError::InvalidMeta { id: id.into(), key };
    let required = |key: &'static str| text(key).ok_or_else(|| invalid(key));
    let port = service["Port"].as_u64().filter(|port| (1..=65_535).contains(port));
    let host = service["Address"].as_str().filter(|text| is_safe_name(text));
    let (Some(port), Some(host)) = (port, host) else {
        return Err(CatalogueError::InvalidAddress { id: id.into() });
    };
    let weight = required("weight")?.parse::<f64>().unwrap_or(f64::NAN);
    if !(weight.is_finite() && weight > 0.0 && weight < 1e6) {
        return Err(invalid("weight"));
    }
    let Ok(cell) = required("cell")?.parse::<u64>() else {
        return Err(invalid("cell"));
    };
    let started = text("started-ms").and_then(|started| started.parse::<f64>().ok());
    let checks = entry["Checks"].as_array().map_or(&[][..], Vec::as_slice);
    let passing = checks.iter().all(|check| check["Status"] == "passing");
    let draining = !passing || meta["state"] == "draining";
    Ok(CatalogueServer {
        address: format!("{host}:{port}"),
        standing: if draining { Standing::Draining } else { Standing::Up },
        zone: required("zone")?,
        kind: required("kind")?,
        cell,
        weight,
        started_ms: started.filter(|started_ms| started_ms.is_finite() && *started_ms > 0.0),
        id: id.to_string(),
    })
}

/// Formats a list of servers as the catalogue's answer.
pub fn write_servers(list: &[CatalogueServer]) -> String {
    let row = |server: &CatalogueServer| {
        let (host, port) = server.address.rsplit_once(':').unwrap_or((&server.address, "0"));
        let port = port.parse::<u64>().unwrap_or(0);
        let state = if server.standing == Standing::Up { "up" } else { "draining" };
        json!({
            "Node": { "Node": server.id },
            "Service": {
                "ID": server.id, "Service": "streaming", "Address": host, "Port": port,
                "Meta": {
                    "zone": server.zone, "kind": server.kind, "cell": server.cell.to_string(),
                    "weight": server.weight.to_string(),
                    "started-ms": server.started_ms.unwrap_or(0.0).to_string(), "state": state,
                },
            },
            "Checks": [{ "Status": "passing" }],
        })
    };
    Value::Array(list.iter().map(row).collect()).to_string()
}

/// Parses the answer to a recursive key query below `titles/`.
///
/// # Errors
/// Returns an error if a key or value is not valid for a title.
pub fn read_titles(text: &[u8]) -> Result<Vec<Title>, CatalogueError> {
    let rows: Vec<Value> = serde_json::from_slice(text).map_err(CatalogueError::not_a_list)?;
    let read_title = |(row, entry): (usize, &Value)| {
        let name = entry["Key"].as_str().and_then(|key| key.strip_prefix("titles/")).unwrap_or("");
        if !is_safe_name(name) {
            return Err(CatalogueError::InvalidTitleKey { row, key: entry["Key"].to_string() });
        }
        let value =
            entry["Value"].as_str().and_then(|encoded| STANDARD.decode(encoded).ok()).unwrap_or_default();
        let title: Result<Title, _> = serde_json::from_slice(&value);
        match title {
            Ok(title) if title.copies > 0 => Ok(Title { name: name.into(), ..title }),
            _ => Err(CatalogueError::InvalidTitle { name: name.into() }),
        }
    };
    rows.iter().enumerate().map(read_title).collect()
}

/// Formats titles as the catalogue's answer to a key query.
pub fn write_titles(titles: &[Title]) -> String {
    let row = |title: &Title| {
        let value = json!({ "base": title.base, "copies": title.copies }).to_string();
        json!({ "Key": format!("titles/{}", title.name), "Value": STANDARD.encode(value) })
    };
    Value::Array(titles.iter().map(row).collect()).to_string()
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;
    use proptest::test_runner::RngSeed;
    use test_case::test_case;

    fn listed(id: &str) -> CatalogueServer {
        CatalogueServer {
            id: id.into(),
            address: "127.0.0.1:80".into(),
            standing: Standing::Draining,
            zone: "a".into(),
            kind: "k".into(),
            cell: 3,
            weight: 1.5,
            started_ms: Some(1.25),
        }
    }

    #[test]
    fn written_lists_are_read_back() {
        let list = vec![
            listed("b-1"),
            CatalogueServer { started_ms: None, standing: Standing::Up, ..listed("b-2") },
        ];
        assert_eq!(read_servers(write_servers(&list).as_bytes()), Ok(list));
        let titles = vec![Title { name: "t-1".into(), base: 4, copies: 3 }];
        assert_eq!(read_titles(write_titles(&titles).as_bytes()), Ok(titles));
    }

    #[test_case("\"b-1\"", "\"b-2\"", "twice"; "a duplicate server")]
    #[test_case("\"1.5\"", "\"NaN\"", "weight"; "an invalid weight")]
    #[test_case("\"3\"", "\"x\"", "cell"; "an invalid cell")]
    #[test_case("127.0.0.1", "127.0.0.1/a b", "Service.Address"; "an invalid address")]
    #[test_case("[", "", "not a list"; "not a list")]
    fn a_list_with_an_invalid_entry_is_rejected(valid: &str, invalid: &str, expected: &str) {
        let text = write_servers(&[listed("b-1"), listed("b-2")]).replace(valid, invalid);
        let message = read_servers(text.as_bytes()).unwrap_err().to_string();
        assert!(message.contains(expected), "{message}");
    }

    #[test]
    fn a_server_with_a_failing_check_counts_as_draining() {
        let text = write_servers(&[CatalogueServer { standing: Standing::Up, ..listed("b") }]);
        let text = text.replace("\"passing\"", "\"critical\"");
        assert_eq!(read_servers(text.as_bytes()).unwrap()[0].standing, Standing::Draining);
    }

    proptest! {
        // The fixed seed gives the same cases in each run; PROPTEST_CASES sets their number.
        #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

        #[test]
        fn a_corrupted_list_does_not_panic(at in 0usize..400, byte in any::<u8>()) {
            let mut text = write_servers(&[listed("b-1")]).into_bytes();
            let at = at % text.len();
            text[at] = byte;
            _ = read_servers(&text);
            _ = read_titles(&text);
        }
    }
}
