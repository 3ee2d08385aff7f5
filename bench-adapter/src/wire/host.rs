//! Instances of the module, and the events told to each.

use super::errors::Flaw;
use super::reply::Reply;
use super::values::{bytes, hint, ms, outcome, wanted, Read, Values};
use ottersail::actions::PlacementActions;
use ottersail::ids::{Rung, TenantIndex, TimerTag, TuneInIndex};
use ottersail::placement::Placement;
use ottersail::state::{ListMode, ServerEntry, Topic, ViewingRequest};
use ottersail::time::Ms;
use ottersail_platform::errors::excerpt;
use ottersail_platform::load_report::parse_load_report;
use ottersail_platform::terms::read_terms;
use std::collections::{BTreeMap, BTreeSet};
use std::io::Write;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::rc::Rc;

const EVENTS: [&str; 12] = [
    "BORN",
    "CRASH_NOW",
    "MEMBERS",
    "INCOMING",
    "PREEXISTING",
    "CHANGE",
    "BELL",
    "FIRST",
    "ANSWER",
    "DROPPED",
    "ECHO",
    "DATAGRAM",
];

#[derive(Default)]
pub struct Host {
    placements: BTreeMap<String, Placement>,
    ever_born: BTreeSet<String>,
    pub sheets: BTreeMap<u64, Rc<[ServerEntry]>>,
}

impl Host {
    /// Carries out one event; the module's panic becomes a PANIC line.
    pub fn event<W: Write>(&mut self, name: &str, mut values: Values, now: Ms, to: &mut W) -> Read<()> {
        if !EVENTS.contains(&name) {
            return wanted(name, "a known event");
        }
        let instance = values.text("manager-id")?;
        let mut reply = Reply { to, instance, failed: None };
        let told = catch_unwind(AssertUnwindSafe(|| self.tell(name, values, now, instance, &mut reply)));
        if let Some(trouble) = reply.failed {
            return Err(Flaw::Output(trouble));
        }
        told.unwrap_or_else(|panic| {
            let what = panic.downcast_ref::<&str>().copied();
            let what = what.or(panic.downcast_ref::<String>().map(String::as_str)).unwrap_or("unknown cause");
            reply.line("PANIC", format_args!(" {}", what.replace('\n', " ")));
            Ok(())
        })
    }

    fn tell(
        &mut self,
        name: &str,
        mut values: Values,
        now: Ms,
        instance: &str,
        out: &mut dyn PlacementActions,
    ) -> Read<()> {
        if name == "BORN" {
            let seed = values.number("salt")?;
            let conf = values.remainder("conf")?;
            let conf = serde_json::from_str(conf)
                .map_err(|source| Flaw::Settings { read: excerpt(conf), source })?;
            self.ever_born.insert(instance.to_string());
            self.placements.insert(instance.to_string(), Placement::new(now, seed, read_terms(&conf), out));
            return Ok(());
        }
        if name == "CRASH_NOW" {
            values.end()?;
            if !self.ever_born.contains(instance) {
                return wanted(instance, "an instance that was born");
            }
            self.placements.remove(instance);
            return Ok(());
        }
        let Some(placement) = self.placements.get_mut(instance) else {
            return wanted(instance, "an instance that was born");
        };
        match name {
            "MEMBERS" => {
                let mode = match values.text("mode")? {
                    "INCREMENTAL" => ListMode::Incremental,
                    "FULL" => ListMode::Full,
                    "SAVED" => ListMode::Saved,
                    "FAILED" => ListMode::Failed,
                    other => return wanted(other, "a list mode"),
                };
                values.optional::<u64>("serial")?;
                let sheet = values.optional::<u64>("sheet")?;
                values.end()?;
                if mode == ListMode::Failed {
                    placement.update_servers(now, mode, &[], out);
                } else {
                    match sheet.and_then(|sheet| self.sheets.get(&sheet)) {
                        Some(entries) => placement.update_servers(now, mode, entries, out),
                        None => return wanted(&format!("{sheet:?}"), "a sheet that was registered"),
                    }
                }
            }
            "INCOMING" => {
                let vw = values.text("handle")?.into();
                let best = Rung(values.number("best-rung")?);
                let bits = values.optional::<u64>("bits")?;
                let lasts = hint(bits, values.optional::<i64>("expected-ns")?);
                let owner = values.text("owner")?;
                let base = values.number("base")?;
                let title = values.text("item")?.into();
                let due = values.clock("due-ns")?;
                let priority = values.text("priority")?;
                let copies = values.number("cells-in-row")?;
                values.text("key")?;
                values.end()?;
                let Some(package) = placement.package_named(priority) else {
                    return wanted(priority, "a class of the settings");
                };
                let tenant = tenant(placement, owner);
                placement.request_viewing(
                    now,
                    ViewingRequest {
                        viewing: vw,
                        package,
                        tenant,
                        title,
                        first_cell: base,
                        cell_count: copies,
                        max_rung: best,
                        deadline: due,
                        expected_duration: lasts,
                    },
                    out,
                );
            }
            "PREEXISTING" => {
                let vw = values.text("handle")?.into();
                let priority = values.text("priority")?;
                let owner = values.text("owner")?;
                values.text("item")?;
                let title = values.text("title")?.into();
                let due = values.optional::<i64>("due-ns")?.map_or(Ms::DISTANT_PAST, ms);
                let expected = values.optional::<i64>("expected-ns")?;
                let base = values.number("base")?;
                let copies = values.number("cells-in-row")?;
                let best = Rung(values.number("best-rung")?);
                let lasts = hint(values.optional::<u64>("bits")?, expected);
                let server = values.text("server")?.into();
                values.end()?;
                let Some(package) = placement.package_named(priority) else {
                    return wanted(priority, "a class of the settings");
                };
                let tenant = tenant(placement, owner);
                let wish = ViewingRequest {
                    viewing: vw,
                    package,
                    tenant,
                    title,
                    first_cell: base,
                    cell_count: copies,
                    max_rung: best,
                    deadline: due,
                    expected_duration: lasts,
                };
                placement.adopt_viewing(now, wish, server, out);
            }
            "CHANGE" => {
                let vw = values.text("handle")?.into();
                values.optional::<u64>("leg")?;
                let value = values.number("value")?;
                let topic = match values.number::<u64>("topic")? {
                    1 => Some(Topic::ShareDelivered),
                    2 => Some(Topic::RungInForce),
                    3 => Some(Topic::LinkAsked),
                    4 => Some(Topic::UplinkAsked),
                    _ => None,
                };
                let server = values.text("server")?.into();
                values.end()?;
                if let Some(topic) = topic {
                    placement.note_received(now, &vw, topic, value, &server, out);
                }
            }
            "BELL" => {
                let tag = TimerTag(values.number("tag")?);
                values.end()?;
                placement.timer_fired(now, tag, out);
            }
            "FIRST" => {
                let vw = values.text("handle")?.into();
                values.optional::<i64>("elapsed-ns")?;
                values.optional::<u64>("leg")?;
                let server = values.text("server")?.into();
                values.end()?;
                placement.viewing_started(now, &vw, &server, out);
            }
            "ANSWER" => {
                let vw = values.text("handle")?.into();
                let no = TuneInIndex(values.number("leg")?);
                let server = values.text("server")?.into();
                let ending = outcome(values.text("ending")?)?;
                values.optional::<i64>("elapsed-ns")?;
                let last = values.optional::<u8>("last")? == Some(1);
                let load = parse_load_report(values.text("load")?)?;
                values.end()?;
                placement.tune_in_ended(now, &vw, no, &server, ending, last, load, out);
            }
            "DROPPED" => {
                let vw = values.text("handle")?.into();
                values.end()?;
                placement.viewer_left(now, &vw, out);
            }
            "ECHO" => {
                let server = values.text("server")?.into();
                let ending = outcome(values.text("ending")?)?;
                values.optional::<i64>("elapsed-ns")?;
                let load = parse_load_report(values.text("load")?)?;
                values.end()?;
                placement.probe_ended(now, &server, ending, load, out);
            }
            "DATAGRAM" => {
                // The managers of this module tell each other nothing; a message is only checked.
                values.number::<u64>("author")?;
                bytes(values.text("payload")?)?;
                values.end()?;
            }
            _ => {}
        }
        Ok(())
    }
}

fn tenant(placement: &Placement, owner: &str) -> Option<TenantIndex> {
    placement.tenant_named(owner)
}
