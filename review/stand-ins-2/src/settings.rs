//! The configuration of a manager, with the form that the deploy page gives.

use std::net::SocketAddr;

pub struct Class {
    pub name: &'static str,
    pub semantics: &'static str,
    pub promise_ms: u64,
    pub give_up_ms: u64,
    pub lowest_rung: usize,
    pub seats: usize,
}

pub struct Settings {
    pub sockets: usize,
    pub memory_mb: usize,
    pub managers: usize,
    pub classes: Vec<Class>,
    pub cells: usize,
    pub racks: usize,
    pub rates_kb: Vec<u32>,
    pub worth: Vec<f32>,
    pub link_unit_kb: u32,
    pub rack_link_kb: u32,
    pub places: usize,
    pub reports_every_ms: u64,
    pub report_how: &'static str,
    pub report_fields: &'static str,
    pub max_attempts: usize,
    pub retry_after: bool,
    pub conn_idle_ms: u64,
    pub drain_grace_ms: u64,
    pub fall_multiple: f32,
    /// Further attempts: how many are free, their share of the requests, and the window in milliseconds.
    pub budget: Option<(u32, f32, u64)>,
}

impl Settings {
    pub fn file(&self, me: usize, listen: SocketAddr, channel: SocketAddr, known: &str) -> String {
        let ns = |ms: u64| ms * 1_000_000;
        let class = |class: &Class| {
            let Class { name, semantics, promise_ms, give_up_ms, .. } = class;
            let (promise, give_up) = (ns(*promise_ms), ns(*give_up_ms));
            format!(
                "{{\"name\":\"{name}\",\"semantics\":\"{semantics}\",\"group\":\"all\",\"late-value\":0,\
                 \"points\":1,\"stream\":true,\"window-ns\":5000000000,\
                 \"promise-ns\":{promise},\"give-up-ns\":{give_up}}}"
            )
        };
        let classes: Vec<String> = self.classes.iter().map(class).collect();
        let lowest: Vec<usize> = self.classes.iter().map(|class| class.lowest_rung).collect();
        let seats: Vec<usize> = self.classes.iter().map(|class| class.seats).collect();
        let top = vec![self.rates_kb.len() - 1; classes.len()];
        let (scale, live) = (vec![1.0f32; classes.len()], vec![false; classes.len()]);
        let budget = self.budget.map_or(String::new(), |(free, ratio, window)| {
            format!(",\"free-resends\":{free},\"resend-ratio\":{ratio},\"ratio-span-ns\":{}", ns(window))
        });
        let Settings { sockets, memory_mb, managers, cells, racks, rates_kb, worth, places, .. } = self;
        let (link, rack, fields) = (self.link_unit_kb, self.rack_link_kb, self.report_fields);
        let extra = format!(
            "{{\"rates-kb\":{rates_kb:?},\"worth-by-rung\":{worth:?},\"places\":{cells},\"racks\":{racks},\
             \"link-unit-kb\":{link},\"rack-link-kb\":{rack},\"places-by-kind\":[{places}],\
             \"seen-after-ns\":800000000,\"reports-every-ns\":{},\"change-costs-s\":0.6,\"join\":1.0,\
             \"guard\":0,\"stall-cost\":9.0,\"fleet-kb\":100000,\"lowest-rung\":{lowest:?},\"class-seats\":{seats:?},\
             \"top-by-class\":{top:?},\"scale-by-class\":{scale:?},\"live\":{live:?}}}",
            ns(self.reports_every_ms)
        );
        let allowed = format!(
            "{{\"cancel\":true,\"conn-idle-ns\":{},\"connect-timeout-ns\":250000000,\"max-attempts\":{},\
             \"max-open\":1000000,\"max-retry-after-ns\":500000000,\"peer-messages\":false,\"probes\":true,\
             \"retry-after\":{},\"second-copies\":false,\"streams-per-conn\":32}}",
            ns(self.conn_idle_ms),
            self.max_attempts,
            self.retry_after
        );
        let safety = format!(
            "{{\"answer-slack-ns\":50000000,\"cold-ns\":8000000000,\"drain-grace-ns\":{},\"fall-multiple\":{},\
             \"fall-ns\":2000000000,\"start-capacity\":0.5{budget}}}",
            ns(self.drain_grace_ms),
            self.fall_multiple
        );
        let classes = classes.join(",");
        let how = self.report_how;
        let settings = format!(
            "{{\"accounts\":[],\"allowed\":{allowed},\"az\":\"north\",\"zones\":[\"north\"],\"classes\":[{classes}],\
             \"extra\":{extra},\"kind-of-service\":\"streams\",\"me\":{me},\"peers-total\":{managers},\
             \"prices\":{{\"cross-zone\":0.02}},\"registry-mode\":\"pushed\",\"safety\":{safety},\
             \"report\":{{\"fields\":[{fields}],\"how\":\"{how}\"}},\"skus\":[\"two-core\"],\"tick-ns\":10000000,\
             \"tier\":0,\"tiers\":[\"boxes\"],\"weights\":\"rough\"}}"
        );
        format!(
            "{{\"name\":\"n{me}\",\"listen\":\"{listen}\",\"seed\":\"8c1f30d27a5be964\",\
             \"limits\":{{\"cores\":1.0,\"memory_mb\":{memory_mb},\"sockets\":{sockets}}},\
             \"channel\":\"{channel}\",\"known\":{known},\"settings\":{settings}}}"
        )
    }
}

/// A line of the server list.
pub fn host(id: &str, address: SocketAddr, cell: usize, health: &str, born_ms: f64) -> String {
    format!(
        "{{\"host\":\"{id}\",\"dial\":\"{address}\",\"site\":\"north\",\"class\":\"two-core\",\"block\":{cell},\
         \"health\":\"{health}\",\"share\":1,\"born_ms\":{}}}",
        born_ms as u64
    )
}
