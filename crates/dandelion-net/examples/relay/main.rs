//! Measures the cost of a hop over the mesh, compared with direct requests to the same engine.
//!
//! Three processes, started by hand: `relay engine`, `relay daemon ENGINE`, and
//! `relay load ENGINE DAEMON [STREAMS] [TOKENS]`, which prints one JSON line. The daemon process
//! holds an entry and an owner, so its CPU time is that of both ends of the hop.

mod daemon;
mod load;

use std::net::SocketAddr;
use std::time::Duration;

use dandelion_fakes::announce::Identity;
use dandelion_fakes::engine::Engine;
use dandelion_fakes::engine::EngineConfig;

/// Time between two tokens of one stream.
const TOKEN_TIME: Duration = Duration::from_millis(10);

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let words: Vec<&str> = args.iter().map(String::as_str).collect();
    let number = |at: usize, default: usize| {
        let word = words.get(at).and_then(|w| w.parse().ok());
        word.unwrap_or(default)
    };
    async_std::task::block_on(async {
        match words.as_slice() {
            ["engine"] => engine().await,
            ["daemon", engine] => daemon::run(address(engine)).await,
            ["load", engine, daemon, ..] => {
                let plan = load::Plan {
                    engine: address(engine),
                    daemon: address(daemon),
                    streams: number(3, 240),
                    tokens: number(4, 500),
                };
                load::run(&plan).await;
            }
            _ => eprintln!("usage: relay engine | daemon ENGINE | load ENGINE DAEMON [N] [TOKENS]"),
        }
    });
}

fn address(text: &str) -> SocketAddr {
    text.parse().expect("an address as ip:port")
}

async fn engine() {
    let config = EngineConfig {
        capacity: 10_000,
        token_time: TOKEN_TIME,
        slowdown: 0.0,
        ..EngineConfig::new(Identity::new("e", "a", "m", &[]))
    };
    let engine = Engine::bind(config).await.expect("loopback port");
    println!("{}", engine.local_addr());
    std::future::pending::<()>().await;
}
