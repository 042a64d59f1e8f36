//! Declarative configuration: a TOML file, the difference from the cell, and the changes.

mod carry;
mod cell;
mod file;
mod plan;

pub use carry::confirm;
pub use carry::execute;
pub use cell::CellConfig;
pub use cell::read_cell;
pub use file::FileConfig;
pub use file::parse;
pub use file::read_file;
pub use plan::Plan;
pub use plan::Step;
pub use plan::plan;
