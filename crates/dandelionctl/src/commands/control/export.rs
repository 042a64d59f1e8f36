//! Exports a snapshot of the replicated state to a file.

use std::fs::File;
use std::io;
use std::io::Write;
use std::path::Path;
use std::path::PathBuf;

use clap::Args;
use dandelion_rpc::generated::ListRequest;
use dandelion_rpc::secret;

use crate::commands::Run;
use crate::error::CtlError;
use crate::session::Session;

/// Exports a snapshot of the replicated state to a file.
#[derive(Debug, Args)]
pub struct Export {
    /// File to write; it must not exist
    pub file: PathBuf,
}

impl Run for Export {
    async fn run(&self, session: &Session) -> Result<String, CtlError> {
        let answer = session.client().export_snapshot(&ListRequest {}).await?;
        let digest = secret::digest_hex(&answer.data);
        if digest != answer.digest {
            return Err(CtlError::Malformed(
                "the snapshot does not match its digest; export it again".to_owned(),
            ));
        }
        write_new(&self.file, &answer.data)?;
        Ok(format!(
            "revision {}, {} bytes, digest {digest}\n",
            answer.revision,
            answer.data.len()
        ))
    }
}

fn write_new(path: &Path, data: &[u8]) -> Result<(), CtlError> {
    let written = File::create_new(path).and_then(|file| write_synced(file, data));
    written.map_err(|error| {
        CtlError::usage(
            "file",
            &path.display().to_string(),
            &error.to_string(),
            "name a file that does not exist in a folder that you can write to",
        )
    })
}

fn write_synced(mut file: File, data: &[u8]) -> io::Result<()> {
    file.write_all(data)?;
    file.sync_all()
}
