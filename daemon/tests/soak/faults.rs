//! The faults of a trial, drawn one after another.

use crate::later::Later;
use crate::trial::{ms, Trial, MANAGERS, SERVERS};
use ottersail_fake_servers::commands::ChannelCondition;
use ottersail_fake_servers::media::MediaOrder;
use ottersail_invariants::platform::ManagerEvent;
use rustix::process::Signal;
use std::time::{Duration, Instant};

/// SIGKILL comes so long after SIGTERM, past the longest deadline.
const KILLED_AFTER: Duration = Duration::from_millis(700);

impl Trial {
    fn free_servers(&mut self, most: usize) -> Vec<usize> {
        let count = self.random.usize(1..=most);
        let mut free: Vec<usize> = (0..SERVERS).filter(|server| !self.hit[*server]).collect();
        self.random.shuffle(&mut free);
        free.truncate(count.min(free.len().saturating_sub(8)));
        free.iter().for_each(|server| self.hit[*server] = true);
        free
    }

    pub fn fault(&mut self) {
        let kind = self.random.u32(0..8);
        match kind {
            0 => {
                let which = self.free_servers(8);
                let span = ms(self.random.u64(200..7_000));
                self.carry_out(Later::Order(MediaOrder::Vanish(which.clone())));
                self.after(span, Later::Order(MediaOrder::Reappear(which)));
            }
            1 => {
                let which = self.free_servers(8);
                let span = ms(self.random.u64(2_600..7_000));
                self.carry_out(Later::Order(MediaOrder::Die(which.clone())));
                self.after(span, Later::Order(MediaOrder::ReturnRestarted(which.clone())));
                self.after(span + ms(1_500), Later::List(which, "ready", true));
            }
            2 => {
                let which = self.free_servers(6);
                let span = ms(self.random.u64(300..4_000));
                self.carry_out(Later::Order(MediaOrder::Crash(which.clone())));
                self.after(span, Later::Order(MediaOrder::Restart(which.clone())));
                self.after(span + ms(1_500), Later::List(which, "ready", true));
            }
            3 => {
                let which = self.free_servers(4);
                self.carry_out(Later::List(which.clone(), "draining", false));
                self.after(ms(2_500), Later::List(which, "gone", false));
            }
            4 => self.trouble_channel(),
            _ => self.restart_manager(),
        }
    }

    fn trouble_channel(&mut self) {
        let conditions = [
            ChannelCondition::Silent,
            ChannelCondition::Closed,
            ChannelCondition::Unavailable,
            ChannelCondition::Slow(ms(400)),
        ];
        let condition = conditions[self.random.usize(..conditions.len())];
        let span = ms(self.random.u64(500..4_000));
        self.carry_out(Later::Channel(condition));
        self.troubled_until = Instant::now() + span + ms(1_400);
        self.after(span, Later::Channel(ChannelCondition::Works));
    }

    fn restart_manager(&mut self) {
        let manager = self.random.usize(..MANAGERS);
        if std::mem::replace(&mut self.busy[manager], true) {
            return;
        }
        self.say(format!("SIGTERM to {manager}"));
        self.managers[manager].signal(Signal::TERM);
        self.events.push(ManagerEvent::Terminated { at: Instant::now(), manager });
        let open_only = ms(self.random.u64(200..400));
        let killed = self.settings.longest_deadline().min(ms(3_000)) + KILLED_AFTER;
        self.after(open_only, Later::OpenOnly(manager));
        self.after(killed, Later::Kill(manager));
        self.after(killed + ms(100), Later::StartAgain(manager));
    }
}
