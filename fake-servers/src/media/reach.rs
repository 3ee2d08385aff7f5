//! What happens to a server: it is cut off, dies, comes back, crashes, is started again.

use super::connection::{set_condition, Condition, SharedOutput};
use super::listening::Unreachable;
use super::server::{Reach, Server};
use ottersail_invariants::platform::End;
use std::cell::RefCell;
use std::rc::Rc;

impl Server {
    fn set_conditions(&self, from: Condition, to: Condition) {
        let of_it = |output: &&SharedOutput| output.borrow().condition == from;
        self.connections.values().filter(of_it).for_each(|output| set_condition(output, to));
    }

    pub fn vanish(server: &Rc<RefCell<Server>>) {
        let mut server = server.borrow_mut();
        server.set_conditions(Condition::Works, Condition::Quiet);
        server.stop_listening();
        let unreachable = Unreachable::at(server.address);
        let unreachable = unreachable.expect("the address was this server's a moment ago");
        server.reach = Reach::CutOff { _unreachable: unreachable };
    }

    /// Its machine dies without a word.
    pub fn die(server: &Rc<RefCell<Server>>) {
        Server::vanish(server);
        server.borrow_mut().cut_sessions();
    }

    pub fn reappear(server: &Rc<RefCell<Server>>) {
        server.borrow().set_conditions(Condition::Quiet, Condition::Works);
        Server::begin_listening(server).expect("the address was this server's a moment ago");
    }

    pub fn return_restarted(server: &Rc<RefCell<Server>>) {
        server.borrow_mut().forget_connections(Condition::Forgotten);
        Server::begin_listening(server).expect("the address was this server's a moment ago");
    }

    pub fn crash(server: &Rc<RefCell<Server>>) {
        let mut server = server.borrow_mut();
        server.cut_sessions();
        server.forget_connections(Condition::Reset);
        server.stop_listening();
    }

    pub fn restart(server: &Rc<RefCell<Server>>) {
        Server::begin_listening(server).expect("the address was this server's a moment ago");
    }

    /// The process is no more: what played with it is over, and nothing is owed.
    fn cut_sessions(&mut self) {
        let sessions: Vec<String> = self.sessions.keys().cloned().collect();
        sessions.iter().for_each(|session| self.over(session, End::Cut));
        self.said_again.clear();
    }

    fn forget_connections(&mut self, condition: Condition) {
        let connections = std::mem::take(&mut self.connections);
        connections.values().for_each(|output| set_condition(output, condition));
    }
}
