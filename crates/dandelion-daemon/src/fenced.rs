//! Calls that only the holder of a duty may make.
//!
//! Not every receiver checks the fencing token, so the sender makes sure that no call of it arrives once
//! another daemon may hold the duty: lease and turn are checked immediately before the write, the lease
//! covers the whole call, and the connection of a call without an answer is reset, which drops
//! what has not arrived.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use dandelion_fleet::turns::Turns;
use dandelion_net::clock;
use dandelion_net::http::client::Client;
use dandelion_net::http::client::Exchange;
use dandelion_net::http::client::SendError;
use dandelion_net::http::client::SendOptions;
use dandelion_protocol::ids::Term;
use dandelion_protocol::time::Millis;
use http_types::Request;

/// Longest time from the choice to send a call to its complete answer.
pub const SEND_TIMEOUT: Duration = Duration::from_millis(400);

/// Remaining lease that a call requires; longer than [`SEND_TIMEOUT`], so that the call ends before
/// another daemon can hold the duty.
pub const LEASE_MARGIN: Millis = Millis(500);

/// The turns of this daemon as the holder of one duty.
#[derive(Debug)]
pub struct Duty(Mutex<Turns>);

impl Duty {
    /// Opens the record at the start of the process. `gap` is the shortest time between acts of this
    /// daemon if another one may have acted in between.
    pub fn open(gap: Millis) -> Self {
        let delivery = Millis(SEND_TIMEOUT.as_millis() as u64);
        Self(Mutex::new(Turns::open(clock::boot_now(), gap + delivery)))
    }

    /// Returns whether a call of `term` may be written now, and records it if so. `held` is the term
    /// that this daemon holds for [`LEASE_MARGIN`] or longer.
    pub fn begin_act(&self, held: Option<Term>, term: Term) -> bool {
        let now = clock::boot_now();
        let mut turns = self.0.lock().expect("no holder of this lock panics");
        let may_act = held == Some(term) && turns.may_act(now, term);
        if may_act {
            turns.act(now, term);
        }
        may_act
    }
}

/// Sends a call and waits for the head of its answer. `may_act` is asked immediately before each write.
pub async fn send<F>(
    client: &Client,
    address: SocketAddr,
    request: Request,
    idempotent: bool,
    may_act: F,
) -> Result<Exchange, SendError>
where
    F: Fn() -> bool + Sync,
{
    let options = SendOptions {
        deadline: Instant::now() + SEND_TIMEOUT,
        progress: SEND_TIMEOUT,
        idempotent,
        probe: true,
    };
    client.send_if(address, request, &options, may_act).await
}
