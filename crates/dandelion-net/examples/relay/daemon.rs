//! Entry and owner in one process, connected by the mesh.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use dandelion_net::http::body;
use dandelion_net::http::client::Client;
use dandelion_net::http::client::ClientOptions;
use dandelion_net::http::client::SendError;
use dandelion_net::http::client::SendOptions;
use dandelion_net::http::client::request;
use dandelion_net::http::server::Handler;
use dandelion_net::http::server::Limits;
use dandelion_net::http::server::Server;
use dandelion_net::http::server::json;
use dandelion_net::http::server::streamed;
use dandelion_net::mesh::Mesh;
use dandelion_net::mesh::MeshConfig;
use dandelion_net::mesh::MeshHandler;
use dandelion_net::mesh::PartSender;
use dandelion_net::mesh::Secret;
use dandelion_net::mesh::Secrets;
use dandelion_net::mesh::ServeStream;
use dandelion_net::mesh::Timing;
use dandelion_protocol::ids::CellId;
use dandelion_protocol::ids::DaemonId;
use dandelion_protocol::ids::Incarnation;
use dandelion_protocol::ids::RequestId;
use dandelion_protocol::incarnations::SoftwareVersion;
use dandelion_protocol::mesh::CallBody;
use dandelion_protocol::mesh::Hello;
use dandelion_protocol::mesh::MESH_VERSION;
use dandelion_protocol::mesh::MeshMessage;
use dandelion_protocol::mesh::ReplyBody;
use dandelion_protocol::mesh::ServePart;
use dandelion_protocol::mesh::ServeRequest;
use dandelion_protocol::outcome::Ran;
use dandelion_protocol::outcome::Refusal;
use dandelion_protocol::outcome::RefusalCode;
use dandelion_protocol::time::Millis;
use dandelion_protocol::usage::Class;
use http_types::Request;
use http_types::Response;

const LIMIT: Duration = Duration::from_mins(1);

/// Forwards requests from the mesh to the engine.
#[derive(Debug, Clone)]
struct Owner {
    client: Client,
    engine: SocketAddr,
}

impl MeshHandler for Owner {
    fn on_message(&self, _from: &DaemonId, _message: MeshMessage) {}

    async fn on_call(&self, _from: &DaemonId, _body: CallBody) -> ReplyBody {
        ReplyBody::Announced
    }

    async fn on_serve(&self, _from: &DaemonId, incoming: ServeRequest, parts: &mut PartSender) {
        if let Err(error) = self.relay(incoming, parts).await {
            let refusal = Refusal::not_run(RefusalCode::UpstreamFailed, &error.to_string(), "");
            let _gone = parts
                .send(ServePart::Failed(refusal.with_ran(Ran::Unknown)))
                .await;
        }
    }
}

impl Owner {
    async fn relay(&self, incoming: ServeRequest, parts: &mut PartSender) -> Result<(), SendError> {
        let request = request(
            self.engine,
            &incoming.method,
            &incoming.path,
            &incoming.headers,
            incoming.body,
        );
        let options = SendOptions {
            deadline: Instant::now() + LIMIT,
            progress: LIMIT,
            idempotent: incoming.idempotent,
            probe: true,
        };
        let request = request.map_err(SendError::NotSent)?;
        let mut exchange = self.client.send(self.engine, request, &options).await?;
        let head = ServePart::Head {
            status: exchange.status(),
            headers: Vec::new(),
            upstream: "e".to_owned(),
        };
        let _gone = parts.send(head).await;
        while let Some(bytes) = exchange.chunk().await? {
            let _gone = parts.send(ServePart::Chunk(bytes)).await;
        }
        let bytes = parts.bytes();
        let _gone = parts.send(ServePart::End { bytes }).await;
        Ok(())
    }
}

/// Forwards callers' requests to the owner over the mesh.
#[derive(Debug, Clone)]
struct Entry(Mesh<Owner>);

impl Handler for Entry {
    async fn handle(&self, mut request: Request, _peer: SocketAddr) -> Response {
        if request.url().path() == "/cpu" {
            return json(200, &cpu_ticks());
        }
        let forwarded = ServeRequest {
            id: RequestId(1),
            team: None,
            service: "m".parse().expect("valid name"),
            class: Class::Interactive,
            method: request.method().to_string(),
            path: request.url().path().to_owned(),
            headers: Vec::new(),
            body: request
                .body_bytes()
                .await
                .expect("the server has read the body"),
            timeout: Millis::from_secs(60),
            idempotent: false,
            software: SoftwareVersion::default(),
            detour: None,
        };
        let owner = "owner".parse().expect("valid name");
        let mut stream = self
            .0
            .serve(&owner, forwarded)
            .expect("the queue is not full");
        let Ok(ServePart::Head { status, .. }) = stream.next().await else {
            return Response::new(502);
        };
        let items = futures::stream::unfold(stream, next_piece);
        streamed(status, "text/event-stream", body::from_stream(items))
    }
}

async fn next_piece(
    mut stream: ServeStream,
) -> Option<(Result<Vec<u8>, body::BodyAborted>, ServeStream)> {
    match stream.next().await {
        Ok(ServePart::Chunk(bytes)) => Some((Ok(bytes), stream)),
        Ok(ServePart::End { .. }) => None,
        other => {
            eprintln!("aborted an answer: {other:?}");
            Some((Err(body::BodyAborted), stream))
        }
    }
}

/// Returns the CPU time of this process so far, in clock ticks of 10 ms.
fn cpu_ticks() -> u64 {
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let fields: Vec<&str> = stat.split_whitespace().collect();
    let tick = |at: usize| fields.get(at).and_then(|f| f.parse().ok()).unwrap_or(0);
    tick(13) + tick(14)
}

async fn node(name: &str, engine: SocketAddr) -> Mesh<Owner> {
    let secret = Secret::new(&[7; 32]).expect("long enough");
    let config = MeshConfig {
        name_port: None,
        hello: Hello {
            version: MESH_VERSION,
            cell: CellId(0),
            daemon: name.parse().expect("valid name"),
            zone: "a".parse().expect("valid name"),
            incarnation: Incarnation(1),
            address: String::new(),
        },
        listen: SocketAddr::from(([127, 0, 0, 1], 0)),
        secrets: Secrets {
            current: secret,
            other: None,
        },
        timing: Timing::default(),
    };
    let client = Client::new(ClientOptions::default());
    let mesh = Mesh::bind(config, Owner { client, engine }).await;
    mesh.expect("loopback port")
}

/// Runs both ends of a hop in front of `engine`.
pub async fn run(engine: SocketAddr) {
    let entry = node("entry", engine).await;
    let owner = node("owner", engine).await;
    entry.set_peer(owner.id(), owner.local_addr());
    let listen = SocketAddr::from(([127, 0, 0, 1], 0));
    let server = Server::bind(listen, Limits::default(), Entry(entry)).await;
    let server = server.expect("loopback port");
    println!("{}", server.local_addr());
    std::future::pending::<()>().await;
}
