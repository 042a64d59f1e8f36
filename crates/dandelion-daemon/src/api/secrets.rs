//! Comparison of presented secrets in constant time.

use dandelion_rpc::secret::digest_secret;
use subtle::ConstantTimeEq;

use crate::settings::Secret;

/// Returns whether `presented` is the secret. The time taken reveals neither its content nor its
/// length.
pub fn matches(secret: &Secret, presented: &str) -> bool {
    let known = digest_secret(secret.reveal());
    bool::from(known.ct_eq(&digest_secret(presented)))
}
