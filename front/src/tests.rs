mod harness;
mod history;
mod lists;
mod requests;
mod slot_shares;
mod tune_ins;
mod viewings;
