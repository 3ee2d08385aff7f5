//! A scripted command channel.

mod state;

use super::socket::{listen, look_after, stop_listening, Connection, Turn};
use super::{own_address, wait_until};
use serde_json::{json, Value};
use state::State;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Instant;

/// How a request is answered.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// As soon as there are later events, or after the time asked for, and whole.
    Whole,
    /// As `Whole`, and the second half only when the case says so.
    Half,
    /// As `Whole`, but the connection is closed after the first half.
    Cut,
    /// Never; the connection stays open.
    Silence,
    /// At once with a status that is no success.
    Unavailable,
    /// The connection is reset at once.
    Reset,
    /// This, at once, whatever was asked for.
    Body(Value),
}

/// A request that came, on which connection, and the number of the last event that it names.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    pub at: Instant,
    pub connection: usize,
    pub resume: u64,
}

pub struct ScriptedChannel {
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl ScriptedChannel {
    /// Its first event carries the whole list.
    pub fn start(hosts: &[Value]) -> ScriptedChannel {
        let first = json!({ "cursor": 1, "nodes": { "seq": 1, "whole": true, "hosts": hosts } });
        ScriptedChannel::start_with(vec![first])
    }

    /// Another channel that goes on from the events of this one.
    pub fn successor(&self) -> ScriptedChannel {
        ScriptedChannel::start_with(self.state().events.clone())
    }

    fn start_with(events: Vec<Value>) -> ScriptedChannel {
        let address = own_address();
        let listener = listen(address, 128);
        let state = Arc::new(Mutex::new(State::new(listener, events)));
        look_after(&state);
        ScriptedChannel { address, state }
    }

    /// What has reached this machine's sockets by now counts, also where its turn would come only later.
    fn state(&self) -> MutexGuard<'_, State> {
        let mut state = self.state.lock().unwrap();
        state.turn();
        state
    }

    /// The events so far, as the configuration of a start holds them.
    pub fn known(&self) -> Value {
        self.state().body(0)
    }

    /// Adds an event with changes to the list.
    pub fn tell(&self, number: u64, hosts: &[Value]) {
        self.tell_all([(number, false, hosts)]);
    }

    /// Adds an event that carries the whole list anew.
    pub fn tell_whole(&self, number: u64, hosts: &[Value]) {
        self.tell_all([(number, true, hosts)]);
    }

    /// Adds several events at the same moment, so that they come in one answer.
    pub fn tell_all<'a>(&self, events: impl IntoIterator<Item = (u64, bool, &'a [Value])>) {
        let events = events.into_iter().map(|(number, whole, hosts)| event(number, whole, hosts));
        self.state().events.extend(events);
    }

    /// How all requests from now on are answered, the one that waits included.
    pub fn always(&self, answer: &Answer) {
        self.plan(std::iter::repeat_n(answer.clone(), 10_000));
    }

    /// How the next requests are answered, in order; those after them are answered whole.
    pub fn plan(&self, answers: impl IntoIterator<Item = Answer>) {
        let mut state = self.state();
        state.plan.extend(answers);
        // A request that waits is the next one to be answered.
        let State { plan, pending, .. } = &mut *state;
        for waiting in pending {
            waiting.answer = plan.pop_front().unwrap_or_else(|| waiting.answer.clone());
        }
    }

    /// Sends the second halves that were held.
    pub fn send_second_halves(&self) {
        let mut state = self.state();
        for (connection, bytes) in std::mem::take(&mut state.halves) {
            state.send(connection, &bytes);
        }
    }

    /// Sends the second half that was held for longest.
    pub fn send_oldest_second_half(&self) {
        let mut state = self.state();
        if !state.halves.is_empty() {
            let (connection, bytes) = state.halves.remove(0);
            state.send(connection, &bytes);
        }
    }

    /// First halves that went out, and whose second halves are held.
    pub fn halves_held(&self) -> usize {
        self.state().halves.len()
    }

    pub fn requests(&self) -> Vec<Request> {
        self.state().requests.clone()
    }

    /// Requests that wait for an answer.
    pub fn waiting(&self) -> usize {
        self.state().pending.len()
    }

    /// Waits until a new request has come: it waits for most of a second if there is nothing to tell.
    #[track_caller]
    pub fn wait_asked_anew(&self) {
        let before = self.requests().len();
        wait_until("asked anew", || self.requests().len() > before && self.waiting() == 1);
    }

    /// Waits until the program asks for what comes after that event: it has taken it in.
    #[track_caller]
    pub fn wait_taken(&self, number: u64) {
        wait_until(&format!("event {number} taken"), || {
            self.requests().last().is_some_and(|request| request.resume == number)
        });
    }

    /// Refuses new connections, and closes the open ones.
    pub fn go(&self) {
        let mut state = self.state();
        stop_listening(state.listener.take());
        std::mem::take(&mut state.connections).into_values().for_each(Connection::close);
        state.pending.clear();
    }

    pub fn come_back(&self) {
        self.state().listener = Some(listen(self.address, 128));
    }
}

/// An event about servers; cases that send a body of their own build it from these.
pub fn event(number: u64, whole: bool, hosts: &[Value]) -> Value {
    json!({ "cursor": number, "nodes": { "seq": number, "whole": whole, "hosts": hosts } })
}
