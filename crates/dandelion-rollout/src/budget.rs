//! A job's tokens at the daemon in charge: reserved at dispatch, settled after.

/// Tokens of one epoch against the limit that the ledger granted.
#[derive(Debug, Clone, Default)]
pub struct Budget {
    limit: u64,
    spent: u64,
    reserved: u64,
}

impl Budget {
    /// Sets the limit that the ledger granted.
    pub fn grant(&mut self, limit: u64) {
        self.limit = limit;
    }

    /// Reserves `tokens` if the limit allows it.
    pub fn reserve(&mut self, tokens: u64) -> bool {
        let fits = self.spent + self.reserved + tokens <= self.limit;
        if fits {
            self.reserved += tokens;
        }
        fits
    }

    /// Ends a reservation of `reserved` tokens of which `used` were generated.
    pub fn settle(&mut self, reserved: u64, used: u64) {
        self.reserved = self.reserved.saturating_sub(reserved);
        self.spent += used;
    }

    /// Returns the tokens spent.
    pub fn spent(&self) -> u64 {
        self.spent
    }

    /// Returns the tokens spent or reserved.
    pub fn committed(&self) -> u64 {
        self.spent + self.reserved
    }

    /// Returns the limit.
    pub fn limit(&self) -> u64 {
        self.limit
    }
}
