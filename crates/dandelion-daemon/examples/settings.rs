//! Prints the settings page: `cargo run -p dandelion-daemon --example settings`.

fn main() {
    print!("{}", dandelion_daemon::settings::page::settings_page());
}
