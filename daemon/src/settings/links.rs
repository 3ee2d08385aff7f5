//! `[list]` and `[servers]`: the connections to the discovery service and the servers.

use super::ini_file::IniFile;
use super::DURATION_RANGE_MS;
use ottersail::time::Ms;

/// How a manager reaches the discovery service and the servers.
#[derive(Clone, Debug)]
pub struct Links {
    /// Address of the discovery service, `host:port`.
    pub list: String,
    /// Name of the streaming servers' service in the list.
    pub service: String,
    /// How long the discovery service may hold a request until something changes.
    pub list_wait: Ms,
    /// Pause after a failed request for the list.
    pub list_retry: Ms,
    /// Limit for opening a connection to a server.
    pub connect: Ms,
    /// A server that sends nothing for this long is lost.
    pub silence: Ms,
    /// A set-up that is not sent within this time of its decision is not sent at all.
    pub send_within: Ms,
    /// How long a server may take to confirm the end of a viewing.
    pub linger: Ms,
}

/// Reads `[list]` and `[servers]`. What is sent to a server must arrive before the drain's grace is over, so
/// connecting and sending together must take less time than that.
pub(super) fn links(ini: &IniFile) -> Links {
    let (list, servers) = (ini.section("list"), ini.section("servers"));
    let grace = ini.section("rules").number("drain-grace-ms", DURATION_RANGE_MS);
    let send_within = servers.number_or("send-within-ms", DURATION_RANGE_MS, grace / 4.0);
    if send_within >= grace {
        servers.add_problem("send-within-ms", format!("must be under the drain grace of {grace} ms"));
    }
    let connect = servers.number_or("connect-ms", DURATION_RANGE_MS, 250.0_f64.min(grace / 4.0));
    if connect + send_within >= grace {
        servers.add_problem(
            "connect-ms",
            format!("with send-within-ms it must be under the drain grace of {grace} ms"),
        );
    }
    Links {
        list: list.address("address"),
        service: list.text("service"),
        list_wait: Ms(list.number_or("wait-ms", 100.0..=600_000.0, 10_000.0)),
        list_retry: Ms(list.number_or("retry-ms", 10.0..=60_000.0, 300.0)),
        connect: Ms(connect),
        silence: Ms(servers.number_or("silence-ms", 200.0..=120_000.0, 3_000.0)),
        send_within: Ms(send_within),
        linger: Ms(servers.number_or("linger-ms", DURATION_RANGE_MS, 1_000.0)),
    }
}
