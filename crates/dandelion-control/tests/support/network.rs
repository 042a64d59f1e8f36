//! A network that loses, delays, duplicates and reorders messages and can block single directions.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use dandelion_protocol::codec;
use dandelion_protocol::mesh::MeshMessage;
use rand::Rng;
use rand::rngs::SmallRng;

/// A message in transit between two VMs.
#[derive(Debug, Clone)]
pub struct Delivery {
    pub from: usize,
    pub to: usize,
    pub message: MeshMessage,
}

/// Probabilities of the network's faults, for each message.
#[derive(Debug, Clone, Copy, Default)]
pub struct NetworkFaults {
    pub loss: f64,
    /// Delivered twice.
    pub double: f64,
    /// Delayed by up to 400 ms instead of 8 ms.
    pub slow: f64,
}

#[derive(Debug, Default)]
pub struct Network {
    pub faults: NetworkFaults,
    /// Directions, as sender and receiver, in which all messages are lost.
    pub blocked: BTreeSet<(usize, usize)>,
    /// Sender whose messages are held back until `release`.
    pub held_sender: Option<usize>,
    /// Longest encoded message that arrives, in bytes; longer ones are dropped, as links do. None for no
    /// limit.
    pub longest: Option<usize>,
    held_back: Vec<Delivery>,
    in_flight: BTreeMap<(u64, u64), Delivery>,
    sent: u64,
}

impl Network {
    pub fn send(&mut self, now: u64, rng: &mut SmallRng, delivery: &Delivery) {
        if self.held_sender == Some(delivery.from) {
            self.held_back.push(delivery.clone());
            return;
        }
        let is_dropped = |longest| codec::encode(&delivery.message).unwrap().len() > longest;
        if self.longest.is_some_and(is_dropped) {
            return;
        }
        let route = (delivery.from, delivery.to);
        if self.blocked.contains(&route) || rng.random_bool(self.faults.loss) {
            return;
        }
        let copies = 1 + u64::from(rng.random_bool(self.faults.double));
        for _ in 0..copies {
            let late = rng.random_bool(self.faults.slow);
            let delay = rng.random_range(1..if late { 400 } else { 8 });
            self.sent += 1;
            let arrival = (now + delay, self.sent);
            self.in_flight.insert(arrival, delivery.clone());
        }
    }

    pub fn take_due(&mut self, now: u64) -> Vec<Delivery> {
        let later = self.in_flight.split_off(&(now + 1, 0));
        let due = std::mem::replace(&mut self.in_flight, later);
        due.into_values().collect()
    }

    /// Delivers the messages that were held back.
    pub fn release(&mut self, now: u64) {
        self.held_sender = None;
        for delivery in std::mem::take(&mut self.held_back) {
            self.sent += 1;
            self.in_flight.insert((now + 1, self.sent), delivery);
        }
    }

    pub fn heal(&mut self) {
        self.blocked.clear();
        self.faults = NetworkFaults::default();
    }
}
