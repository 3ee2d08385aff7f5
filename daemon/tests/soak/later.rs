//! What is done in a trial, now or later.

use crate::trial::{ms, Trial, GRACE};
use ottersail_fake_servers::callers::CallerOrder;
use ottersail_fake_servers::commands::ChannelCondition;
use ottersail_fake_servers::media::MediaOrder;
use ottersail_invariants::platform::ManagerEvent;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// After trouble of the command channel a change counts as told so much later.
const TOLD_LATE: Duration = Duration::from_secs(6);

/// Something that is done later.
#[derive(Clone, Debug)]
pub enum Later {
    Order(MediaOrder),
    List(Vec<usize>, &'static str, bool),
    Channel(ChannelCondition),
    OpenOnly(usize),
    Kill(usize),
    StartAgain(usize),
}

impl Trial {
    pub fn carry_out(&mut self, what: Later) {
        self.say(format!("{what:?}"));
        match what {
            Later::Order(order) => {
                self.note_reach(&order);
                if let MediaOrder::Reappear(which)
                | MediaOrder::ReturnRestarted(which)
                | MediaOrder::Restart(which) = &order
                {
                    which.iter().for_each(|server| self.hit[*server] = false);
                }
                self.fleets.iter().for_each(|fleet| fleet.tell(order.clone()));
            }
            Later::List(which, health, anew) => self.list(&which, health, anew),
            Later::Channel(condition) => {
                self.channels.iter().for_each(|channel| channel.set_condition(condition));
                self.troubled_until = Instant::now() + ms(1_400);
            }
            Later::OpenOnly(manager) => self.callers.tell(CallerOrder::OpenConnectionsOnly { manager }),
            Later::Kill(manager) => {
                self.managers[manager].kill();
                self.callers.tell(CallerOrder::Stop { manager });
                self.events.push(ManagerEvent::Killed { at: Instant::now(), manager });
            }
            Later::StartAgain(manager) => self.start_again(manager),
        }
    }

    fn note_reach(&mut self, order: &MediaOrder) {
        let now = Instant::now();
        match order {
            MediaOrder::Vanish(which) => {
                which.iter().for_each(|server| self.cut_off.push((*server, now, None)))
            }
            MediaOrder::Reappear(which) => {
                let ended = self.cut_off.iter_mut().filter(|cut| which.contains(&cut.0) && cut.2.is_none());
                ended.for_each(|cut| cut.2 = Some(now));
            }
            _ => {}
        }
    }

    fn list(&mut self, which: &[usize], health: &str, anew: bool) {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64;
        let born = if anew { now.saturating_sub(1_500) } else { 0 };
        for (fleet, channel) in self.fleets.iter().zip(&self.channels) {
            let hosts: Vec<_> = which.iter().map(|server| fleet.listed(*server, health, born)).collect();
            channel.tell(&hosts);
        }
        let late = if Instant::now() < self.troubled_until { TOLD_LATE } else { Duration::ZERO };
        for server in which {
            if health == "ready" {
                self.closed_from.retain(|closed| closed.0 != *server);
            } else {
                self.closed_from.push((*server, Instant::now() + GRACE + late));
            }
        }
    }

    fn start_again(&mut self, manager: usize) {
        let address = self.managers[manager].address;
        let channel = &self.channels[manager];
        let config = self.settings.file(manager, address, channel.address, &channel.known());
        self.managers[manager].write_config(&config).unwrap();
        self.managers[manager].restart().unwrap();
        self.busy[manager] = false;
        if self.managers[manager].wait_ready(Duration::from_secs(5)) {
            let per_second = self.rates[manager];
            self.callers.tell(CallerOrder::Load { manager, address, per_second });
        } else {
            self.say(format!("manager {manager} is not ready"));
        }
    }
}
