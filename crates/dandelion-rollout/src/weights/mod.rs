//! Planning of weight fetches and swaps on engines.

pub mod engine;
pub mod event;
pub mod failure;
pub mod plan;
pub mod planner;
pub mod settings;
pub mod sources;
pub mod zone;

pub use event::Artifact;
pub use event::SwapAction;
pub use event::SwapEvent;
pub use event::WeightSource;
pub use planner::SwapPlanner;
pub use settings::SwapSettings;
