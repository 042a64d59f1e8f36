//! Comparison of shown secrets in constant time.

use subtle::ConstantTimeEq;

use crate::settings::Secret;

/// Returns whether `shown` is the secret.
pub fn matches(secret: &Secret, shown: &str) -> bool {
    bool::from(secret.reveal().as_bytes().ct_eq(shown.as_bytes()))
}
