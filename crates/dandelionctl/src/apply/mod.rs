//! Declarative configuration: a TOML file, the difference from the cell, and the changes.

mod cell;
mod execute;
mod file;
mod plan;

pub use cell::CellConfig;
pub use cell::read_cell;
pub use execute::confirm;
pub use execute::execute;
pub use file::FileConfig;
pub use file::parse;
pub use file::read_file;
pub use plan::Plan;
pub use plan::Step;
pub use plan::plan;
