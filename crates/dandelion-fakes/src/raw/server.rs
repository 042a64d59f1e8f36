//! The scripted server: request n gets script n, and later requests get the last script.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_std::net::TcpListener;
use async_std::net::TcpStream;
use async_std::task;
use async_std::task::JoinHandle;
use futures::AsyncReadExt;
use futures::AsyncWriteExt;

use crate::raw::script::Step;

#[derive(Debug, Default)]
struct State {
    scripts: Vec<Vec<Step>>,
    requests: AtomicUsize,
    connections: AtomicUsize,
    blackhole_before: AtomicUsize,
}

/// A running scripted server.
#[derive(Debug)]
pub struct RawServer {
    address: SocketAddr,
    state: Arc<State>,
    accepting: Option<JoinHandle<()>>,
}

impl RawServer {
    /// Starts the server on a free loopback port. `scripts` must not be empty.
    pub async fn bind(scripts: Vec<Vec<Step>>) -> io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let address = listener.local_addr()?;
        let state = Arc::new(State {
            scripts,
            ..State::default()
        });
        let accepting = Some(task::spawn(accept(listener, Arc::clone(&state))));
        Ok(Self {
            address,
            state,
            accepting,
        })
    }

    /// Returns the address that the server listens on.
    pub fn local_addr(&self) -> SocketAddr {
        self.address
    }

    /// Returns the number of requests received, not counting discarded ones.
    pub fn requests(&self) -> usize {
        self.state.requests.load(Ordering::SeqCst)
    }

    /// Returns the number of connections accepted.
    pub fn connections(&self) -> usize {
        self.state.connections.load(Ordering::SeqCst)
    }

    /// Discards all further requests on the connections accepted so far, without closing them.
    /// Connections accepted later work.
    pub fn blackhole_open(&self) {
        let opened = self.connections();
        self.state.blackhole_before.store(opened, Ordering::SeqCst);
    }
}

impl Drop for RawServer {
    fn drop(&mut self) {
        if let Some(accepting) = self.accepting.take() {
            task::spawn(accepting.cancel());
        }
    }
}

async fn accept(listener: TcpListener, state: Arc<State>) {
    while let Ok((stream, _peer)) = listener.accept().await {
        let number = state.connections.fetch_add(1, Ordering::SeqCst);
        let state = Arc::clone(&state);
        task::spawn(async move {
            // Scripts break connections on purpose.
            let _broken = serve(stream, &state, number).await;
        });
    }
}

async fn serve(mut stream: TcpStream, state: &State, number: usize) -> io::Result<()> {
    loop {
        if !read_request(&mut stream).await? {
            return Ok(());
        }
        if number < state.blackhole_before.load(Ordering::SeqCst) {
            return discard_input(&mut stream).await;
        }
        let index = state.requests.fetch_add(1, Ordering::SeqCst);
        let script = &state.scripts[index.min(state.scripts.len() - 1)];
        for step in script {
            if !run_step(step, &mut stream).await? {
                return Ok(());
            }
        }
    }
}

async fn run_step(step: &Step, stream: &mut TcpStream) -> io::Result<bool> {
    match step {
        Step::Write(bytes) => stream.write_all(bytes).await?,
        Step::Repeat(bytes) => loop {
            stream.write_all(bytes).await?;
        },
        Step::Trickle(bytes, pause) => trickle(stream, bytes, *pause).await?,
        Step::Pause(duration) => task::sleep(*duration).await,
        Step::Hang => discard_input(stream).await?,
        Step::Close => return Ok(false),
        Step::Reset => {
            dandelion_net::reset_on_close(stream);
            return Ok(false);
        }
    }
    Ok(true)
}

async fn trickle(stream: &mut TcpStream, bytes: &[u8], pause: Duration) -> io::Result<()> {
    for byte in bytes {
        stream.write_all(&[*byte]).await?;
        task::sleep(pause).await;
    }
    Ok(())
}

async fn discard_input(stream: &mut TcpStream) -> io::Result<()> {
    let mut bytes = [0; 4096];
    while stream.read(&mut bytes).await? > 0 {}
    Ok(())
}

/// Reads one request with a `Content-Length` body or none; returns `false` at the end of the
/// connection.
async fn read_request(stream: &mut TcpStream) -> io::Result<bool> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        if stream.read(&mut byte).await? == 0 {
            return Ok(false);
        }
        head.push(byte[0]);
    }
    let text = String::from_utf8_lossy(&head).to_lowercase();
    let length = text
        .lines()
        .find_map(|line| line.strip_prefix("content-length:"));
    let length = length.and_then(|value| value.trim().parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    stream.read_exact(&mut body).await?;
    Ok(true)
}
