//! The stand-ins of the review's cases and the cases' drivers: `ottersail-review NAME FOLDER`, started from the
//! repository's root. Ends with 1 if the rule was broken, 0 if it held, 2 if the case could not run.

mod channel;
mod client;
mod door;
mod few_connections;
mod json;
mod manager;
mod record;
mod seats;
mod server;
mod silent;
mod slow_channel;
mod stalls;
mod stops_short;
mod taken_back;

use record::Record;
use std::path::PathBuf;

/// How a case ended.
pub enum Verdict {
    Held,
    Broken,
}

/// Ends the case: it could not run.
pub fn cannot_run(why: &str) -> ! {
    eprintln!("the case could not run: {why}");
    std::process::exit(2);
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = &arguments[..] else { cannot_run("usage: ottersail-review CASE FOLDER") };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::create(&PathBuf::from(folder).join("record.txt"));
    record.tell(if trouble { "with the disruption" } else { "without the disruption (TROUBLE=0)" });
    let verdict = match case.as_str() {
        "few-connections" => few_connections::run(trouble, &record),
        "stalls" => stalls::run(trouble, &record),
        "silent" => silent::run(trouble, &record),
        "slow-channel" => slow_channel::run(trouble, &record),
        "taken-back" => taken_back::run(trouble, &record),
        "stops-short" => stops_short::run(trouble, &record),
        "seats" => seats::run(trouble, &record),
        _ => cannot_run("no such case"),
    };
    std::process::exit(match verdict {
        Ok(Verdict::Held) => 0,
        Ok(Verdict::Broken) => 1,
        Err(why) => cannot_run(&why),
    });
}
