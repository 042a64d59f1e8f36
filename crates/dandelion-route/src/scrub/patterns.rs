//! Search for a key in bytes, in the encodings in which it can occur.

use std::fmt;

use base64::Engine;
use base64::engine::general_purpose::STANDARD_NO_PAD;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use zeroize::Zeroize;

/// Levels of percent encoding that the search decodes.
const MAX_PERCENT_LEVELS: usize = 3;

/// A key in plain, hexadecimal and Base64 form, the latter at each of its three alignments.
pub struct KeyPatterns {
    forms: Vec<Vec<u8>>,
}

impl fmt::Debug for KeyPatterns {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("KeyPatterns").finish_non_exhaustive()
    }
}

impl Drop for KeyPatterns {
    fn drop(&mut self) {
        self.forms.iter_mut().for_each(Zeroize::zeroize);
    }
}

impl KeyPatterns {
    /// Prepares the search for `key`; an empty key is never found.
    pub fn of(key: &str) -> Self {
        let mut forms = Vec::new();
        if !key.is_empty() {
            forms.push(key.as_bytes().to_vec());
            forms.push(hex(key.as_bytes()));
            for skip in 0..3 {
                forms.push(base64_core(key.as_bytes(), skip, &STANDARD_NO_PAD));
                forms.push(base64_core(key.as_bytes(), skip, &URL_SAFE_NO_PAD));
            }
        }
        forms.retain(|form| !form.is_empty());
        Self { forms }
    }

    /// Returns whether `bytes` contain the key in any form, in any letter case, percent-encoded or
    /// not.
    pub fn found_in(&self, bytes: &[u8]) -> bool {
        if self.occurs_in(bytes) {
            return true;
        }
        let mut current = bytes.to_vec();
        for _ in 0..MAX_PERCENT_LEVELS {
            let decoded = percent_decode(&current);
            if decoded == current {
                return false;
            }
            if self.occurs_in(&decoded) {
                return true;
            }
            current = decoded;
        }
        false
    }

    fn occurs_in(&self, bytes: &[u8]) -> bool {
        self.forms.iter().any(|form| contains(bytes, form))
    }
}

/// Returns the Base64 characters that depend on `key` alone when `skip` bytes precede it in its
/// group of three.
fn base64_core<E>(key: &[u8], skip: usize, engine: &E) -> Vec<u8>
where
    E: Engine,
{
    let mut padded = vec![0; skip];
    padded.extend_from_slice(key);
    let text = engine.encode(&padded).into_bytes();
    let first = (skip * 8).div_ceil(6);
    let last = padded.len() * 8 / 6;
    padded.zeroize();
    text[first.min(last)..last].to_vec()
}

fn hex(key: &[u8]) -> Vec<u8> {
    let digits = b"0123456789abcdef";
    key.iter()
        .flat_map(|b| [digits[usize::from(b >> 4)], digits[usize::from(b & 15)]])
        .collect()
}

/// Searches without regard to letter case; the rest is compared only where the first byte matches.
fn contains(bytes: &[u8], form: &[u8]) -> bool {
    if bytes.len() < form.len() {
        return false;
    }
    let lower = form[0].to_ascii_lowercase();
    let upper = form[0].to_ascii_uppercase();
    let last = bytes.len() - form.len();
    bytes[..=last]
        .iter()
        .enumerate()
        .filter(|(_, b)| **b == lower || **b == upper)
        .any(|(at, _)| bytes[at..at + form.len()].eq_ignore_ascii_case(form))
}

/// Decodes one level of percent encoding; bytes that are no escape stay as they are.
pub fn percent_decode(bytes: &[u8]) -> Vec<u8> {
    let mut decoded = Vec::with_capacity(bytes.len());
    let mut rest = bytes;
    while let Some((first, tail)) = rest.split_first() {
        let escape = (*first == b'%').then(|| decode_escape(tail)).flatten();
        decoded.push(escape.unwrap_or(*first));
        rest = if escape.is_some() { &tail[2..] } else { tail };
    }
    decoded
}

fn decode_escape(tail: &[u8]) -> Option<u8> {
    let [high, low] = tail.get(..2)?.try_into().ok()?;
    let digit = |b: u8| char::from(b).to_digit(16);
    Some((digit(high)? * 16 + digit(low)?) as u8)
}
