//! Each guard taken out: something breaks.
