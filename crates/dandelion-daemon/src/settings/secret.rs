//! Secrets given by value or by file.

use std::fs;
use std::path::Path;

use dandelion_rpc::secret::Secret;

use crate::settings::error::SettingsError;

/// Shortest accepted secret, in bytes.
pub const MIN_SECRET_BYTES: usize = 32;

/// Where the secrets of one purpose come from.
#[derive(Debug, Clone, Copy)]
pub struct SecretSource<'a> {
    /// Flag by which values are given.
    pub setting: &'static str,
    /// Secrets given by value.
    pub values: &'a [Secret],
    /// Flag by which the file is given.
    pub file_setting: &'static str,
    /// File with one secret per line; empty lines are skipped.
    pub file: Option<&'a Path>,
}

impl SecretSource<'_> {
    /// Reads all secrets, those of the file first.
    pub fn read(&self) -> Result<Vec<Secret>, SettingsError> {
        let mut secrets = Vec::new();
        if let Some(path) = self.file {
            for line in self.read_file(path)?.lines().map(str::trim) {
                if !line.is_empty() {
                    let secret = Secret::from(line.to_owned());
                    secrets.push(check_length(self.file_setting, secret)?);
                }
            }
        }
        for value in self.values {
            secrets.push(check_length(self.setting, value.clone())?);
        }
        Ok(secrets)
    }

    /// Reads at most one secret; more than one is an error.
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

fn check_length(setting: &'static str, secret: Secret) -> Result<Secret, SettingsError> {
    let length = secret.reveal().len();
    if length >= MIN_SECRET_BYTES {
        return Ok(secret);
    }
    Err(SettingsError::invalid(
        setting,
        &format!("{length} bytes"),
        "it is too short for a secret",
        "use 32 bytes or more from a random source",
    ))
}
