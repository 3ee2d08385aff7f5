mod history;
mod lists;
mod requests;
mod stage;
mod tune_ins;
mod viewings;
