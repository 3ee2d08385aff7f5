mod history;
mod lists;
mod parts;
mod requests;
mod stage;
mod tune_ins;
mod viewings;
