//! The daemon: settings, roles and the wiring of every part.

pub mod settings;
