//! The list of servers and of titles, in the manner of a service catalogue that is asked by blocking queries:
//! `/v1/health/service/NAME?index=N&wait=10s` answers once its index has passed N, or after the wait.

use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use serde::{Deserialize, Serialize};
use serde_json::{json, Value};
use std::collections::BTreeSet;

pub use crate::trouble::CatalogueError;

pub const INDEX_HEADER: &str = "x-consul-index";
/// An answer may be so large.
pub const MAX_ANSWER_BYTES: usize = 8 << 20;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Standing {
    Up,
    /// Winding up: nothing new.
    Draining,
}

/// A streaming server as the catalogue lists it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CatalogueServer {
    pub id: String,
    /// `host:port`.
    pub address: String,
    pub standing: Standing,
    pub zone: String,
    pub kind: String,
    pub cell: u64,
    /// Its link over the usual link.
    pub weight: f64,
    /// When it started, in milliseconds since 1970, if lately.
    pub started_ms: Option<f64>,
}

/// A title and where it lies: in `copies` cells from `base` on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Title {
    #[serde(default)]
    pub name: String,
    pub base: u64,
    pub copies: u64,
}

/// Letters, digits and a few marks, so that it can stand in a path and a log.
fn plain(text: &str) -> bool {
    let mark = |it: char| it.is_ascii_alphanumeric() || matches!(it, '-' | '_' | '.' | ':');
    !text.is_empty() && text.len() <= 100 && text.chars().all(mark)
}

/// Reads a list of servers.
///
/// # Errors
/// An entry that lacks something or holds nonsense, or a server that is there twice: half a list is none.
pub fn read_servers(text: &[u8]) -> Result<Vec<CatalogueServer>, CatalogueError> {
    let rows: Vec<Value> = serde_json::from_slice(text).map_err(CatalogueError::not_a_list)?;
    let mut seen = BTreeSet::new();
    let mut list = Vec::with_capacity(rows.len());
    for (row, it) in rows.iter().enumerate() {
        let server = read_server(row, it)?;
        if !seen.insert(server.id.clone()) {
            return Err(CatalogueError::Twice { id: server.id });
        }
        list.push(server);
    }
    Ok(list)
}

fn read_server(no: usize, row: &Value) -> Result<CatalogueServer, CatalogueError> {
    let (service, meta) = (&row["Service"], &row["Service"]["Meta"]);
    let id = service["ID"].as_str().unwrap_or("");
    if !plain(id) {
        return Err(CatalogueError::ServerId { row: no, id: id.into() });
    }
    let text = |key: &str| meta[key].as_str().filter(|it| plain(it)).map(str::to_string);
    let bad = |key: &'static str| CatalogueError::Meta { id: id.into(), key };
    let want = |key: &'static str| text(key).ok_or_else(|| bad(key));
    let port = service["Port"].as_u64().filter(|it| (1..=65_535).contains(it));
    let host = service["Address"].as_str().filter(|it| plain(it));
    let (Some(port), Some(host)) = (port, host) else {
        return Err(CatalogueError::Address { id: id.into() });
    };
    let weight = want("weight")?.parse::<f64>().unwrap_or(f64::NAN);
    if !(weight.is_finite() && weight > 0.0 && weight < 1e6) {
        return Err(bad("weight"));
    }
    let Ok(cell) = want("cell")?.parse::<u64>() else {
        return Err(bad("cell"));
    };
    let started = text("started-ms").and_then(|it| it.parse::<f64>().ok());
    let checks = row["Checks"].as_array().map_or(&[][..], Vec::as_slice);
    let passing = checks.iter().all(|it| it["Status"] == "passing");
    let draining = !passing || meta["state"] == "draining";
    Ok(CatalogueServer {
        address: format!("{host}:{port}"),
        standing: if draining { Standing::Draining } else { Standing::Up },
        zone: want("zone")?,
        kind: want("kind")?,
        cell,
        weight,
        started_ms: started.filter(|it| it.is_finite() && *it > 0.0),
        id: id.to_string(),
    })
}

/// Writes a list as a catalogue would.
pub fn write_servers(list: &[CatalogueServer]) -> String {
    let row = |it: &CatalogueServer| {
        let (host, port) = it.address.rsplit_once(':').unwrap_or((&it.address, "0"));
        let port = port.parse::<u64>().unwrap_or(0);
        let state = if it.standing == Standing::Up { "up" } else { "draining" };
        json!({
            "Node": { "Node": it.id },
            "Service": {
                "ID": it.id, "Service": "streaming", "Address": host, "Port": port,
                "Meta": {
                    "zone": it.zone, "kind": it.kind, "cell": it.cell.to_string(),
                    "weight": it.weight.to_string(),
                    "started-ms": it.started_ms.unwrap_or(0.0).to_string(), "state": state,
                },
            },
            "Checks": [{ "Status": "passing" }],
        })
    };
    Value::Array(list.iter().map(row).collect()).to_string()
}

/// Reads the titles of a recursive key query below `titles/`.
///
/// # Errors
/// A value that is not what a title's should be.
pub fn read_titles(text: &[u8]) -> Result<Vec<Title>, CatalogueError> {
    let rows: Vec<Value> = serde_json::from_slice(text).map_err(CatalogueError::not_a_list)?;
    let title = |(no, row): (usize, &Value)| {
        let name = row["Key"].as_str().and_then(|it| it.strip_prefix("titles/")).unwrap_or("");
        if !plain(name) {
            return Err(CatalogueError::TitleKey { row: no, key: row["Key"].to_string() });
        }
        let value = row["Value"].as_str().and_then(|it| STANDARD.decode(it).ok()).unwrap_or_default();
        let title: Result<Title, _> = serde_json::from_slice(&value);
        match title {
            Ok(title) if title.copies > 0 => Ok(Title { name: name.into(), ..title }),
            _ => Err(CatalogueError::Title { name: name.into() }),
        }
    };
    rows.iter().enumerate().map(title).collect()
}

pub fn write_titles(titles: &[Title]) -> String {
    let row = |it: &Title| {
        let value = json!({ "base": it.base, "copies": it.copies }).to_string();
        json!({ "Key": format!("titles/{}", it.name), "Value": STANDARD.encode(value) })
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
    fn a_list_comes_through() {
        let list = vec![
            listed("b-1"),
            CatalogueServer { started_ms: None, standing: Standing::Up, ..listed("b-2") },
        ];
        assert_eq!(read_servers(write_servers(&list).as_bytes()), Ok(list));
        let titles = vec![Title { name: "t-1".into(), base: 4, copies: 3 }];
        assert_eq!(read_titles(write_titles(&titles).as_bytes()), Ok(titles));
    }

    #[test_case("\"b-1\"", "\"b-2\"", "twice"; "a server twice")]
    #[test_case("\"1.5\"", "\"NaN\"", "weight"; "a weight that is none")]
    #[test_case("\"3\"", "\"x\"", "cell"; "a cell that is none")]
    #[test_case("127.0.0.1", "127.0.0.1/a b", "Service.Address"; "an address that is none")]
    #[test_case("[", "", "not a list"; "not a list")]
    fn half_a_list_is_none(was: &str, becomes: &str, expected: &str) {
        let text = write_servers(&[listed("b-1"), listed("b-2")]).replace(was, becomes);
        let told = read_servers(text.as_bytes()).unwrap_err().to_string();
        assert!(told.contains(expected), "{told}");
    }

    #[test]
    fn a_failing_check_is_a_drain() {
        let text = write_servers(&[CatalogueServer { standing: Standing::Up, ..listed("b") }]);
        let text = text.replace("\"passing\"", "\"critical\"");
        assert_eq!(read_servers(text.as_bytes()).unwrap()[0].standing, Standing::Draining);
    }

    proptest! {
        // The same cases each time; more by PROPTEST_CASES.
        #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

        #[test]
        fn a_damaged_list_is_read_or_refused(at in 0usize..400, byte in any::<u8>()) {
            let mut text = write_servers(&[listed("b-1")]).into_bytes();
            let at = at % text.len();
            text[at] = byte;
            _ = read_servers(&text);
            _ = read_titles(&text);
        }
    }
}
