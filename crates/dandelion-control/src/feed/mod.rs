//! The feed: delivers leases and the changes of distributed tables from the control daemons to
//! every daemon. A distributed table is one that every daemon holds a copy of.

pub mod client;
pub mod message;

pub use client::FeedAction;
pub use client::FeedClient;
pub use client::FeedEvent;
pub use client::FeedSettings;
pub use client::Feeder;
pub use message::FeedMessage;
pub use message::TableChange;
pub use message::Update;
