//! Prints the events page: `cargo run -p dandelion-telemetry --example events`.

fn main() {
    print!("{}", dandelion_telemetry::events::events_page());
}
