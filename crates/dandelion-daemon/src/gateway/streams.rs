//! Callers' streams that can go on at another upstream of the software version that began them.

use std::sync::Mutex;

use dandelion_platform::headers::CallerHeaders;
use dandelion_protocol::ids::TeamId;
use dandelion_protocol::incarnations::UpstreamIncarnation;
use dandelion_protocol::plan::RouteKind;
use dandelion_protocol::plan::RouteRule;
use dandelion_protocol::streams::KeptOrigin;
use dandelion_protocol::streams::StreamKey;
use dandelion_protocol::streams::StreamOrigin;
use dandelion_telemetry::Event;
use dandelion_telemetry::event;

use crate::core::Handle;
use crate::gateway::forward::Call;
use crate::gateway::origins;

/// The stream that a request opens or takes up.
#[derive(Debug)]
pub(super) struct StreamPart {
    /// Name of the stream.
    pub key: StreamKey,
    /// Where it began; none if the request opens it.
    pub origin: Option<StreamOrigin>,
    /// What this attempt has made others keep.
    pub kept: Mutex<KeptOrigin>,
}

impl StreamPart {
    /// Returns the stream that a request is part of; none if its route has no streams that can go on,
    /// or the request has no id. Fails with the reason if it takes up a stream whose origin nobody
    /// knows.
    pub async fn of(
        core: &Handle,
        route: &RouteRule,
        team: Option<&TeamId>,
        caller: &CallerHeaders,
    ) -> Result<Option<Self>, &'static str> {
        if route.kind != RouteKind::Stream || !route.resumable {
            return Ok(None);
        }
        let after = caller.last_event.as_deref().map(str::trim);
        let Some(after) = after.filter(|after| !matches!(*after, "" | "0")) else {
            let opened = caller.attempt.as_deref().map(|attempt| Self {
                key: origins::key_of(team, attempt),
                origin: None,
                kept: Mutex::default(),
            });
            return Ok(opened);
        };
        let resumes = caller.resumes.as_deref().ok_or("stream_unnamed")?;
        let key = origins::key_of(team, resumes);
        let found = origins::find(core, &key).await;
        let (origin, source) = found.ok_or("stream_unknown")?;
        event!(
            Event::StreamTakenUp,
            request = caller.attempt.as_deref().unwrap_or("-"),
            route = route.name,
            resumes = resumes,
            after = after,
            service = origin.service,
            software = origin.software,
            source = format!("{source:?}")
        );
        Ok(Some(Self {
            key,
            origin: Some(origin),
            kept: Mutex::default(),
        }))
    }
}

impl Call<'_> {
    /// Returns where the stream began that the request takes up.
    pub(super) fn origin(&self) -> Option<&StreamOrigin> {
        self.stream.as_ref()?.origin.as_ref()
    }

    /// Returns whether an upstream may get the request: any, unless it takes up a stream.
    pub(super) fn may_go_on_at(&self, upstream: &UpstreamIncarnation) -> bool {
        let origin = self.origin();
        origin.is_none_or(|origin| {
            origin.service == upstream.service
                && origin.software.may_continue_at(&upstream.software)
        })
    }

    /// Returns whether the request takes up a stream for which no upstream is left.
    pub(super) fn is_stranded(&self) -> bool {
        let view = self.core.control.view();
        let serves = |u: &&UpstreamIncarnation| u.ready && !view.is_evacuated(&u.zone);
        let mut staying = view.incarnations.iter().filter(serves);
        self.origin().is_some() && !staying.any(|upstream| self.may_go_on_at(upstream))
    }
}
