//! A network that loses, delays, doubles, reorders and cuts one way.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use dandelion_protocol::mesh::MeshMessage;
use rand::Rng;
use rand::rngs::SmallRng;

/// A message that arrives.
#[derive(Debug, Clone)]
pub struct Delivery {
    pub from: usize,
    pub to: usize,
    pub message: MeshMessage,
}

/// Faults of the network.
#[derive(Debug, Clone, Copy, Default)]
pub struct Weather {
    pub loss: f64,
    pub double: f64,
    pub slow: f64,
}

#[derive(Debug, Default)]
pub struct Network {
    pub weather: Weather,
    /// Directions that are cut.
    pub cuts: BTreeSet<(usize, usize)>,
    /// Sender whose messages are held back.
    pub holding: Option<usize>,
    held: Vec<Delivery>,
    flying: BTreeMap<(u64, u64), Delivery>,
    sent: u64,
}

impl Network {
    pub fn send(&mut self, now: u64, rng: &mut SmallRng, delivery: &Delivery) {
        if self.holding == Some(delivery.from) {
            self.held.push(delivery.clone());
            return;
        }
        let route = (delivery.from, delivery.to);
        if self.cuts.contains(&route) || rng.random_bool(self.weather.loss) {
            return;
        }
        let copies = 1 + u64::from(rng.random_bool(self.weather.double));
        for _ in 0..copies {
            let late = rng.random_bool(self.weather.slow);
            let delay = rng.random_range(1..if late { 400 } else { 8 });
            self.sent += 1;
            let arrival = (now + delay, self.sent);
            self.flying.insert(arrival, delivery.clone());
        }
    }

    pub fn arrivals(&mut self, now: u64) -> Vec<Delivery> {
        let later = self.flying.split_off(&(now + 1, 0));
        let due = std::mem::replace(&mut self.flying, later);
        due.into_values().collect()
    }

    /// Lets the messages arrive that were held back.
    pub fn release(&mut self, now: u64) {
        self.holding = None;
        for delivery in std::mem::take(&mut self.held) {
            self.sent += 1;
            self.flying.insert((now + 1, self.sent), delivery);
        }
    }

    pub fn heal(&mut self) {
        self.cuts.clear();
        self.weather = Weather::default();
    }
}
