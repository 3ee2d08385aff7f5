//! A manager's file, written for rehearsals.

use super::council::Council;
use super::members::Members;
use super::releases::Releases;
use ottersail::config::{DedupScope, PlacementConfig, RequestSemantics, ResendBudget};
use ottersail::time::Ms;

/// What of a manager's file is not in its terms.
pub struct LocalSettings<'a> {
    pub listen: &'a str,
    pub list: &'a str,
    pub keys: &'a str,
    pub grace: Ms,
    pub list_wait: Ms,
    pub silence: Ms,
    pub cores: usize,
    pub members: Option<&'a Members>,
    pub council: Option<&'a Council>,
    pub releases: Option<&'a Releases>,
}

/// Writes a manager's file; [`parse_manager`](super::manager::parse_manager) reads the same terms from it.
pub fn write_manager(terms: &PlacementConfig, local: &LocalSettings) -> String {
    let yes = |it: bool| if it { "yes" } else { "no" };
    let join = |all: &[f64]| all.iter().map(f64::to_string).collect::<Vec<_>>().join(", ");
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
        join(&terms.ladder_kb),
        terms.link_unit_kb,
        terms.uplink_kb,
        yes(terms.uplinks_reported),
        terms.cells,
        terms.racks,
        places.join(", "),
        terms.report_delay.0,
        terms.report_interval.0,
        terms.change_cost.0,
        yes(terms.reports_on_probe),
        yes(terms.weights_listed),
        terms.live_join_share
    );
    if !terms.rung_values.is_empty() {
        text += &format!("worth = {}\n", join(&terms.rung_values));
    }
    text += &format!(
        "\n[rules]\nprobes-allowed = {}\ndrain-grace-ms = {}\ncold-ms = {}\nstart-capacity = {}\n\
         fall-multiple = {}\nfall-ms = {}\nmax-tune-ins = {}\ncross-price = {}\n",
        yes(terms.reports_on_probe),
        grace.0,
        terms.cold.warm_up.0,
        terms.cold.start_capacity,
        terms.cold.fall_multiple,
        terms.cold.fall_window.0,
        terms.max_tune_ins,
        terms.cross_zone_price
    );
    if let Some(most) = terms.max_stay_away {
        text += &format!("max-stay-away-ms = {}\n", most.0);
    }
    if let Some(budget) = terms.budget {
        let ResendBudget { free_resends: free, ratio, window: span } = budget;
        text += &format!("budget-free = {free}\nbudget-ratio = {ratio}\nbudget-span-ms = {}\n", span.0);
    }
    for it in &terms.packages {
        text +=
            &format!(
            "\n[package {}]\nvalue = {}\njoin-target-ms = {}\nscale = {}\nfloor = {}\ntop = {}\nseats = {}\n\
             live = {}\n",
            it.name, it.value, it.join_target.0, it.rate_scale, it.floor.0, it.top.0, it.seats,
            yes(it.live)
        );
        text += &match it.semantics {
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
    if let Some(it) = local.members {
        let seeds = it.seeds.iter().map(|it| it.to_string()).collect::<Vec<_>>().join(", ");
        let Members { name, cluster, listen, advertise, keys, period, .. } = it;
        text += &format!(
            "\n[members]\nname = {name}\ncluster = {cluster}\nlisten = {listen}\nadvertise = {advertise}\n\
             seeds = {seeds}\nkeys = {}\nperiod-ms = {}\n",
            keys.display(),
            period.0
        );
    }
    if let Some(it) = local.council {
        let Council { councillors, store, slots, lease_ms, drift_ppm } = it;
        text += &format!(
            "\n[council]\ncouncillors = {}\nslots = {slots}\nlease-ms = {lease_ms}\n\
             drift-ppm = {drift_ppm}\n",
            councillors.join(", ")
        );
        text += &store.as_ref().map_or(String::new(), |it| format!("store = {}\n", it.display()));
    }
    if let Some(it) = local.releases {
        let Releases { orders, version, next, play_out } = it;
        text += &format!(
            "\n[releases]\nversion = {version}\nnext = {}\nplay-out-ms = {}\n",
            next.display(),
            play_out.0
        );
        text += &orders.as_ref().map_or(String::new(), |it| format!("orders = {}\n", it.display()));
    }
    for it in &terms.tenants {
        text += &format!("\n[tenant {}]\nallowance-per-s = {}\n", it.name, it.allowance_per_s);
    }
    text
}
