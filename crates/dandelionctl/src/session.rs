//! State of one run of the command line: the client, the identity of the change and the options.

use std::path::Path;
use std::sync::OnceLock;
use std::time::Duration;

use dandelion_protocol::ids::RequestId;
use dandelion_rpc::OperatorClient;
use dandelion_rpc::change;
use dandelion_rpc::generated::Change;
use dandelion_rpc::generated::ChangeAnswer;
use dandelion_rpc::generated::StatusRequest;
use dandelion_rpc::secret::Secret;

use crate::cli::Options;
use crate::error::CtlError;
use crate::output::OutputFormat;
use crate::output::Show;
use crate::output::render;
use crate::transport::HttpTransport;

/// One run of the command line.
#[derive(Debug)]
pub struct Session {
    client: OperatorClient<HttpTransport>,
    options: Options,
    sent_id: OnceLock<String>,
}

impl Session {
    /// Opens a session. The token file is read; nothing is sent yet.
    pub fn open(options: &Options) -> Result<Self, CtlError> {
        let token = match (&options.token, &options.token_file) {
            (Some(token), _) => Some(token.clone()),
            (None, Some(path)) => Some(read_token(path)?),
            (None, None) => None,
        };
        let transport = HttpTransport {
            daemons: options.daemon.clone(),
            token,
            timeout: Duration::from_millis(options.timeout_ms),
            resends: options.resends,
        };
        Ok(Self {
            client: OperatorClient::new(transport),
            options: options.clone(),
            sent_id: OnceLock::new(),
        })
    }

    /// Returns the client of the operators' procedures.
    pub fn client(&self) -> &OperatorClient<HttpTransport> {
        &self.client
    }

    /// Returns the output format that the operator chose.
    pub fn format(&self) -> OutputFormat {
        self.options.output
    }

    /// Formats an answer in the chosen output format.
    pub fn show<A>(&self, answer: &A) -> String
    where
        A: Show,
    {
        render(self.options.output, answer)
    }

    /// Waits until every daemon has applied a change, so that the next command sees it.
    ///
    /// The wait is bounded by `--settle-ms`. The returned answer counts the daemons that have applied
    /// the change by then.
    pub async fn wait_applied(&self, answer: ChangeAnswer) -> ChangeAnswer {
        let applied = answer.daemons_applied >= answer.daemons_total;
        if applied || self.options.settle_ms == 0 {
            return answer;
        }
        let request = StatusRequest {
            wait_revision: Some(answer.revision),
            timeout_ms: self.options.settle_ms,
        };
        match self.client.status(&request).await {
            Ok(status) => ChangeAnswer {
                revision: answer.revision,
                daemons_applied: status.daemons_applied,
                daemons_total: status.daemons_total,
            },
            Err(_) => answer,
        }
    }

    /// Waits until a change is applied and formats its answer.
    pub async fn show_change(&self, answer: ChangeAnswer) -> String {
        self.show(&self.wait_applied(answer).await)
    }

    /// Returns the request id of this run's change, if it makes one.
    pub fn sent_id(&self) -> Option<&str> {
        self.sent_id.get().map(String::as_str)
    }

    /// Returns the identity of this run's change: request id, operator and expected revision.
    pub fn change(&self) -> Result<Option<Change>, CtlError> {
        let request = self.request_id()?;
        self.sent_id
            .get_or_init(|| change::format_request_id(request));
        self.change_with(request, self.options.expected_revision)
    }

    /// Returns the identity of a change with the given request id and expected revision.
    pub fn change_with(
        &self,
        request: RequestId,
        expected_revision: Option<u64>,
    ) -> Result<Option<Change>, CtlError> {
        let Some(operator) = &self.options.operator else {
            return Err(CtlError::usage(
                "--operator",
                "",
                "a change needs the operator's name for the history",
                "set --operator or DANDELION_OPERATOR",
            ));
        };
        Ok(Some(Change {
            request_id: change::format_request_id(request),
            operator: operator.clone(),
            expected_revision,
        }))
    }

    /// Returns a random request id.
    pub fn random_id(&self) -> Result<RequestId, CtlError> {
        Ok(RequestId(u128::from_be_bytes(random_bytes()?)))
    }

    /// Returns the request id given by `--request-id`, or a random one.
    pub fn request_id(&self) -> Result<RequestId, CtlError> {
        match &self.options.request_id {
            None => self.random_id(),
            Some(text) => change::parse_request_id(text).map_err(|error| {
                CtlError::usage(
                    "--request-id",
                    text,
                    &error.message,
                    "give 1 to 32 hexadecimal digits that are not all zero",
                )
            }),
        }
    }
}

/// Returns bytes from the system's random source.
pub fn random_bytes<const N: usize>() -> Result<[u8; N], CtlError> {
    let mut bytes = [0; N];
    match getrandom::fill(&mut bytes) {
        Ok(()) => Ok(bytes),
        Err(error) => Err(CtlError::usage(
            "random source",
            "getrandom",
            &error.to_string(),
            "run on a system that offers one",
        )),
    }
}

fn read_token(path: &Path) -> Result<Secret, CtlError> {
    match std::fs::read_to_string(path) {
        Ok(text) => Ok(Secret::from(text.trim().to_owned())),
        Err(error) => Err(CtlError::usage(
            "--token-file",
            &path.display().to_string(),
            &error.to_string(),
            "name a text file that you can read",
        )),
    }
}
