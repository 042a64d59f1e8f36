//! Socket options: no delay, keep-alive, user timeout and reset on close.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use async_std::net::TcpListener;
use async_std::net::TcpStream;
use async_std::task::spawn_blocking;
use socket2::Domain;
use socket2::SockRef;
use socket2::Socket;
use socket2::TcpKeepalive;
use socket2::Type;

/// Time without traffic before the first keep-alive probe.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(5);
/// Time between keep-alive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(2);
/// Longest time that sent bytes may stay unacknowledged before the connection fails.
const USER_TIMEOUT: Duration = Duration::from_secs(8);

/// Most connections waiting to be accepted; the system caps it at its own limit.
const BACKLOG: i32 = 4096;

/// Listens on `address` with a backlog for bursts of connections.
pub async fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let listener = spawn_blocking(move || listen_blocking(address)).await?;
    Ok(listener.into())
}

fn listen_blocking(address: SocketAddr) -> io::Result<std::net::TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}

/// Sets the options of every connection: keep-alive, user timeout and no delay.
pub fn set_options(stream: &TcpStream) -> io::Result<()> {
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))?;
    socket.set_tcp_nodelay(true)
}

/// Makes the next close of `stream` a reset, which the peer can't mistake for an orderly end.
pub fn reset_on_close(stream: &TcpStream) {
    if let Err(error) = SockRef::from(stream).set_linger(Some(Duration::ZERO)) {
        log::debug!("connection is already closed: {error}");
    }
}
