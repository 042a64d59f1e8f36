//! Errors of the settings.

use thiserror::Error;

/// Exit status of a process whose settings cannot be used.
pub const EXIT_USAGE: i32 = 2;

/// A setting cannot be used. The message names the setting, its value and the remedy.
#[derive(Debug, Clone, Error, PartialEq, Eq)]
pub enum SettingsError {
    /// A required setting is absent.
    #[error("setting {setting} is missing; {remedy}")]
    Missing {
        /// Flag of the setting.
        setting: &'static str,
        /// What to do.
        remedy: &'static str,
    },
    /// A value is not valid.
    #[error("setting {setting} has the value `{value}`: {reason}; {remedy}")]
    Invalid {
        /// Flag of the setting.
        setting: &'static str,
        /// The value; for a secret, its length or number only.
        value: String,
        /// What is wrong.
        reason: String,
        /// What to do.
        remedy: String,
    },
    /// Two settings contradict each other.
    #[error("setting {setting} with the value `{value}` clashes with {other}; {remedy}")]
    Clash {
        /// Flag of the setting.
        setting: &'static str,
        /// Value as given.
        value: String,
        /// Flag of the other setting.
        other: &'static str,
        /// What to do.
        remedy: &'static str,
    },
}

impl SettingsError {
    /// Returns an [`Self::Invalid`] error with the value escaped.
    pub fn invalid(setting: &'static str, value: &str, reason: &str, remedy: &str) -> Self {
        Self::Invalid {
            setting,
            value: value.escape_default().to_string(),
            reason: reason.to_owned(),
            remedy: remedy.to_owned(),
        }
    }
}
