//! Tests of the command line against a fake daemon.

mod apply;
mod commands;
mod daemon;
mod parse;
mod transport;
