//! Usage accounting: each daemon's counters and their copies, the replicated windows, and the
//! reports to the platform.

pub mod copies;
pub mod counters;
pub mod figures;
pub mod reporter;
pub mod table;

pub use copies::CopyStore;
pub use counters::UsageCounters;
pub use figures::WindowFigures;
pub use reporter::ReportOutcome;
pub use reporter::ReporterAction;
pub use reporter::ReporterEvent;
pub use reporter::ReporterSettings;
pub use reporter::UsageReporter;
pub use table::UsageCommand;
pub use table::UsageReply;
pub use table::UsageTable;
