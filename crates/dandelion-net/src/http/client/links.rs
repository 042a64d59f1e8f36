//! Simulated loss of this process's links to all upstreams, for tests of partitions.

use std::future::pending;
use std::io;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::Ordering;

use async_std::net::TcpStream;

const WHOLE: u8 = 0;
const SILENT: u8 = 1;
const REFUSING: u8 = 2;

static STATE: AtomicU8 = AtomicU8::new(WHOLE);

/// State of the links of all clients of this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Links {
    /// Everything passes.
    Whole,
    /// Nothing passes, on open connections either, and nothing says so.
    Silent,
    /// New connections are refused; open ones live on.
    Refusing,
}

impl Links {
    /// Puts the links in this state.
    pub fn set(self) {
        let state = match self {
            Self::Whole => WHOLE,
            Self::Silent => SILENT,
            Self::Refusing => REFUSING,
        };
        STATE.store(state, Ordering::Relaxed);
    }

    fn current() -> Self {
        match STATE.load(Ordering::Relaxed) {
            SILENT => Self::Silent,
            REFUSING => Self::Refusing,
            _ => Self::Whole,
        }
    }
}

/// Opens a connection, if the links let it.
pub(super) async fn connect(address: std::net::SocketAddr) -> io::Result<TcpStream> {
    match Links::current() {
        Links::Whole => TcpStream::connect(address).await,
        Links::Silent => pending().await,
        Links::Refusing => Err(io::ErrorKind::ConnectionRefused.into()),
    }
}

/// Returns once a request that is written to an open connection passes.
pub(super) async fn pass() {
    if Links::current() == Links::Silent {
        pending::<()>().await;
    }
}
