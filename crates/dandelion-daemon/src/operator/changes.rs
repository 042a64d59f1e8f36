//! Operators' changes: proposes them and reports how many daemons have applied them.

use std::time::Duration;

use async_std::task;
use dandelion_control::tables::ConfigTable;
use dandelion_control::tables::ZonesCommand;
use dandelion_control::tables::ZonesReply;
use dandelion_control::tables::ZonesTable;
use dandelion_control::tables::zones::Order;
use dandelion_fleet::orders::OrderCommand;
use dandelion_fleet::orders::OrdersTable;
use dandelion_kernel::Table;
use dandelion_net::clock;
use dandelion_protocol::config::ConfigCommand;
use dandelion_protocol::ids::Revision;
use dandelion_protocol::mesh::CallBody;
use dandelion_protocol::mesh::Propagation;
use dandelion_protocol::mesh::ReplyBody;
use dandelion_protocol::time::Millis;
use dandelion_rpc::Author as ChangeAuthor;
use dandelion_rpc::ErrorCode;
use dandelion_rpc::RpcError;
use dandelion_rpc::convert;
use dandelion_rpc::generated as rpc;
use dandelion_rpc::secret;
use dandelion_telemetry::Event;
use dandelion_telemetry::event;
use rand::Rng;

use crate::control::Author;
use crate::control::CommandError;
use crate::core::Handle;

/// Longest wait until a withdrawal is applied everywhere.
const WITHDRAW_LIMIT: Millis = Millis::from_secs(5);

/// Interval at which the propagation of a change is checked.
const POLL: Duration = Duration::from_millis(20);

/// Longest wait for the leader's reply on the propagation of a change.
const PROPAGATION_TIMEOUT: Duration = Duration::from_millis(500);

/// Proposes a change of the configuration in the operator's name.
pub async fn configure(
    core: &Handle,
    change: Option<&rpc::Change>,
    command: &ConfigCommand,
) -> Result<rpc::ChangeAnswer, RpcError> {
    propose::<ConfigTable>(core, change, command).await
}

/// Proposes a change of the fleet's limits in the operator's name.
pub async fn change_limits(
    core: &Handle,
    change: Option<&rpc::Change>,
    command: &OrderCommand,
) -> Result<rpc::ChangeAnswer, RpcError> {
    propose::<OrdersTable>(core, change, command).await
}

/// Proposes to evacuate or restore a zone in the operator's name. The request id tells copies of the
/// order from new ones.
pub async fn order_zone(
    core: &Handle,
    request: &rpc::NameRequest,
    evacuate: bool,
) -> Result<rpc::ChangeAnswer, RpcError> {
    let zone = convert::parse_name("name", &request.name)?;
    let order = Order::Identified;
    let command = if evacuate {
        ZonesCommand::Evacuate { zone, order }
    } else {
        ZonesCommand::Restore { zone, order }
    };
    let (answer, reply) =
        propose_replied::<ZonesTable>(core, request.change.as_ref(), &command).await?;
    if reply == ZonesReply::Full {
        return Err(RpcError::new(
            ErrorCode::Conflict,
            "too many zones are evacuated",
            "restore another zone first; see `dandelionctl zone list`",
        ));
    }
    Ok(answer)
}

async fn propose<T>(
    core: &Handle,
    change: Option<&rpc::Change>,
    command: &T::Command,
) -> Result<rpc::ChangeAnswer, RpcError>
where
    T: Table,
{
    let (answer, _) = propose_replied::<T>(core, change, command).await?;
    Ok(answer)
}

async fn propose_replied<T>(
    core: &Handle,
    change: Option<&rpc::Change>,
    command: &T::Command,
) -> Result<(rpc::ChangeAnswer, T::Reply), RpcError>
where
    T: Table,
{
    let author = ChangeAuthor::check(change)?;
    let operator = author.operator.clone();
    let author = Author {
        request: author.request,
        name: author.operator,
        expected: author.expected,
    };
    match core.propose::<T>(author, command).await {
        Ok(applied) => {
            event!(
                Event::ChangeAccepted,
                operator = operator,
                revision = applied.revision
            );
            let propagation = propagation(core, applied.revision)
                .await
                .unwrap_or_default();
            Ok((answer(applied.revision, &propagation), applied.reply))
        }
        Err(error) => {
            event!(Event::ChangeRefused, operator = operator, reason = error);
            Err(rpc_error(error))
        }
    }
}

/// Grants a key. Unless the operator sent a digest, the secret is generated here and returned once.
pub async fn grant(
    core: &Handle,
    request: &rpc::GrantKeyRequest,
) -> Result<rpc::GrantKeyAnswer, RpcError> {
    let (digest, secret_text) = if let Some(digest) = convert::sent_digest(request)? {
        (digest, String::new())
    } else {
        let generated = secret::format_secret(&rand::rng().random());
        (secret::digest_secret(&generated), generated)
    };
    let key = convert::key_from_grant(request, digest)?;
    let command = ConfigCommand::GrantKey(key);
    let change = configure(core, request.change.as_ref(), &command).await?;
    Ok(rpc::GrantKeyAnswer {
        change: Some(change),
        secret: secret_text,
    })
}

/// Withdraws a key; succeeds once no daemon can accept it any more.
pub async fn withdraw(
    core: &Handle,
    request: &rpc::NameRequest,
) -> Result<rpc::ChangeAnswer, RpcError> {
    let key = convert::parse_name("name", &request.name)?;
    let command = ConfigCommand::WithdrawKey(key);
    let change = configure(core, request.change.as_ref(), &command).await?;
    let revision = Revision(change.revision);
    if let Some(propagation) = wait_complete(core, revision, WITHDRAW_LIMIT).await {
        event!(Event::KeyWithdrawn, key = request.name, revision = revision);
        return Ok(answer(revision, &propagation));
    }
    Err(RpcError::new(
        ErrorCode::DeadlineExceeded,
        &format!("the withdrawal is recorded at revision {revision} but not known everywhere"),
        "send it again with the same request id, or watch `dandelionctl status --wait`",
    ))
}

/// Waits until `revision` is applied everywhere; returns none if it is not within `limit`.
pub async fn wait_complete(
    core: &Handle,
    revision: Revision,
    limit: Millis,
) -> Option<Propagation> {
    let until = clock::boot_now() + limit;
    loop {
        let propagation = propagation(core, revision).await;
        if let Some(propagation) = propagation.filter(|p| p.complete) {
            return Some(propagation);
        }
        if clock::boot_now() >= until {
            return None;
        }
        task::sleep(POLL).await;
    }
}

/// Returns how many daemons have applied `revision`; none if the leader does not answer.
pub async fn propagation(core: &Handle, revision: Revision) -> Option<Propagation> {
    if let Some(reached) = local_propagation(core, revision) {
        return Some(reached);
    }
    let leader = core.control.leader();
    let leader = leader.filter(|l| l != &core.identity.daemon)?;
    let call = CallBody::InForce(revision);
    match core.mesh()?.call(&leader, call, PROPAGATION_TIMEOUT).await {
        Ok(ReplyBody::InForce(propagation)) => propagation,
        Ok(_) | Err(_) => None,
    }
}

/// Returns how many daemons have applied `revision`; none if this daemon is not the leader.
pub fn local_propagation(core: &Handle, revision: Revision) -> Option<Propagation> {
    let reached = core.control.replica()?.propagation(revision)?;
    Some(Propagation {
        applied: reached.applied,
        total: reached.total,
        complete: reached.is_complete(),
    })
}

fn answer(revision: Revision, propagation: &Propagation) -> rpc::ChangeAnswer {
    rpc::ChangeAnswer {
        revision: revision.0,
        daemons_applied: propagation.applied,
        daemons_total: propagation.total,
    }
}

/// Converts the error of a proposal into the error of a procedure.
pub fn rpc_error(failed: CommandError) -> RpcError {
    match failed {
        CommandError::Unanswered(error) => error.into(),
        CommandError::Rejected(rejection) => rejection.into(),
        CommandError::Codec(error) => RpcError::new(
            ErrorCode::Internal,
            &error.to_string(),
            "upgrade the older daemons",
        ),
    }
}
