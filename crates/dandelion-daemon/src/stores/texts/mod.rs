//! Result bodies: stored on the disks of several store daemons, read from any of them.

mod fetch;
mod repair;
mod replicate;
mod shortage;
mod store;

use dandelion_protocol::batch::TextCall;
use dandelion_protocol::batch::TextEntry;
use dandelion_protocol::batch::TextReply;

pub use fetch::read_results;
pub use repair::are_replicated;
pub use repair::placement;
pub use repair::run_repair;
pub use replicate::replicate;
pub use store::Texts;

use crate::core::Handle;
use crate::stores::partials;

/// Answers a call of another store daemon.
pub async fn answer_texts(core: &Handle, call: TextCall) -> TextReply {
    let texts = &core.stores.texts;
    match call {
        TextCall::Complete => TextReply::Kept(repair::is_complete(core)),
        TextCall::KeepPartial { job, partial } => {
            TextReply::Kept(partials::save_local(core, job, partial).await)
        }
        TextCall::ReadPartials(job) => TextReply::Partials(partials::local_partials(core, &job)),
        TextCall::Keep(entries) => TextReply::Kept(texts.write(entries).await),
        TextCall::Read(keys) => {
            let found = keys.into_iter().filter_map(|key| {
                let text = texts.read(&key)?;
                Some(TextEntry { key, text })
            });
            TextReply::Read(found.collect())
        }
    }
}
