//! Cuts daemon processes off from all upstreams: the load tool writes the state of the links to the
//! standard input of a daemon, which it runs itself.

use std::io::BufRead;
use std::io::Write;
use std::io::stdin;
use std::process::Child;
use std::thread;

use anyhow::Context;
use dandelion_net::http::client::Links;

const STATES: [(&str, Links); 3] = [
    ("whole", Links::Whole),
    ("silent", Links::Silent),
    ("refusing", Links::Refusing),
];

/// Sets the links of this process to each state that a line of its standard input names.
pub fn obey_input() {
    thread::spawn(|| {
        for line in stdin().lock().lines().map_while(Result::ok) {
            if let Some((_, links)) = STATES.iter().find(|(name, _)| *name == line) {
                links.set();
            }
        }
    });
}

/// Sets the links of a daemon process.
pub fn set(child: &mut Child, links: Links) -> anyhow::Result<()> {
    let state = STATES.iter().find(|(_, state)| *state == links);
    let (name, _) = state.context("every state has a name")?;
    let input = child.stdin.as_mut().context("the daemon takes no input")?;
    writeln!(input, "{name}").context("the daemon does not read its input")
}
