//! Requests to daemons over HTTP.

mod exchange;
mod http;

pub use http::HttpTransport;
