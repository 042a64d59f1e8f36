//! A fake daemon on a loopback port that can inject faults into its answers.

mod cell;
mod fault;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;

use async_std::io::ReadExt;
use async_std::io::WriteExt;
use async_std::net::TcpListener;
use async_std::net::TcpStream;
use async_std::task;
use dandelion_rpc::dispatch;
use http_types::Request;

pub use cell::FakeCell;
pub use cell::Stale;
pub use fault::Fault;

/// A running fake daemon; its task ends with the test process.
#[derive(Debug, Clone)]
pub struct FakeDaemon {
    /// Address on which it listens.
    pub address: SocketAddr,
    /// Configuration of the fake cell.
    pub cell: Arc<FakeCell>,
    /// Authorization headers, one for each request; empty where there is none.
    pub tokens: Arc<Mutex<Vec<String>>>,
}

impl FakeDaemon {
    /// Starts a daemon that applies the given faults to its first answers, one each.
    pub async fn bind(faults: &[Fault]) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds");
        let daemon = Self {
            address: listener.local_addr().expect("bound"),
            cell: Arc::default(),
            tokens: Arc::default(),
        };
        task::spawn(daemon.clone().serve(listener, faults.to_vec()));
        daemon
    }

    async fn serve(self, listener: TcpListener, faults: Vec<Fault>) {
        let mut faults = faults.into_iter();
        while let Ok((stream, _)) = listener.accept().await {
            let fault = faults.next().unwrap_or(Fault::None);
            self.answer(stream, fault).await;
        }
    }

    async fn answer(&self, mut stream: TcpStream, fault: Fault) {
        let decoded = async_h1::server::decode(stream.clone()).await;
        let Ok(Some((mut request, _))) = decoded else {
            return;
        };
        self.record(header(&request, "authorization"));
        let path = request.url().path().to_owned();
        let kind = header(&request, "content-type");
        let mut body = Vec::new();
        request
            .read_to_end(&mut body)
            .await
            .expect("a complete body");
        let answer = dispatch(self.cell.as_ref(), &path, &kind, &body).await;
        let bytes = fault.bytes(&answer);
        stream.write_all(&bytes).await.expect("writes");
    }

    fn record(&self, token: String) {
        let mut tokens = self.tokens.lock().expect("no panic before");
        tokens.push(token);
    }
}

fn header(request: &Request, name: &str) -> String {
    let values = request.header(name);
    values.map_or_else(String::new, |values| values.last().to_string())
}
