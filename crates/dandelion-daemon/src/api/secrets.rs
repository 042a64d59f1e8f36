//! Comparison of shown secrets in constant time.

use dandelion_rpc::secret::digest_secret;
use subtle::ConstantTimeEq;

use crate::settings::Secret;

/// Returns whether `shown` is the secret; neither content nor length shows in the time taken.
pub fn matches(secret: &Secret, shown: &str) -> bool {
    let known = digest_secret(secret.reveal());
    bool::from(known.ct_eq(&digest_secret(shown)))
}
