//! A TCP relay that can silently drop the traffic of established connections, as a middlebox does
//! after it has lost its connection table.

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

use crate::support::lock;

/// A running relay; it stops accepting connections when dropped.
#[derive(Debug)]
pub struct Relay {
    address: SocketAddr,
    blackhole: Arc<Mutex<Blackhole>>,
    _stop: Trigger,
}

/// Blackholes the connections accepted since the previous call of [`Relay::blackhole_open`].
#[derive(Debug)]
struct Blackhole {
    trigger: Trigger,
    blackholed: Signal,
}

impl Blackhole {
    fn new() -> Self {
        let (trigger, blackholed) = Signal::new();
        Self {
            trigger,
            blackholed,
        }
    }
}

impl Relay {
    /// Starts relaying from a free loopback port to `target`.
    pub async fn bind(target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let address = listener.local_addr()?;
        let blackhole = Arc::new(Mutex::new(Blackhole::new()));
        let (stop, stopped) = Signal::new();
        task::spawn(accept(listener, target, Arc::clone(&blackhole), stopped));
        Ok(Self {
            address,
            blackhole,
            _stop: stop,
        })
    }

    /// Returns the address that the relay listens on.
    pub fn local_addr(&self) -> SocketAddr {
        self.address
    }

    /// Discards all further bytes on the connections that are open now, without closing them.
    /// Connections accepted later work.
    pub fn blackhole_open(&self) {
        let previous = std::mem::replace(&mut *lock(&self.blackhole), Blackhole::new());
        previous.trigger.raise();
    }
}

async fn accept(
    listener: TcpListener,
    target: SocketAddr,
    blackhole: Arc<Mutex<Blackhole>>,
    stopped: Signal,
) {
    loop {
        let accepted = select_biased! {
            () = stopped.raised().fuse() => return,
            accepted = listener.accept().fuse() => accepted,
        };
        let Ok((client, _peer)) = accepted else {
            return;
        };
        let blackholed = lock(&blackhole).blackholed.clone();
        task::spawn(relay(client, target, blackholed));
    }
}

async fn relay(client: TcpStream, target: SocketAddr, blackholed: Signal) {
    let Ok(server) = TcpStream::connect(target).await else {
        return;
    };
    let requests = copy(client.clone(), server.clone(), &blackholed);
    let responses = copy(server, client, &blackholed);
    futures::join!(requests, responses);
}

/// Copies bytes from `from` to `to` and shuts `to` down at the end, unless blackholed.
async fn copy(mut from: TcpStream, mut to: TcpStream, blackholed: &Signal) {
    let mut bytes = vec![0; 16 * 1024];
    while let Ok(count @ 1..) = from.read(&mut bytes).await {
        if !blackholed.is_raised() && to.write_all(&bytes[..count]).await.is_err() {
            break;
        }
    }
    if !blackholed.is_raised() {
        let _gone = to.shutdown(std::net::Shutdown::Both);
    }
}
