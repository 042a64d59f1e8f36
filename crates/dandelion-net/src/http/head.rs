//! Checks message heads before `async-h1` parses them, so that sender and receiver agree on where a
//! message ends and none can be smuggled in.

use httparse::Header;
use httparse::Status;
use thiserror::Error;

/// Most headers accepted in one head.
const MAX_HEADERS: usize = 96;
/// Hop-by-hop headers: they concern a single connection and are not forwarded.
const HOP_HEADERS: [&str; 12] = [
    "connection",
    "content-length",
    "expect",
    "host",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "proxy-connection",
];
/// Header in which an upstream echoes the id of the request that it answers, unless a client is told
/// another one.
pub const REQUEST_ID: &str = "x-request-id";

/// How the end of a message body is found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// There is no body.
    Empty,
    /// The body has this many bytes.
    Counted(u64),
    /// The body is sent in chunks and ends with an empty chunk and any trailers.
    Chunked,
}

/// Why a head was refused.
#[derive(Debug, Clone, Error, PartialEq, Eq)]
pub enum HeadError {
    /// No empty line within the longest allowed head.
    #[error("the head does not end within the allowed length; send fewer or shorter headers")]
    TooLong,
    /// Not an HTTP/1.1 head.
    #[error("the head is not valid HTTP/1.1 ({0}); send a well-formed HTTP/1.1 message")]
    Malformed(String),
    /// A header has bytes outside ASCII.
    #[error("header {0} has bytes outside ASCII; encode them or leave the header out")]
    NotAscii(String),
    /// A line does not end with CR LF.
    #[error("a head line does not end with CR LF; end every line with CR LF")]
    BareLineFeed,
    /// Both `Content-Length` and `Transfer-Encoding`.
    #[error("both Content-Length and Transfer-Encoding are set; send only one of them")]
    BothFramings,
    /// A framing header appears more than once.
    #[error("header {0} appears more than once; send it once")]
    Repeated(&'static str),
    /// `Content-Length` is not a plain decimal number.
    #[error("Content-Length is not a decimal number; send the number of body bytes")]
    BadLength,
    /// `Transfer-Encoding` has a value other than `chunked`.
    #[error("Transfer-Encoding is not `chunked`; send the body chunked or counted")]
    BadEncoding,
    /// An answer without either framing header, so that its end can't be verified.
    #[error("the answer has neither Content-Length nor chunks; make the upstream send one of them")]
    Unframed,
    /// An interim answer (status 1xx) that was not requested.
    #[error("interim status {0} was not asked for; make the upstream send only the final answer")]
    Interim(u16),
    /// A status that HTTP doesn't define the meaning of: it says neither success nor failure.
    #[error("status {0:03} is not in 200 to 599; make the upstream send a status of HTTP")]
    Status(u16),
}

/// Framing and connection options in the head of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestHead {
    /// Where the body ends.
    pub framing: Framing,
    /// Whether the caller waits for `100 Continue`.
    pub expects_continue: bool,
    /// Whether the caller requests that the connection is closed after the answer.
    pub close: bool,
}

/// Framing, connection options and request id in the head of an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResponseHead {
    /// Where the body ends.
    pub framing: Framing,
    /// Whether the peer closes the connection after the answer.
    pub close: bool,
    /// Request id that the upstream echoed, if any.
    pub id: Option<String>,
}

/// Checks the head of a request, which must end with an empty line.
pub fn check_request(head: &[u8]) -> Result<RequestHead, HeadError> {
    check_lines(head)?;
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    let status = request.parse(head).map_err(malformed)?;
    check_complete(status, head.len(), request.version)?;
    check_ascii(request.headers)?;
    single_value(request.headers, "host")?;
    let framing = framing(request.headers)?.unwrap_or(Framing::Empty);
    Ok(RequestHead {
        framing,
        expects_continue: has_token(request.headers, "expect", "100-continue"),
        close: has_token(request.headers, "connection", "close"),
    })
}

/// Checks the head of an answer; `bodiless` is set if it answers a `HEAD` request. `id_header` is the
/// header in which an upstream echoes the id of a request.
pub fn check_response(
    head: &[u8],
    bodiless: bool,
    id_header: &'static str,
) -> Result<ResponseHead, HeadError> {
    check_lines(head)?;
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut headers);
    let status = response.parse(head).map_err(malformed)?;
    check_complete(status, head.len(), response.version)?;
    check_ascii(response.headers)?;
    let code = response.code.unwrap_or_default();
    check_status(code)?;
    let framing = match framing(response.headers)? {
        _ if bodiless || code == 204 || code == 304 => Framing::Empty,
        Some(framing) => framing,
        None => return Err(HeadError::Unframed),
    };
    Ok(ResponseHead {
        framing,
        close: has_token(response.headers, "connection", "close"),
        id: single_value(response.headers, id_header)?.map(text),
    })
}

/// Returns whether a header concerns a single connection and must not be forwarded.
pub fn is_hop_header(name: &str) -> bool {
    HOP_HEADERS.iter().any(|hop| name.eq_ignore_ascii_case(hop))
}

/// Returns whether a header has a token as its name and printable ASCII or tabs as its value.
pub fn is_valid_header(name: &str, value: &str) -> bool {
    let is_token = |b: u8| b.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&b);
    let named = !name.is_empty() && name.bytes().all(is_token);
    named
        && value
            .bytes()
            .all(|b| b == b'\t' || (0x20..0x7f).contains(&b))
}

fn malformed(error: httparse::Error) -> HeadError {
    HeadError::Malformed(error.to_string())
}

fn check_lines(head: &[u8]) -> Result<(), HeadError> {
    let bare = |i: usize| i == 0 || head[i - 1] != b'\r';
    let found = head.iter().enumerate().any(|(i, b)| *b == b'\n' && bare(i));
    if found {
        return Err(HeadError::BareLineFeed);
    }
    Ok(())
}

fn check_complete(
    status: Status<usize>,
    size: usize,
    version: Option<u8>,
) -> Result<(), HeadError> {
    match status {
        Status::Complete(consumed) if consumed == size => (),
        _ => return Err(HeadError::Malformed("incomplete head".to_owned())),
    }
    if version != Some(1) {
        return Err(HeadError::Malformed("version is not HTTP/1.1".to_owned()));
    }
    Ok(())
}

/// Refuses a status that is not the one of a final answer.
fn check_status(code: u16) -> Result<(), HeadError> {
    match code {
        200..=599 => Ok(()),
        100..=199 => Err(HeadError::Interim(code)),
        _ => Err(HeadError::Status(code)),
    }
}

/// Refuses what the decoder's type for header values can't hold: it panics.
fn check_ascii(headers: &[Header<'_>]) -> Result<(), HeadError> {
    match headers.iter().find(|h| !h.value.is_ascii()) {
        Some(header) => Err(HeadError::NotAscii(header.name.to_ascii_lowercase())),
        None => Ok(()),
    }
}

fn framing(headers: &[Header<'_>]) -> Result<Option<Framing>, HeadError> {
    let length = single_value(headers, "content-length")?;
    let encoding = single_value(headers, "transfer-encoding")?;
    match (length, encoding) {
        (Some(_), Some(_)) => Err(HeadError::BothFramings),
        (Some(value), None) => Ok(Some(Framing::Counted(parse_length(value)?))),
        (None, Some(value)) if value.eq_ignore_ascii_case(b"chunked") => Ok(Some(Framing::Chunked)),
        (None, Some(_)) => Err(HeadError::BadEncoding),
        (None, None) => Ok(None),
    }
}

fn parse_length(value: &[u8]) -> Result<u64, HeadError> {
    let digits = !value.is_empty() && value.iter().all(u8::is_ascii_digit);
    let number = text(value).parse().ok().filter(|_| digits);
    number.ok_or(HeadError::BadLength)
}

fn single_value<'a>(
    headers: &[Header<'a>],
    name: &'static str,
) -> Result<Option<&'a [u8]>, HeadError> {
    let mut found = headers.iter().filter(|h| h.name.eq_ignore_ascii_case(name));
    let first = found.next();
    if found.next().is_some() {
        return Err(HeadError::Repeated(name));
    }
    Ok(first.map(|h| h.value))
}

fn has_token(headers: &[Header<'_>], name: &str, token: &str) -> bool {
    headers
        .iter()
        .filter(|h| h.name.eq_ignore_ascii_case(name))
        .flat_map(|h| h.value.split(|b| *b == b','))
        .any(|part| part.trim_ascii().eq_ignore_ascii_case(token.as_bytes()))
}

fn text(value: &[u8]) -> String {
    String::from_utf8_lossy(value).into_owned()
}
