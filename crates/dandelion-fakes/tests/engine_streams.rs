//! The fake engine: complete, resumed and cancelled streams, version swaps, crashes, the prefix
//! cache and a full batch.

mod common;

use std::time::Duration;

use async_std::task::block_on;
use async_std::task::sleep;
use common::post;
use common::post_json;
use dandelion_fakes::announce::Identity;
use dandelion_fakes::engine::Engine;
use dandelion_fakes::engine::EngineConfig;
use dandelion_fakes::engine::token;
use dandelion_net::http::client::SendError;
use dandelion_protocol::ids::WeightVersion;
use serde_json::Value;
use serde_json::json;

fn config() -> EngineConfig {
    let identity = Identity::new("e1", "a", "model", &[]);
    EngineConfig {
        token_time: Duration::from_millis(1),
        poison: Some("POISON".to_owned()),
        ..EngineConfig::new(identity)
    }
}

async fn engine() -> Engine {
    Engine::bind(config()).await.expect("loopback port")
}

/// Posts a generate request and returns the events of the complete stream.
async fn generate(engine: &Engine, body: &Value) -> Result<Vec<Value>, SendError> {
    let mut answer = post(engine.local_addr(), "/generate", &[], &body.to_string()).await?;
    let bytes = answer.read_all(1 << 20).await?;
    let text = String::from_utf8(bytes).expect("text");
    let events = text.split_terminator("\n\n");
    let parse = |event: &str| {
        let data = event.strip_prefix("data: ").expect("an event");
        serde_json::from_str(data).expect("JSON")
    };
    Ok(events.map(parse).collect())
}

#[test]
fn tokens_resume() {
    block_on(async {
        let (one, two) = (engine().await, engine().await);
        let complete = generate(&one, &json!({"prompt": "p", "max_tokens": 6})).await;
        let complete = complete.expect("whole");
        let expected = json!({"token": token("p", 0), "index": 0, "version": 1, "software": "1"});
        let end = json!({"done": true, "tokens": 6, "version_start": 1, "version_end": 1});
        assert_eq!(
            (complete.len(), &complete[0], &complete[6]),
            (7, &expected, &end)
        );
        let body = json!({"prompt": "p", "max_tokens": 6, "resume_from": 4});
        let rest = generate(&two, &body).await.expect("whole");
        assert_eq!(rest, complete[4..]);
        assert_eq!((one.counts().finished, one.counts().tokens), (1, 6));
    });
}

#[test]
fn swap_midway() {
    block_on(async {
        let engine = engine().await;
        let body = json!({"prompt": "p", "max_tokens": 40}).to_string();
        let mut answer = post(engine.local_addr(), "/generate", &[], &body)
            .await
            .expect("a response head");
        answer.chunk().await.expect("a body chunk");
        engine.set_version(WeightVersion(2));
        let rest = String::from_utf8(answer.read_all(1 << 20).await.expect("whole"));
        let rest = rest.expect("text");
        assert!(rest.contains("\"version\":2"), "{rest}");
        assert!(rest.contains("\"version_start\":1") && rest.contains("\"version_end\":2"));
    });
}

#[test]
fn orders_load() {
    block_on(async {
        let mut failing = config();
        failing.failing_loads = 1;
        failing.load_time = Duration::from_millis(1);
        let engine = Engine::bind(failing).await.expect("loopback port");
        let order = |version: u64, term: u64| {
            json!({"kind": "load_version", "version": version, "term": term}).to_string()
        };
        let address = engine.local_addr();
        // The first order is acknowledged but its load fails, the second loads, the third has a
        // stale term.
        let (status, _) = post_json(address, "/orders", &[], &order(2, 5))
            .await
            .expect("whole");
        assert_eq!(status, 202);
        sleep(Duration::from_millis(50)).await;
        assert_eq!(engine.version(), WeightVersion(1));
        post_json(address, "/orders", &[], &order(3, 5))
            .await
            .expect("whole");
        while engine.version() != WeightVersion(3) {
            sleep(Duration::from_millis(1)).await;
        }
        let (status, _) = post_json(address, "/orders", &[], &order(4, 4))
            .await
            .expect("whole");
        assert_eq!(status, 409);
        let accepted: Vec<bool> = engine.orders().iter().map(|o| o.accepted).collect();
        assert_eq!(accepted, [true, true, false]);
    });
}

#[test]
fn close_cancels() {
    block_on(async {
        let engine = engine().await;
        let body = json!({"prompt": "p", "max_tokens": 1_000_000}).to_string();
        let mut answer = post(engine.local_addr(), "/generate", &[], &body)
            .await
            .expect("a response head");
        answer.chunk().await.expect("a body chunk");
        assert_eq!(engine.running(), 1);
        drop(answer);
        while engine.running() > 0 {
            sleep(Duration::from_millis(1)).await;
        }
        assert_eq!(engine.counts().cancelled, 1);
    });
}

#[test]
fn post_cancels() {
    block_on(async {
        let engine = engine().await;
        let body = json!({"prompt": "p", "max_tokens": 1_000_000, "request_id": "r"}).to_string();
        let mut answer = post(engine.local_addr(), "/generate", &[], &body)
            .await
            .expect("a response head");
        answer.chunk().await.expect("a body chunk");
        let cancel = post_json(
            engine.local_addr(),
            "/cancel",
            &[],
            "{\"request_id\":\"r\"}",
        )
        .await;
        assert_eq!(cancel.expect("whole").1, json!({"cancelled": true}));
        let rest = answer.read_all(1 << 24).await.expect("whole");
        let rest = String::from_utf8(rest).expect("text");
        assert!(
            rest.contains("\"cancelled\":true") && !rest.contains("\"done\""),
            "{rest}"
        );
        assert_eq!(engine.runs("r"), 1);
    });
}

#[test]
fn poison_crashes() {
    block_on(async {
        let engine = engine().await;
        let body = json!({"prompt": "p", "max_tokens": 1_000_000}).to_string();
        let mut victim = post(engine.local_addr(), "/generate", &[], &body)
            .await
            .expect("a response head");
        let poison = generate(&engine, &json!({"prompt": "a POISON b", "max_tokens": 1})).await;
        assert!(matches!(poison, Err(SendError::Unknown(_))), "{poison:?}");
        let rest = victim.read_all(1 << 24).await;
        assert!(matches!(rest, Err(SendError::Unknown(_))), "{rest:?}");
        assert!(engine.is_crashed());
        while post(engine.local_addr(), "/status", &[], "").await.is_ok() {}
    });
}

#[test]
fn prefixes_cached() {
    block_on(async {
        let mut small = config();
        small.max_prefixes = 2;
        let engine = Engine::bind(small).await.expect("loopback port");
        for (prompt, hits) in [("a", 0), ("a", 1), ("b", 1), ("a", 2), ("c", 2), ("b", 2)] {
            let body = json!({"prompt": prompt, "max_tokens": 1});
            generate(&engine, &body).await.expect("whole");
            assert_eq!(engine.counts().hits, hits, "{prompt}");
        }
        engine.set_version(WeightVersion(2));
        generate(&engine, &json!({"prompt": "b", "max_tokens": 1}))
            .await
            .expect("whole");
        assert_eq!((engine.counts().hits, engine.counts().misses), (2, 5));
    });
}

#[test]
fn batch_full() {
    block_on(async {
        let mut narrow = config();
        narrow.capacity = 1;
        let engine = Engine::bind(narrow).await.expect("loopback port");
        let body = json!({"prompt": "p", "max_tokens": 20});
        let pair = futures::join!(generate(&engine, &body), generate(&engine, &body));
        assert_eq!(pair.0.expect("whole"), pair.1.expect("whole"));
        assert_eq!((engine.counts().finished, engine.running()), (2, 0));
    });
}
