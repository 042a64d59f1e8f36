//! The fake platform's records, the plain service's execution counts, the weight store's and
//! scorer's answers, and announcements.

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use async_channel::Sender;
use async_std::task::block_on;
use common::post_json;
use dandelion_fakes::announce::Identity;
use dandelion_fakes::engine::Engine;
use dandelion_fakes::engine::EngineConfig;
use dandelion_fakes::plain::Plain;
use dandelion_fakes::plain::PlainConfig;
use dandelion_fakes::platform::Platform;
use dandelion_fakes::platform::PlatformConfig;
use dandelion_fakes::scorer::Scorer;
use dandelion_fakes::scorer::score;
use dandelion_fakes::weights::WeightConfig;
use dandelion_fakes::weights::WeightStore;
use dandelion_net::http::server::Handler;
use dandelion_net::http::server::Limits;
use dandelion_net::http::server::Server;
use dandelion_protocol::fleet::Order;
use dandelion_protocol::fleet::OrderBody;
use dandelion_protocol::ids::RequestId;
use dandelion_protocol::ids::Term;
use dandelion_protocol::upstream::Announcement;
use http_types::Request;
use http_types::Response;
use serde_json::json;

fn stop_order(id: u128, term: u64, upstream: &str) -> String {
    let order = Order {
        id: RequestId(id),
        term: Term(term),
        body: OrderBody::Stop {
            upstream: upstream.parse().expect("valid name"),
        },
    };
    serde_json::to_string(&order).expect("JSON")
}

#[test]
fn orders_once() {
    block_on(async {
        let config = PlatformConfig {
            checks_fencing: true,
        };
        let platform = Platform::bind(config).await.expect("loopback port");
        let address = platform.local_addr();
        let order = async |body: String| {
            let headers = [("x-issuer", "d1")];
            post_json(address, "/orders", &headers, &body)
                .await
                .map(|answer| answer.0)
        };
        assert_eq!(order(stop_order(u128::MAX, 3, "u1")).await, Ok(200));
        assert_eq!(order(stop_order(u128::MAX, 3, "u1")).await, Ok(200));
        assert_eq!(order(stop_order(u128::MAX, 3, "u2")).await, Ok(409));
        assert_eq!(order(stop_order(2, 2, "u2")).await, Ok(409));
        platform.lose_answers(1);
        order(stop_order(3, 4, "u3"))
            .await
            .expect_err("the answer is aborted");
        assert_eq!(order(stop_order(3, 4, "u3")).await, Ok(200));
        let counts = platform.counts();
        assert_eq!(
            (counts.orders, counts.stale_orders, counts.changed_orders),
            (2, 1, 1)
        );
        assert_eq!(
            (platform.orders().len(), platform.accepted_orders().len()),
            (6, 2)
        );
        assert_eq!(platform.issuers().into_iter().collect::<Vec<_>>(), ["d1"]);
    });
}

#[test]
fn usage_conflicts() {
    block_on(async {
        let platform = Platform::bind(PlatformConfig::default()).await;
        let platform = platform.expect("loopback port");
        for (body, status) in [("{\"n\":1}", 200), ("{\"n\":1}", 200), ("{\"n\":2}", 409)] {
            let answer = post_json(platform.local_addr(), "/usage/7", &[], body).await;
            assert_eq!(answer.expect("whole").0, status);
        }
        let counts = platform.counts();
        assert_eq!(
            (counts.windows, counts.repeats, counts.conflicts),
            (1, 1, 1)
        );
    });
}

#[test]
fn plain_runs() {
    block_on(async {
        let config = PlainConfig {
            identity: Identity::new("p1", "a", "lookup", &[]),
            capacity: 4,
            delay: Duration::ZERO,
        };
        let plain = Plain::bind(config).await.expect("loopback port");
        for key in ["k1", "k2", "k2"] {
            let headers = [("idempotency-key", key), ("x-request-id", "r")];
            let mut answer = common::post(plain.local_addr(), "/do", &headers, "echo").await;
            let answer = answer.as_mut().expect("a response head");
            assert_eq!(answer.read_all(100).await.expect("whole"), b"echo");
            assert_eq!(answer.header("x-request-id"), Some("r"));
        }
        assert_eq!(
            (plain.runs("k1"), plain.runs("k2"), plain.repeated_keys()),
            (1, 2, 1)
        );
        assert_eq!(
            (plain.requests().containing("k1"), plain.requests().count()),
            (1, 3)
        );
    });
}

#[test]
fn stores_limited() {
    block_on(async {
        let config = WeightConfig {
            permits: 1,
            size: 10,
            fetch_time: Duration::from_secs(1),
        };
        let store = WeightStore::bind(config).await.expect("loopback port");
        let fetch = || post_json(store.local_addr(), "/weights/m/1", &[], "");
        let (one, two) = futures::join!(fetch(), fetch());
        let mut statuses = [one.expect("whole").0, two.expect("whole").0];
        statuses.sort_unstable();
        assert_eq!(
            (statuses, store.served(), store.refused()),
            ([200, 429], 1, 1)
        );
        let scorer = Scorer::bind().await.expect("loopback port");
        let answer = post_json(scorer.local_addr(), "/score", &[], "text")
            .await
            .expect("whole");
        assert_eq!(answer.1, json!({"score": score(b"text")}));
    });
}

/// A daemon that forwards the announcements it receives, with their secret, to a channel.
#[derive(Clone)]
struct Daemon(Sender<(String, Announcement)>);

impl Handler for Daemon {
    async fn handle(&self, mut request: Request, _peer: SocketAddr) -> Response {
        let secret = request.header("x-announce-secret");
        let secret = secret.map(|v| v.as_str().to_owned()).unwrap_or_default();
        assert_eq!(request.url().path(), "/v1/announce");
        let body = request.body_bytes().await.expect("a buffered body");
        let announcement = serde_json::from_slice(&body).expect("an announcement");
        let _gone = self.0.try_send((secret, announcement));
        Response::new(204)
    }
}

#[test]
fn leaving_announced() {
    block_on(async {
        let (sender, received) = async_channel::unbounded();
        let listen = SocketAddr::from(([127, 0, 0, 1], 0));
        let daemon = Server::bind(listen, Limits::default(), Daemon(sender)).await;
        let daemon = daemon.expect("loopback port");
        let mut identity = Identity::new("e1", "a", "model", &[daemon.local_addr()]);
        identity.period = Duration::from_millis(5);
        identity.secret = Some("s".to_owned());
        let engine = Engine::bind(EngineConfig::new(identity))
            .await
            .expect("loopback port");
        let (secret, first) = received.recv().await.expect("announced");
        assert_eq!(
            (secret.as_str(), first.sequence, first.leaving),
            ("s", 1, false)
        );
        assert_eq!(first.address, engine.local_addr().to_string());
        engine.announce_leaving();
        let mut last = first.sequence;
        loop {
            let (_, next) = received.recv().await.expect("announced");
            assert_eq!(next.sequence, last + 1);
            last = next.sequence;
            if next.leaving {
                return;
            }
        }
    });
}
