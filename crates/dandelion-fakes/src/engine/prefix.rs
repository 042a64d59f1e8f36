//! The engine's cache of prompt prefixes.

use std::collections::VecDeque;

/// Characters of a prompt that count as its prefix.
const PREFIX_CHARS: usize = 64;

/// Prefixes in the order of their last use, the latest first.
#[derive(Debug, Default)]
pub struct PrefixCache {
    prefixes: VecDeque<String>,
}

impl PrefixCache {
    /// Looks a prompt's prefix up and keeps it; true if it was there.
    pub fn touch(&mut self, prompt: &str, limit: usize) -> bool {
        let prefix: String = prompt.chars().take(PREFIX_CHARS).collect();
        let found = self.prefixes.iter().position(|p| *p == prefix);
        if let Some(at) = found {
            self.prefixes.remove(at);
        }
        self.prefixes.push_front(prefix);
        self.prefixes.truncate(limit);
        found.is_some()
    }

    /// Forgets everything, as after a swap of the weights.
    pub fn clear(&mut self) {
        self.prefixes.clear();
    }

    /// Counts the prefixes held.
    pub fn len(&self) -> usize {
        self.prefixes.len()
    }
}
