//! Writes managers' settings files, for rehearsals.

use super::council::Council;
use super::members::Members;
use super::releases::Releases;
use ottersail::config::{DedupScope, PlacementConfig, RequestSemantics, ResendBudget};
use ottersail::time::Ms;

/// The settings of a manager that are not part of its terms.
pub struct LocalSettings<'a> {
    /// The address that players connect to, `host:port`.
    pub listen: &'a str,
    /// Address of the discovery service, `host:port`.
    pub list: &'a str,
    /// File with the keys that sign playlist addresses.
    pub keys: &'a str,
    /// How long a draining server keeps accepting set-ups that are in flight.
    pub grace: Ms,
    /// How long the discovery service may hold a request until something changes.
    pub list_wait: Ms,
    /// A server that sends nothing for this long is lost.
    pub silence: Ms,
    /// Number of threads that hold connections.
    pub cores: usize,
    /// The section `[members]`, if it is to be written.
    pub members: Option<&'a Members>,
    /// The section `[council]`, if it is to be written.
    pub council: Option<&'a Council>,
    /// The section `[releases]`, if it is to be written.
    pub releases: Option<&'a Releases>,
}

/// Writes a manager's file, from which [`parse_manager`](super::manager::parse_manager) reads the same settings.
pub fn write_manager(terms: &PlacementConfig, local: &LocalSettings) -> String {
    let yes_no = |flag: bool| if flag { "yes" } else { "no" };
    let join_numbers = |numbers: &[f64]| numbers.iter().map(f64::to_string).collect::<Vec<_>>().join(", ");
    let LocalSettings { listen, list, keys, grace, list_wait, silence, cores, .. } = local;
    let places: Vec<String> =
        terms.places_by_kind.iter().map(|(kind, places)| format!("{kind}:{places}")).collect();
    let mut text = format!(
        "[manager]\nnumber = {}\nmanagers = {}\nzone = {}\nlisten = {listen}\nkeys = {keys}\n\
         cores = {cores}\n\n\
         [list]\naddress = {list}\nservice = streaming\nwait-ms = {}\n\n[servers]\nsilence-ms = {}\n\n",
        terms.manager.0, terms.manager_count, terms.zone, list_wait.0, silence.0
    );
    text += &format!(
        "[ladder]\nrates-kb = {}\nlink-unit-kb = {}\nrack-link-kb = {}\nuplinks-reported = {}\ncells = {}\n\
         racks = {}\nplaces = {}\nseen-after-ms = {}\nreports-every-ms = {}\nchange-cost-ms = {}\n\
         reports-on-probe = {}\nweights-told = {}\njoin = {}\n",
        join_numbers(&terms.ladder_kb),
        terms.link_unit_kb,
        terms.uplink_kb,
        yes_no(terms.uplinks_reported),
        terms.cells,
        terms.racks,
        places.join(", "),
        terms.report_delay.0,
        terms.report_interval.0,
        terms.change_cost.0,
        yes_no(terms.reports_on_probe),
        yes_no(terms.weights_listed),
        terms.live_join_share
    );
    if !terms.rung_values.is_empty() {
        text += &format!("worth = {}\n", join_numbers(&terms.rung_values));
    }
    text += &format!(
        "\n[rules]\nprobes-allowed = {}\ndrain-grace-ms = {}\ncold-ms = {}\nstart-capacity = {}\n\
         fall-multiple = {}\nfall-ms = {}\nmax-tune-ins = {}\ncross-price = {}\n",
        yes_no(terms.reports_on_probe),
        grace.0,
        terms.cold.warm_up.0,
        terms.cold.start_capacity,
        terms.cold.fall_multiple,
        terms.cold.fall_window.0,
        terms.max_tune_ins,
        terms.cross_zone_price
    );
    if let Some(limit) = terms.max_stay_away {
        text += &format!("max-stay-away-ms = {}\n", limit.0);
    }
    if let Some(budget) = terms.budget {
        let ResendBudget { free_resends: free, ratio, window: span } = budget;
        text += &format!("budget-free = {free}\nbudget-ratio = {ratio}\nbudget-span-ms = {}\n", span.0);
    }
    for package in &terms.packages {
        text += &format!(
            "\n[package {}]\nvalue = {}\njoin-target-ms = {}\nscale = {}\nfloor = {}\ntop = {}\nseats = {}\n\
             live = {}\n",
            package.name,
            package.value,
            package.join_target.0,
            package.rate_scale,
            package.floor.0,
            package.top.0,
            package.seats,
            yes_no(package.live)
        );
        text += &match package.semantics {
            RequestSemantics::Idempotent => "repeat = safe\n".to_string(),
            RequestSemantics::AtMostOnce => "repeat = unsafe\n".to_string(),
            RequestSemantics::Deduplicated { group, window } => {
                let group = match group {
                    DedupScope::All => "all",
                    DedupScope::SameZone => "zone",
                    DedupScope::SameCell => "cell",
                };
                format!("repeat = keyed\ngroup = {group}\nwindow-ms = {}\n", window.0)
            }
        };
    }
    if let Some(members) = local.members {
        let seeds = members.seeds.iter().map(|seed| seed.to_string()).collect::<Vec<_>>().join(", ");
        let Members { name, cluster, listen, advertise, keys, period, .. } = members;
        text += &format!(
            "\n[members]\nname = {name}\ncluster = {cluster}\nlisten = {listen}\nadvertise = {advertise}\n\
             seeds = {seeds}\nkeys = {}\nperiod-ms = {}\n",
            keys.display(),
            period.0
        );
    }
    if let Some(council) = local.council {
        let Council { councillors, store, slots, lease_ms, drift_ppm } = council;
        text += &format!(
            "\n[council]\ncouncillors = {}\nslots = {slots}\nlease-ms = {lease_ms}\n\
             drift-ppm = {drift_ppm}\n",
            councillors.join(", ")
        );
        text += &store.as_ref().map_or(String::new(), |path| format!("store = {}\n", path.display()));
    }
    if let Some(releases) = local.releases {
        let Releases { orders, version, next, play_out } = releases;
        text += &format!(
            "\n[releases]\nversion = {version}\nnext = {}\nplay-out-ms = {}\n",
            next.display(),
            play_out.0
        );
        text += &orders.as_ref().map_or(String::new(), |path| format!("orders = {}\n", path.display()));
    }
    for tenant in &terms.tenants {
        text += &format!("\n[tenant {}]\nallowance-per-s = {}\n", tenant.name, tenant.allowance_per_s);
    }
    text
}
