//! The list of all commands.

use clap::Subcommand;

use crate::commands::cell;
use crate::commands::control;
use crate::commands::fleet;
use crate::commands::job;
use crate::commands::key;
use crate::commands::run::Run;
use crate::commands::service;
use crate::commands::team;
use crate::commands::upstream;
use crate::commands::usage;
use crate::commands::zone;
use crate::error::CtlError;
use crate::session::Session;

macro_rules! commands {
    ($(#[$doc:meta])* $name:ident { $($(#[$attr:meta])* $variant:ident($command:ty),)* }) => {
        $(#[$doc])*
        #[derive(Debug, Subcommand)]
        pub enum $name {
            $($(#[$attr])* #[expect(missing_docs, reason = "the command's own type has them")]
            $variant($command),)*
        }

        impl Run for $name {
            async fn run(&self, session: &Session) -> Result<String, CtlError> {
                match self {
                    $(Self::$variant(command) => command.run(session).await,)*
                }
            }
        }
    };
}

commands! {
    /// Every command.
    TopCommand {
        #[command(subcommand)]
        Team(TeamCommand),
        #[command(subcommand)]
        Key(KeyCommand),
        #[command(subcommand)]
        Service(ServiceCommand),
        #[command(subcommand)]
        Job(JobCommand),
        #[command(subcommand)]
        Upstream(UpstreamCommand),
        #[command(subcommand)]
        Control(ControlCommand),
        #[command(subcommand)]
        Fleet(FleetCommand),
        #[command(subcommand)]
        Usage(UsageCommand),
        #[command(subcommand)]
        Zone(ZoneCommand),
        Status(cell::Status),
        History(cell::History),
        Explain(cell::Explain),
        Apply(cell::Apply),
        Completions(cell::Completions),
    }
}

commands! {
    /// Manages teams.
    TeamCommand {
        Put(team::Put),
        Remove(team::Remove),
        List(team::List),
    }
}

commands! {
    /// Manages keys of callers.
    KeyCommand {
        Grant(key::Grant),
        Withdraw(key::Withdraw),
        List(key::List),
    }
}

commands! {
    /// Manages routed services.
    ServiceCommand {
        Put(service::Put),
        Remove(service::Remove),
        List(service::List),
    }
}

commands! {
    /// Manages rollout jobs.
    JobCommand {
        Put(job::Put),
        End(job::End),
        List(job::List),
        Show(job::Show),
    }
}

commands! {
    /// Manages upstreams and blocked requests.
    UpstreamCommand {
        Drain(upstream::Drain),
        List(upstream::List),
        Poisoned(upstream::Poisoned),
        Unpoison(upstream::Unpoison),
    }
}

commands! {
    /// Manages the control group.
    ControlCommand {
        Status(control::Status),
        AddVoter(control::AddVoter),
        RemoveVoter(control::RemoveVoter),
        ReplaceVoter(control::ReplaceVoter),
        Export(control::Export),
    }
}

commands! {
    /// Manages orders of upstreams.
    FleetCommand {
        Plan(fleet::Plan),
        Pause(fleet::Pause),
        Resume(fleet::Resume),
        Limits(fleet::Limits),
    }
}

commands! {
    /// Evacuates and restores availability zones.
    ZoneCommand {
        Evacuate(zone::Evacuate),
        Restore(zone::Restore),
        List(zone::List),
    }
}

commands! {
    /// Shows usage windows.
    UsageCommand {
        Show(usage::Show),
        Explain(usage::Explain),
    }
}
