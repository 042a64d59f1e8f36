//! The forms in which a key can stand in bytes.

use std::fmt;

use base64::Engine;
use base64::engine::general_purpose::STANDARD_NO_PAD;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use zeroize::Zeroize;

/// Levels of percent encoding that are undone in the search.
const MAX_PERCENT_LEVELS: usize = 3;

/// A key in plain, hexadecimal and Base64 form, at every alignment of the latter.
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
    /// Prepares the search for `key`; an empty key is found nowhere.
    pub fn of(key: &str) -> Self {
        let mut forms = Vec::new();
        if !key.is_empty() {
            forms.push(key.as_bytes().to_vec());
            forms.push(hex(key.as_bytes()));
            for skip in 0..3 {
                forms.push(aligned(key.as_bytes(), skip, &STANDARD_NO_PAD));
                forms.push(aligned(key.as_bytes(), skip, &URL_SAFE_NO_PAD));
            }
        }
        forms.retain(|form| !form.is_empty());
        Self { forms }
    }

    /// Returns whether the key stands in `bytes` in any form, in any letter case, percent-encoded
    /// or not.
    pub fn found_in(&self, bytes: &[u8]) -> bool {
        if self.stands_in(bytes) {
            return true;
        }
        let mut current = bytes.to_vec();
        for _ in 0..MAX_PERCENT_LEVELS {
            let decoded = percent_decode(&current);
            if decoded == current {
                return false;
            }
            if self.stands_in(&decoded) {
                return true;
            }
            current = decoded;
        }
        false
    }

    fn stands_in(&self, bytes: &[u8]) -> bool {
        self.forms.iter().any(|form| contains(bytes, form))
    }
}

/// Returns the characters of a Base64 text that depend only on `key`, if `skip` bytes precede it
/// in its group of three.
fn aligned<E>(key: &[u8], skip: usize, engine: &E) -> Vec<u8>
where
    E: Engine,
{
    let mut plain = vec![0; skip];
    plain.extend_from_slice(key);
    let text = engine.encode(&plain).into_bytes();
    let first = (skip * 8).div_ceil(6);
    let last = plain.len() * 8 / 6;
    plain.zeroize();
    text[first.min(last)..last].to_vec()
}

fn hex(key: &[u8]) -> Vec<u8> {
    let digits = b"0123456789abcdef";
    key.iter()
        .flat_map(|b| [digits[usize::from(b >> 4)], digits[usize::from(b & 15)]])
        .collect()
}

/// Searches without regard to letter case; the first byte is looked for before the rest.
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

/// Undoes one level of percent encoding; what is not an escape is kept.
pub fn percent_decode(bytes: &[u8]) -> Vec<u8> {
    let mut decoded = Vec::with_capacity(bytes.len());
    let mut rest = bytes;
    while let Some((first, tail)) = rest.split_first() {
        let escape = (*first == b'%').then(|| escaped(tail)).flatten();
        decoded.push(escape.unwrap_or(*first));
        rest = if escape.is_some() { &tail[2..] } else { tail };
    }
    decoded
}

fn escaped(tail: &[u8]) -> Option<u8> {
    let [high, low] = tail.get(..2)?.try_into().ok()?;
    let digit = |b: u8| char::from(b).to_digit(16);
    Some((digit(high)? * 16 + digit(low)?) as u8)
}
