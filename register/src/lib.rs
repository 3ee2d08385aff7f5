//! What a councillor has promised and accepted, kept on disk.
