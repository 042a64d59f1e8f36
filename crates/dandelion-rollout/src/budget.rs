//! A job's tokens at its coordinator: reserved at dispatch, charged when the attempt ends.

/// Tokens of one epoch, within the limit that the ledger granted.
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

    /// Reserves `tokens` and returns true, if the limit allows it.
    pub fn reserve(&mut self, tokens: u64) -> bool {
        let fits = self.spent + self.reserved + tokens <= self.limit;
        if fits {
            self.reserved += tokens;
        }
        fits
    }

    /// Ends a reservation of `reserved` tokens and charges the `used` ones that were generated.
    pub fn end_reservation(&mut self, reserved: u64, used: u64) {
        self.reserved = self.reserved.saturating_sub(reserved);
        self.spent += used;
    }

    /// Returns the tokens charged in this epoch.
    pub fn spent(&self) -> u64 {
        self.spent
    }

    /// Returns the tokens charged or still reserved.
    pub fn committed(&self) -> u64 {
        self.spent + self.reserved
    }

    /// Returns the limit granted last; zero before the first grant.
    pub fn limit(&self) -> u64 {
        self.limit
    }
}
