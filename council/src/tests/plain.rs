//! Single machines: what they answer.
