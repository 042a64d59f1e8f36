//! The committed code matches the schema.

use std::path::Path;

#[path = "../examples/generate/generator.rs"]
mod generator;

#[test]
fn up_to_date() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let fresh = generator::generate(root).expect("schema compiles");
    let committed = std::fs::read_to_string(root.join(generator::OUTPUT)).expect("file exists");
    assert!(
        fresh == committed,
        "run `cargo run -p dandelion-rpc --example generate` and commit the result"
    );
}

#[test]
fn methods_in_schema() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let schema = std::fs::read_to_string(root.join(generator::SCHEMA)).expect("file exists");
    let declared: Vec<&str> = schema
        .lines()
        .filter_map(|line| line.trim().strip_prefix("rpc "))
        .filter_map(|line| line.split('(').next())
        .collect();
    assert_eq!(declared, dandelion_rpc::generated::METHODS);
}
