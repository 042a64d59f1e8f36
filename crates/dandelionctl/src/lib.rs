//! The operators' command line. Each command has its own file and is registered in
//! `commands::registry`.

pub mod apply;
pub mod cli;
pub mod commands;
pub mod error;
pub mod output;
pub mod session;
pub mod transport;

pub use cli::Cli;
pub use error::CtlError;
pub use session::Session;
