//! The feed: distributes committed changes and leases from the control daemons to every daemon.

pub mod client;
pub mod message;

pub use client::FeedAction;
pub use client::FeedClient;
pub use client::FeedEvent;
pub use client::FeedSettings;
pub use client::Feeder;
pub use message::FeedMessage;
pub use message::SpreadChange;
pub use message::Update;
