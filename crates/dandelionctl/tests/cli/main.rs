//! The command line against a stand-in daemon.

mod apply;
mod commands;
mod daemon;
mod parse;
mod transport;
