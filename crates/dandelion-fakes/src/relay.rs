//! A TCP relay that can lose track of its connections, as a middlebox does.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;

use async_std::net::TcpListener;
use async_std::net::TcpStream;
use async_std::task;
use dandelion_net::Signal;
use dandelion_net::Trigger;
use futures::AsyncReadExt;
use futures::AsyncWriteExt;
use futures::FutureExt;
use futures::select_biased;

use crate::intake::lock;

/// A running relay.
#[derive(Debug)]
pub struct Relay {
    address: SocketAddr,
    mute: Arc<Mutex<Mute>>,
    _stop: Trigger,
}

/// Silences the connections made since the last silencing.
#[derive(Debug)]
struct Mute {
    trigger: Trigger,
    muted: Signal,
}

impl Mute {
    fn new() -> Self {
        let (trigger, muted) = Signal::new();
        Self { trigger, muted }
    }
}

impl Relay {
    /// Relays from a free loopback port to `target`.
    pub async fn bind(target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let address = listener.local_addr()?;
        let mute = Arc::new(Mutex::new(Mute::new()));
        let (stop, stopped) = Signal::new();
        task::spawn(accept(listener, target, Arc::clone(&mute), stopped));
        Ok(Self {
            address,
            mute,
            _stop: stop,
        })
    }

    /// Returns the address that the relay listens on.
    pub fn local_addr(&self) -> SocketAddr {
        self.address
    }

    /// From now on swallows every byte on the connections that are open; new ones work.
    pub fn mute_old(&self) {
        let former = std::mem::replace(&mut *lock(&self.mute), Mute::new());
        former.trigger.raise();
    }
}

async fn accept(
    listener: TcpListener,
    target: SocketAddr,
    mute: Arc<Mutex<Mute>>,
    stopped: Signal,
) {
    loop {
        let accepted = select_biased! {
            () = stopped.raised().fuse() => return,
            accepted = listener.accept().fuse() => accepted,
        };
        let Ok((near, _peer)) = accepted else {
            return;
        };
        let muted = lock(&mute).muted.clone();
        task::spawn(relay(near, target, muted));
    }
}

async fn relay(near: TcpStream, target: SocketAddr, muted: Signal) {
    let Ok(far) = TcpStream::connect(target).await else {
        return;
    };
    let out = pump(near.clone(), far.clone(), &muted);
    let back = pump(far, near, &muted);
    futures::join!(out, back);
}

/// Passes bytes and the close on, unless muted.
async fn pump(mut from: TcpStream, mut to: TcpStream, muted: &Signal) {
    let mut bytes = vec![0; 16 * 1024];
    while let Ok(count @ 1..) = from.read(&mut bytes).await {
        if !muted.is_raised() && to.write_all(&bytes[..count]).await.is_err() {
            break;
        }
    }
    if !muted.is_raised() {
        let _gone = to.shutdown(std::net::Shutdown::Both);
    }
}
