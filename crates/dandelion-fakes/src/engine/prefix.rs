//! The engine's cache of prompt prefixes.

use std::collections::VecDeque;

/// Leading characters of a prompt that form its prefix.
const PREFIX_CHARS: usize = 64;

/// LRU cache of prompt prefixes, most recently used first.
#[derive(Debug, Default)]
pub struct PrefixCache {
    prefixes: VecDeque<String>,
}

impl PrefixCache {
    /// Moves a prompt's prefix to the front, evicts prefixes beyond `limit`, and returns whether it
    /// was cached.
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

    /// Removes all prefixes.
    pub fn clear(&mut self) {
        self.prefixes.clear();
    }

    /// Returns the number of cached prefixes.
    pub fn len(&self) -> usize {
        self.prefixes.len()
    }
}
