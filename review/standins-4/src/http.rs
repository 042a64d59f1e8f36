//! A small HTTP/1.1 client and the server side of one connection.

use std::io;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;
use std::time::Instant;

/// Longest head that is read, in bytes.
const MAX_HEAD: usize = 64 * 1024;

/// Head and body of a request or an answer.
#[derive(Debug, Clone)]
pub struct Message {
    /// First line of the head.
    pub line: String,
    /// Headers, with their names in lower case.
    pub headers: Vec<(String, String)>,
    /// Decoded body.
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the first value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the status of an answer; 0 if the first line has none.
    pub fn status(&self) -> u16 {
        let status = self.line.split(' ').nth(1);
        status.and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    /// Returns the target of a request.
    pub fn target(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or("")
    }

    /// Returns the body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// A connection with the bytes that were read and not used yet.
pub struct Conn {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Conn {
    /// Wraps a connection.
    pub fn new(stream: TcpStream) -> Self {
        let _ignored = stream.set_nodelay(true);
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut piece = [0; 64 * 1024];
        let count = self.stream.read(&mut piece)?;
        self.buffer.extend_from_slice(&piece[..count]);
        Ok(count)
    }

    /// Reads a message; none if the peer closed before its first byte.
    pub fn read(&mut self, is_answer: bool) -> io::Result<Option<Message>> {
        let end = loop {
            if let Some(at) = self.buffer.windows(4).position(|w| w == b"\r\n\r\n") {
                break at + 4;
            }
            if self.buffer.len() > MAX_HEAD {
                return Err(io::ErrorKind::InvalidData.into());
            }
            if self.fill()? == 0 {
                if self.buffer.is_empty() {
                    return Ok(None);
                }
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        };
        let head: Vec<u8> = self.buffer.drain(..end).collect();
        let head = String::from_utf8_lossy(&head).into_owned();
        let mut lines = head.split("\r\n");
        let line = lines.next().unwrap_or("").to_owned();
        let headers = lines.filter_map(|l| l.split_once(':'));
        let headers = headers.map(|(n, v)| (n.to_ascii_lowercase(), v.trim().to_owned()));
        let mut message = Message {
            line,
            headers: headers.collect(),
            body: Vec::new(),
        };
        let is_chunked = message.header("transfer-encoding").is_some();
        let length = message
            .header("content-length")
            .and_then(|v| v.parse::<usize>().ok());
        message.body = match (is_chunked, length) {
            (true, _) => self.chunked()?,
            (false, Some(length)) => self.exact(length)?,
            (false, None) if is_answer && !matches!(message.status(), 204 | 304) => self.rest()?,
            (false, None) => Vec::new(),
        };
        Ok(Some(message))
    }

    fn exact(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < length {
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buffer.drain(..length).collect())
    }

    fn rest(&mut self) -> io::Result<Vec<u8>> {
        while self.fill()? > 0 {}
        Ok(std::mem::take(&mut self.buffer))
    }

    fn chunked(&mut self) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            let end = loop {
                if let Some(at) = self.buffer.windows(2).position(|w| w == b"\r\n") {
                    break at;
                }
                if self.fill()? == 0 {
                    return Err(io::ErrorKind::UnexpectedEof.into());
                }
            };
            let size: Vec<u8> = self.buffer.drain(..end + 2).collect();
            let size = String::from_utf8_lossy(&size[..end]).into_owned();
            let size = usize::from_str_radix(size.trim(), 16);
            let size = size.map_err(|_error| io::Error::from(io::ErrorKind::InvalidData))?;
            body.extend(self.exact(size)?);
            self.exact(2)?;
            if size == 0 {
                return Ok(body);
            }
        }
    }
}

/// A request of a caller, an operator or a replica.
#[derive(Debug, Clone, Default)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub host: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    /// Makes a request without headers and body.
    pub fn new(method: &str, path: &str, host: &str) -> Self {
        Self {
            method: method.to_owned(),
            path: path.to_owned(),
            host: host.to_owned(),
            ..Self::default()
        }
    }

    /// Adds a header.
    pub fn with(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }

    /// Sets the body.
    pub fn body(mut self, body: Vec<u8>) -> Self {
        self.body = body;
        self
    }

    /// Encodes the head.
    pub fn head(&self) -> String {
        let mut head = format!(
            "{} {} HTTP/1.1\r\nHost: {}\r\n",
            self.method, self.path, self.host
        );
        for (name, value) in &self.headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        if !self.body.is_empty() || self.method == "POST" {
            head.push_str(&format!("Content-Length: {}\r\n", self.body.len()));
        }
        head.push_str("\r\n");
        head
    }
}

/// Sends a request on a new connection and reads the answer.
pub fn call(to: SocketAddr, request: &Request, limit: Duration) -> io::Result<Message> {
    let until = Instant::now() + limit;
    let stream = TcpStream::connect_timeout(&to, Duration::from_secs(1).min(limit))?;
    stream.set_read_timeout(Some(limit))?;
    stream.set_write_timeout(Some(limit))?;
    let mut conn = Conn::new(stream);
    let mut bytes = request.head().into_bytes();
    bytes.extend_from_slice(&request.body);
    // A refusal may come before all of the body is written.
    let written = conn.stream.write_all(&bytes);
    let answer = conn.read(true);
    if Instant::now() > until + Duration::from_secs(1) {
        return Err(io::ErrorKind::TimedOut.into());
    }
    match (written, answer) {
        (_, Ok(Some(answer))) => Ok(answer),
        (Err(error), _) | (Ok(()), Err(error)) => Err(error),
        (Ok(()), Ok(None)) => Err(io::ErrorKind::UnexpectedEof.into()),
    }
}

/// Sends a request several times on a new connection, without reading the answers.
pub fn send_ahead(to: SocketAddr, request: &Request, count: usize) -> io::Result<TcpStream> {
    let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
    stream.set_write_timeout(Some(Duration::from_secs(1)))?;
    stream.write_all(request.head().repeat(count).as_bytes())?;
    Ok(stream)
}
