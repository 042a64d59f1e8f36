//! Generates messages, a server trait, a dispatcher and a client stub from the schema.

use std::error::Error;
use std::fmt::Write;
use std::path::Path;

use prost_build::Module;
use prost_build::Service;
use prost_build::ServiceGenerator;

/// Schema file, relative to the package.
pub const SCHEMA: &str = "schema/dandelion/v1/operator.proto";

/// Generated file, relative to the package.
pub const OUTPUT: &str = "src/generated/dandelion.v1.rs";

/// Generates the code for the schema of the package at `root`.
pub fn generate(root: &Path) -> Result<String, Box<dyn Error>> {
    let files = protox::compile([root.join(SCHEMA)], [root.join("schema")])?;
    let module = Module::from_protobuf_package_name("dandelion.v1");
    let mut config = prost_build::Config::new();
    config.service_generator(Box::new(Procedures));
    config.type_attribute(".", "#[derive(serde::Serialize, serde::Deserialize)]");
    config.type_attribute(".", "#[serde(default, deny_unknown_fields)]");
    config.field_attribute(
        ".dandelion.v1.ExportSnapshotAnswer.data",
        "#[serde(with = \"crate::base64_text\")]",
    );
    config.skip_debug(["GrantKeyAnswer"]);
    let requests = files.file.into_iter().map(|file| (module.clone(), file));
    let generated = config.generate(requests.collect())?;
    Ok(generated.into_values().collect())
}

struct Procedures;

impl ServiceGenerator for Procedures {
    fn generate(&mut self, service: Service, code: &mut String) {
        let written = write_paths(&service, code)
            .and_then(|()| write_server(&service, code))
            .and_then(|()| write_call(&service, code))
            .and_then(|()| write_client(&service, code));
        written.expect("writing to a string cannot fail");
    }
}

fn write_paths(service: &Service, code: &mut String) -> std::fmt::Result {
    let full_name = format!("{}.{}", service.package, service.proto_name);
    writeln!(code, "/// Path prefix of every procedure.")?;
    writeln!(code, "pub const PREFIX: &str = \"/{full_name}/\";")?;
    writeln!(code, "/// Names of the procedures.")?;
    writeln!(code, "pub const METHODS: &[&str] = &[")?;
    for method in &service.methods {
        writeln!(code, "\"{}\",", method.proto_name)?;
    }
    writeln!(code, "];")
}

fn write_docs(lines: &[String], code: &mut String) -> std::fmt::Result {
    for line in lines {
        writeln!(code, "///{line}")?;
    }
    Ok(())
}

fn write_server(service: &Service, code: &mut String) -> std::fmt::Result {
    write_docs(&service.comments.leading, code)?;
    writeln!(code, "pub trait {} {{", service.name)?;
    for method in &service.methods {
        write_docs(&method.comments.leading, code)?;
        writeln!(
            code,
            "fn {}(&self, request: {}) -> impl Future<Output = Result<{}, crate::RpcError>> + Send;",
            method.name, method.input_type, method.output_type
        )?;
    }
    writeln!(code, "}}")
}

fn write_call(service: &Service, code: &mut String) -> std::fmt::Result {
    writeln!(
        code,
        "/// Decodes the body, calls the named procedure and encodes its answer."
    )?;
    writeln!(
        code,
        "pub async fn call<S>(server: &S, method: &str, codec: crate::BodyCodec, body: &[u8]) \
         -> Result<Vec<u8>, crate::RpcError> where S: {} + Sync {{ match method {{",
        service.name
    )?;
    for method in &service.methods {
        writeln!(
            code,
            "\"{}\" => codec.encode(&server.{}(codec.decode(body)?).await?),",
            method.proto_name, method.name
        )?;
    }
    writeln!(
        code,
        "_ => Err(crate::RpcError::unknown_method(method)), }} }}"
    )
}

fn write_client(service: &Service, code: &mut String) -> std::fmt::Result {
    writeln!(code, "/// Client stub over any transport.")?;
    writeln!(code, "#[derive(Debug, Clone)]")?;
    writeln!(
        code,
        "pub struct {}Client<T> {{ transport: T }}",
        service.name
    )?;
    writeln!(
        code,
        "impl<T> {}Client<T> where T: crate::Transport {{",
        service.name
    )?;
    writeln!(code, "/// Makes a client that sends over `transport`.")?;
    writeln!(
        code,
        "pub fn new(transport: T) -> Self {{ Self {{ transport }} }}"
    )?;
    for method in &service.methods {
        write_docs(&method.comments.leading, code)?;
        writeln!(
            code,
            "pub async fn {}(&self, request: &{}) -> Result<{}, crate::ClientError> {{ \
             crate::client::send(&self.transport, \"{}\", request).await }}",
            method.name, method.input_type, method.output_type, method.proto_name
        )?;
    }
    writeln!(code, "}}")
}
