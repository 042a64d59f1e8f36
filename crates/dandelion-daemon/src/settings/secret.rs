//! Secret text that does not show up in logs.

use std::fmt;
use std::fs;
use std::path::Path;

use crate::settings::error::SettingsError;

/// Shortest accepted secret, in bytes.
pub const MIN_SECRET_BYTES: usize = 32;

/// A secret; its debug form shows nothing of it.
#[derive(Clone, PartialEq, Eq)]
pub struct Secret(String);

impl Secret {
    /// Borrows the text.
    pub fn reveal(&self) -> &str {
        &self.0
    }

    fn check(setting: &'static str, text: &str) -> Result<Self, SettingsError> {
        if text.len() < MIN_SECRET_BYTES {
            return Err(SettingsError::invalid(
                setting,
                &format!("{} bytes", text.len()),
                "it is too short for a secret",
                "use 32 bytes or more from a random source",
            ));
        }
        Ok(Self(text.to_owned()))
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}

/// Where the secrets of one purpose come from.
#[derive(Debug, Clone, Copy)]
pub struct SecretSource<'a> {
    /// Flag of the values.
    pub setting: &'static str,
    /// Values given directly.
    pub values: &'a [String],
    /// Flag of the file.
    pub file_setting: &'static str,
    /// File with one secret a line.
    pub file: Option<&'a Path>,
}

impl SecretSource<'_> {
    /// Reads all secrets, those of the file first.
    pub fn read(&self) -> Result<Vec<Secret>, SettingsError> {
        let mut secrets = Vec::new();
        if let Some(path) = self.file {
            for line in self.read_file(path)?.lines().map(str::trim) {
                if !line.is_empty() {
                    secrets.push(Secret::check(self.file_setting, line)?);
                }
            }
        }
        for value in self.values {
            secrets.push(Secret::check(self.setting, value)?);
        }
        Ok(secrets)
    }

    /// Reads at most one secret.
    pub fn read_one(&self) -> Result<Option<Secret>, SettingsError> {
        let mut secrets = self.read()?;
        if secrets.len() > 1 {
            return Err(SettingsError::invalid(
                self.setting,
                &format!("{} secrets", secrets.len()),
                "only one is used",
                "give one secret, by file or by value",
            ));
        }
        Ok(secrets.pop())
    }

    fn read_file(&self, path: &Path) -> Result<String, SettingsError> {
        fs::read_to_string(path).map_err(|error| {
            SettingsError::invalid(
                self.file_setting,
                &path.display().to_string(),
                &error.to_string(),
                "name a text file that the daemon's user can read",
            )
        })
    }
}
