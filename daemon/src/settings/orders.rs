//! The orders' file: `[release NAME]` for managers and `[drain NAME]` for servers, at most one of each. One
//! manager of the fleet reads it and gives it to the council.

#[cfg(test)]
mod tests;

use super::error::SettingsError;
use super::ini_file::{IniFile, Section};
use super::values::{name, names, part_or, percent, steps, who, zones, NAMES};
use ottersail_rollout::{Bounds, HaltPolicy, Name, Order, OrderError, Scope, Serial, State, Step};
use std::io::Read;
use std::path::Path;

/// What an operator wants of the fleet; none where the file says nothing: then what is agreed stays.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Orders {
    pub release: Option<Order>,
    pub drain: Option<Order>,
}

/// Orders of 600 bytes need no more; what is longer is another file by mistake, and is not taken into memory.
const MOST_BYTES: u64 = 64 << 10;
/// Room for a date and a time as figures, and for those that come after it, whatever is typed by mistake.
const MOST_SERIAL: u64 = 1_000_000_000_000_000;
const STATES: &[(&str, State)] = &[("go", State::Go), ("halt", State::Halt), ("back", State::Back)];
const HALTS: &[(&str, bool)] = &[("evidence", true), ("order", false)];
/// Parts of `headroom` and of `alarms`.
const THOUSAND: u16 = 1_000;
const TEN_THOUSAND: u16 = 10_000;

/// # Errors
/// If the file can't be read or is too long, or every problem, each with file and line.
pub fn load_orders(path: &Path) -> Result<Orders, SettingsError> {
    let unread = |cause| SettingsError::Unreadable { file: path.to_path_buf(), cause };
    // A pipe would hold the manager up until somebody writes into it.
    if !std::fs::metadata(path).map_err(unread)?.is_file() {
        return Err(unread(std::io::Error::other("it is no plain file")));
    }
    let mut text = String::new();
    let file = std::fs::File::open(path).map_err(unread)?;
    let bytes = file.take(MOST_BYTES + 1).read_to_string(&mut text).map_err(unread)?;
    if bytes as u64 > MOST_BYTES {
        return Err(SettingsError::TooLong { file: path.to_path_buf(), max_bytes: MOST_BYTES });
    }
    read_orders(path, &text)
}

/// Reads an orders' file as text.
///
/// # Errors
/// Every problem, each with file and line.
pub fn read_orders(path: &Path, text: &str) -> Result<Orders, SettingsError> {
    // Some editors write a mark before the first line, and that heading would not be one.
    let ini = IniFile::read(&path.display().to_string(), text.trim_start_matches('\u{feff}'));
    let orders = orders(&ini);
    ini.end()?;
    Ok(orders)
}

/// Whether a text is an orders' file, by its first heading.
pub fn are_orders(text: &str) -> bool {
    let mut lines = text.trim_start_matches('\u{feff}').lines();
    let first = lines.find(|it| it.starts_with('[')).unwrap_or_default();
    first.starts_with("[release ") || first.starts_with("[drain ")
}

pub(super) fn orders(ini: &IniFile) -> Orders {
    Orders { release: single(ini, "release"), drain: single(ini, "drain") }
}

fn single(ini: &IniFile, kind: &str) -> Option<Order> {
    let sections = ini.sections(kind);
    let all: Vec<Order> = sections.iter().map(|(name, it)| order(ini, (kind, name), it)).collect();
    for (name, it) in sections.iter().skip(1).filter(|it| it.0 != sections[0].0) {
        let before = sections[0].0;
        let rule = format!(
            "[{kind} {name}] is a second {kind}, beside [{kind} {before}]; one at a time: take one out"
        );
        ini.add_problem(it.heading(), rule);
    }
    all.into_iter().next()
}

fn order(ini: &IniFile, (kind, title): (&str, &str), it: &Section) -> Order {
    let before = ini.told();
    let managers = kind == "release";
    let named = Name::new(title);
    if named.is_none() {
        let rule = format!("[{kind} {title}]: expected a name of {NAMES}");
        ini.add_problem(it.heading(), rule);
    }
    let version = |key| if managers { name(it, key) } else { Name::default() };
    let (version, back) = (version("version"), version("before"));
    if managers && version == back && version != Name::default() {
        it.add_problem("before", format!("must be another than version, {version}; a way back leads to it"));
    }
    let (least_holders, headroom) = match managers {
        true => (0, 0),
        false => (it.whole_or("least-holders", 0..=1_000, 1) as u16, part_or(it, "headroom", THOUSAND, 200)),
    };
    let alarms = part_or(it, "alarms", TEN_THOUSAND, 100);
    if !(1..=TEN_THOUSAND / 2).contains(&alarms) {
        let (least, most) = (percent(1, TEN_THOUSAND), percent(TEN_THOUSAND / 2, TEN_THOUSAND));
        let read = percent(alarms, TEN_THOUSAND);
        it.add_problem("alarms", format!("expected a part from {least} to {most}, read {read}"));
    }
    let order = Order {
        serial: Serial(it.whole("serial", 1..=MOST_SERIAL)),
        name: named.unwrap_or_default(),
        scope: who(it),
        version,
        previous_version: back,
        steps: steps(it),
        settle_ms: it.whole("settle-ms", 0..=u32::MAX.into()) as u32,
        use_ms: it.whole_or("use-ms", 0..=u32::MAX.into(), 10_000) as u32,
        bounds: Bounds {
            fleet: it.whole("fleet", 1..=u16::MAX.into()) as u16,
            most_out: it.whole("most-out", 0..=u16::MAX.into()) as u16,
            zones: zones(it),
            least_holders,
            headroom,
        },
        halt_policy: HaltPolicy {
            // What is seen of viewings is told by manager, and says nothing of a server that was drained.
            by_evidence: it.word_or("halt-by", HALTS, managers),
            alarms,
            points: it.whole_or("points", 1..=100, 5) as u16,
        },
        state: it.word("state", STATES),
        struck: names(it, "strike", it.get("strike").unwrap_or("")),
    };
    // What was filled in for a key that can't be read would be complained of a second time.
    if let (true, Err(fault)) = (ini.told() == before, order.check()) {
        match key(&fault, &order) {
            Some(key) => it.add_problem(key, fault),
            None => ini.add_problem(it.heading(), format!("[{kind} {title}]: {fault}")),
        }
    }
    order
}

/// The key that a fault is about; none if it is about the order as a whole.
fn key(fault: &OrderError, order: &Order) -> Option<&'static str> {
    Some(match fault {
        OrderError::NoSteps | OrderError::TooManySteps(_) => "steps",
        OrderError::TooManyZones(_) | OrderError::ZoneBound { .. } | OrderError::ZoneSum { .. } => "zones",
        OrderError::TooManyStruck(_) => "strike",
        OrderError::MostOutZero | OrderError::MostOutNotBelowFleet { .. } => "most-out",
        OrderError::UseTime(_) => "use-ms",
        OrderError::SettleTime(_) => "settle-ms",
        OrderError::PerMille(it) if order.scope == Scope::PerMille(*it) => "who",
        OrderError::PerMille(_) => "steps",
        OrderError::TooLong(_) => return None,
    })
}

/// Writes an orders' file; [`read_orders`] reads the same from it. A halt by evidence is no operator's: the
/// order is written as it was given.
pub fn write_orders(orders: &Orders) -> String {
    let one = |kind: &str, it: &Option<Order>| it.as_ref().map_or(String::new(), |it| written(kind, it));
    one("release", &orders.release) + &one("drain", &orders.drain)
}

fn written(kind: &str, it: &Order) -> String {
    let join = |all: &[Name]| all.iter().map(Name::to_string).collect::<Vec<_>>().join(", ");
    let who = match &it.scope {
        Scope::All => "all".to_string(),
        Scope::Zone(zone) => format!("zone {zone}"),
        Scope::Named(names) => format!("name {}", join(names)),
        Scope::PerMille(part) => format!("part {}", percent(*part, THOUSAND)),
    };
    let step = |it: &Step| match it {
        Step::Count(count) => count.to_string(),
        Step::PerMille(part) => percent(*part, THOUSAND),
    };
    let steps = it.steps.iter().map(step).collect::<Vec<_>>().join(", ");
    let Bounds { fleet, most_out, zones, least_holders, headroom } = &it.bounds;
    let zone = |(name, (has, most)): (&Name, &(u16, u16))| format!("{name} {has} {most}");
    let zones = zones.iter().map(zone).collect::<Vec<_>>().join(", ");
    let state = if it.state == State::HaltedByEvidence { State::Go } else { it.state };
    let state = STATES.iter().find(|it| it.1 == state).map_or("halt", |it| it.0);
    let halts = if it.halt_policy.by_evidence { "evidence" } else { "order" };
    let apart = match kind {
        "release" => format!("version = {}\nbefore = {}\n", it.version, it.previous_version),
        _ => format!("least-holders = {least_holders}\nheadroom = {}\n", percent(*headroom, THOUSAND)),
    };
    format!(
        "[{kind} {}]\nserial = {}\nwho = {who}\n{apart}steps = {steps}\nsettle-ms = {}\nuse-ms = {}\n\
         fleet = {fleet}\nmost-out = {most_out}\nzones = {zones}\nhalt-by = {halts}\nalarms = {}\n\
         points = {}\nstate = {state}\nstrike = {}\n\n",
        it.name,
        it.serial.0,
        it.settle_ms,
        it.use_ms,
        percent(it.halt_policy.alarms, TEN_THOUSAND),
        it.halt_policy.points,
        join(&it.struck)
    )
}
