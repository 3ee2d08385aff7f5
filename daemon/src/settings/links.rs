//! `[list]` and `[servers]`: how a manager reaches the list and the servers.

use super::ini_file::IniFile;
use super::SPAN;
use ottersail::time::Ms;

/// Addresses, and times in milliseconds.
#[derive(Clone, Debug)]
pub struct Links {
    /// `host:port`.
    pub list: String,
    pub service: String,
    pub list_wait: Ms,
    pub list_retry: Ms,
    pub connect: Ms,
    pub silence: Ms,
    pub send_within: Ms,
    pub linger: Ms,
}

/// What is sent to a server must be there before a drain's grace is over.
pub(super) fn links(ini: &IniFile) -> Links {
    let (list, servers) = (ini.section("list"), ini.section("servers"));
    let grace = ini.section("rules").number("drain-grace-ms", SPAN);
    let send_within = servers.number_or("send-within-ms", SPAN, grace / 4.0);
    if send_within >= grace {
        servers.add_problem("send-within-ms", format!("must be under the drain grace of {grace} ms"));
    }
    let connect = servers.number_or("connect-ms", SPAN, 250.0_f64.min(grace / 4.0));
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
        linger: Ms(servers.number_or("linger-ms", SPAN, 1_000.0)),
    }
}
