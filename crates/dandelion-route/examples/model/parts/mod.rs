//! Scenarios of the queue model and the components that they share.

pub mod affinity;
pub mod classes;
pub mod engine;
pub mod fairness;
pub mod fifo;
pub mod overload;
pub mod owner;
pub mod poison;
pub mod report;
pub mod routing;
pub mod run;
pub mod spread;
pub mod workload;
