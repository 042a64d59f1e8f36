//! Long mesh messages are sent in fragments. Guards against connections whose buffers grow to the
//! largest message and stay so: an image of the tables to each of 290 daemons was held for as long as
//! the connections lasted.

use std::io::Cursor;
use std::io::ErrorKind;
use std::io::Read;
use std::io::Write;

use dandelion_net::mesh::FRAGMENT;
use dandelion_net::mesh::fragments;
use dandelion_net::mesh::limits;
use tokio_tungstenite::tungstenite::Message;
use tokio_tungstenite::tungstenite::WebSocket;
use tokio_tungstenite::tungstenite::protocol::Role;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;

const IMAGE: usize = 1_000_000;
/// Bytes of a frame's header at most.
const HEADER: usize = 14;

/// Takes everything that is written and records the longest write, which is what the connection had
/// buffered.
#[derive(Default)]
struct Recorder {
    written: Vec<u8>,
    longest: usize,
}

impl Read for Recorder {
    fn read(&mut self, _buffer: &mut [u8]) -> std::io::Result<usize> {
        Err(ErrorKind::WouldBlock.into())
    }
}

impl Write for Recorder {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.longest = self.longest.max(bytes.len());
        self.written.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

fn image(length: usize) -> Vec<u8> {
    (0..length).map(|n| (n * 7 % 251) as u8).collect()
}

fn send<I>(role: Role, frames: I) -> Recorder
where
    I: Iterator<Item = Message>,
{
    let mut socket = WebSocket::from_raw_socket(Recorder::default(), role, Some(limits()));
    for frame in frames {
        socket.write(frame).unwrap();
    }
    socket.flush().unwrap();
    std::mem::take(socket.get_mut())
}

fn receive(role: Role, bytes: Vec<u8>, config: WebSocketConfig) -> Message {
    let mut socket = WebSocket::from_raw_socket(Cursor::new(bytes), role, Some(config));
    socket.read().unwrap()
}

#[test]
fn buffers_stay_small() {
    let sent = send(Role::Server, fragments(image(IMAGE).into()));
    let bound = limits().write_buffer_size + FRAGMENT + HEADER;
    assert!(sent.longest <= bound, "{} buffered", sent.longest);
    let whole = send(Role::Server, std::iter::once(Message::binary(image(IMAGE))));
    assert!(whole.longest > IMAGE);
}

/// The receiving side needs no change: a plain WebSocket, as in earlier releases, puts the fragments
/// together again.
#[test]
fn message_unchanged() {
    for length in [0, 1, FRAGMENT, FRAGMENT + 1, 3 * FRAGMENT, IMAGE] {
        for (from, to) in [(Role::Client, Role::Server), (Role::Server, Role::Client)] {
            let sent = send(from, fragments(image(length).into()));
            let received = receive(to, sent.written, WebSocketConfig::default());
            assert_eq!(received, Message::binary(image(length)));
        }
    }
}

#[test]
fn short_is_one_frame() {
    assert_eq!(fragments(image(FRAGMENT).into()).count(), 1);
}
