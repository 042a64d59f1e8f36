//! The feed: distributes leases and the changes of spread tables from the control daemons to every
//! daemon. A spread table is one that every daemon has a copy of.

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
