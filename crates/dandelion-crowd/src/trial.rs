//! One crowd against one listener of a daemon.

use std::path::Path;
use std::sync::Mutex;
use std::sync::PoisonError;

use crate::clients::Crowd;
use crate::clients::Size;
use crate::clients::ordinary_request;
use crate::daemon::Daemon;
use crate::daemon::Target;
use crate::limits::DESCRIPTOR_BOUND;
use crate::limits::MEMORY_BOUND;

/// Lets one test run at a time, so that crowds don't slow each other down.
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

/// Checks that a crowd neither ends a daemon nor takes it past its bounds, and that an ordinary
/// request is answered while the crowd keeps its connections.
pub fn assert_bounded(binary: &str, target: Target, crowd: Crowd) {
    let _alone = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
    let mut daemon = Daemon::spawn(Path::new(binary), target).expect("a daemon starts");
    let idle = daemon.peak_memory().expect("memory is readable");
    let held = crowd.gather(daemon.address(), target.long_path(), Size::default());
    let held = held.expect("the crowd connects");
    daemon.wait_steady().expect("the process is readable");
    assert!(daemon.is_alive().expect("known"), "the daemon has ended");
    let peak = daemon.peak_memory().expect("memory is readable");
    let descriptors = daemon.descriptors().expect("descriptors are readable");
    let status = ordinary_request(daemon.address(), "GET", "/healthz");
    println!(
        "{crowd:?} {target:?}: idle {idle}, peak {peak}, descriptors {descriptors}, answer {status:?}"
    );
    assert!(peak <= MEMORY_BOUND, "peak memory {peak} of {MEMORY_BOUND}");
    assert!(
        descriptors <= DESCRIPTOR_BOUND,
        "{descriptors} descriptors of {DESCRIPTOR_BOUND}"
    );
    status.expect("an ordinary request is answered");
    assert!(daemon.is_alive().expect("known"), "the daemon has ended");
    drop(held);
}
