//! Settings of the daemon: flags and environment variables, checked before anything starts.

pub mod args;
pub mod check;
pub mod checked;
pub mod error;
pub mod page;
pub mod peer;
pub mod read;
pub mod secret;

pub use dandelion_rpc::secret::Secret;

pub use args::Settings;
pub use checked::CheckedSettings;
pub use checked::ControlSettings;
pub use checked::GatewaySettings;
pub use checked::LimitSettings;
pub use checked::ListenSettings;
pub use checked::LogSettings;
pub use checked::PlatformSettings;
pub use checked::SecretSettings;
pub use error::EXIT_USAGE;
pub use error::SettingsError;
pub use peer::Peer;
