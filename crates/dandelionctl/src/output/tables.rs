//! Plain text of each answer of the operators' procedures.

use dandelion_rpc::generated;

use super::show::Grid;
use super::show::Show;

/// Shown for an absent value.
const NONE: &str = "-";

fn optional<V>(value: Option<V>) -> String
where
    V: ToString,
{
    value.map_or_else(|| NONE.to_owned(), |value| value.to_string())
}

fn or_none(value: &str) -> String {
    if value.is_empty() {
        return NONE.to_owned();
    }
    value.to_owned()
}

fn yes_no(value: bool) -> String {
    if value { "yes" } else { "no" }.to_owned()
}

impl Show for generated::ChangeAnswer {
    fn show(&self) -> String {
        format!(
            "revision {}, in force on {} of {} daemons\n",
            self.revision, self.daemons_applied, self.daemons_total
        )
    }
}

impl Show for generated::GrantKeyAnswer {
    fn show(&self) -> String {
        let change = self.change.unwrap_or_default().show();
        format!("secret (shown only now): {}\n{change}", self.secret)
    }
}

impl Show for generated::ListTeamsAnswer {
    fn show(&self) -> String {
        Grid::new(&["team", "weight", "max inflight", "tokens a minute"])
            .rows(&self.teams, |team| {
                vec![
                    team.id.clone(),
                    team.weight.to_string(),
                    optional(team.max_inflight),
                    optional(team.token_rate),
                ]
            })
            .text()
    }
}

impl Show for generated::ListKeysAnswer {
    fn show(&self) -> String {
        Grid::new(&["key", "team", "services", "expires (ms)"])
            .rows(&self.keys, |key| {
                vec![
                    key.id.clone(),
                    key.team.clone(),
                    if key.scopes.is_empty() {
                        "all".to_owned()
                    } else {
                        key.scopes.join(",")
                    },
                    optional(key.expires_ms),
                ]
            })
            .text()
    }
}

impl Show for generated::ListServicesAnswer {
    fn show(&self) -> String {
        Grid::new(&[
            "service",
            "kind",
            "open",
            "idempotent",
            "timeout (ms)",
            "floor",
            "ceiling",
        ])
        .rows(&self.services, |service| {
            vec![
                service.id.clone(),
                service.kind.clone(),
                yes_no(service.open),
                yes_no(service.idempotent),
                service.timeout_ms.to_string(),
                service.floor.to_string(),
                service.ceiling.to_string(),
            ]
        })
        .text()
    }
}

impl Show for generated::ListJobsAnswer {
    fn show(&self) -> String {
        Grid::new(&[
            "job",
            "team",
            "service",
            "group",
            "step groups",
            "staleness",
            "token budget",
            "ended",
        ])
        .rows(&self.jobs, |job| {
            vec![
                job.id.clone(),
                job.team.clone(),
                job.service.clone(),
                job.group_size.to_string(),
                job.step_groups.to_string(),
                job.max_staleness.to_string(),
                job.token_budget.to_string(),
                yes_no(job.ended),
            ]
        })
        .text()
    }
}

impl Show for generated::GetJobAnswer {
    fn show(&self) -> String {
        let job = self.job.clone().unwrap_or_default();
        let progress = self.progress.clone().unwrap_or_default();
        let grid = Grid::new(&["job", &job.id])
            .row(&[&"daemon", &or_none(&self.daemon)])
            .row(&[&"newest version", &optional(progress.version)])
            .row(&[&"cursor", &progress.cursor])
            .row(&[&"groups waiting", &progress.groups_waiting])
            .row(&[&"groups running", &progress.groups_running])
            .row(&[&"groups ready", &progress.groups_ready])
            .row(&[&"samples acknowledged", &progress.samples_acknowledged])
            .row(&[&"token budget", &job.token_budget])
            .row(&[&"tokens spent", &progress.tokens_spent])
            .row(&[&"tokens reserved", &progress.tokens_reserved])
            .row(&[&"tokens wasted", &progress.tokens_wasted])
            .row(&[&"ended", &yes_no(job.ended)]);
        let grid = grid.rows(&progress.discarded, |discarded| {
            let name = format!("discarded: {}", discarded.reason);
            vec![name, discarded.samples.to_string()]
        });
        grid.text()
    }
}

impl Show for generated::ListUpstreamsAnswer {
    fn show(&self) -> String {
        Grid::new(&[
            "upstream", "zone", "service", "kind", "price", "address", "owner", "state",
            "inflight", "capacity", "version",
        ])
        .rows(&self.upstreams, |upstream| {
            vec![
                upstream.id.clone(),
                upstream.zone.clone(),
                upstream.service.clone(),
                upstream.kind.clone(),
                upstream.price.clone(),
                upstream.address.clone(),
                or_none(&upstream.owner),
                upstream.state.clone(),
                upstream.inflight.to_string(),
                upstream.capacity.to_string(),
                optional(upstream.version),
            ]
        })
        .text()
    }
}

impl Show for generated::ListPoisonedAnswer {
    fn show(&self) -> String {
        Grid::new(&["fingerprint", "since (ms)"])
            .rows(&self.poisoned, |poisoned| {
                vec![poisoned.fingerprint.clone(), poisoned.since_ms.to_string()]
            })
            .text()
    }
}

impl Show for generated::ListZonesAnswer {
    fn show(&self) -> String {
        Grid::new(&["evacuated zone"])
            .rows(&self.evacuated, |zone| vec![zone.clone()])
            .text()
    }
}

impl Show for generated::StatusAnswer {
    fn show(&self) -> String {
        let head = format!(
            "cell {}, leader {} in term {}, revision {}, in force on {} of {} daemons, zones {}, evacuated {}\n\n",
            self.cell,
            or_none(&self.leader),
            self.term,
            self.revision,
            self.daemons_applied,
            self.daemons_total,
            or_none(&self.zones.join(",")),
            or_none(&self.evacuated.join(",")),
        );
        let grid = Grid::new(&["daemon", "zone", "address", "revision", "leased", "leaving"]).rows(
            &self.daemons,
            |daemon| {
                vec![
                    daemon.id.clone(),
                    daemon.zone.clone(),
                    daemon.address.clone(),
                    daemon.revision.to_string(),
                    yes_no(daemon.leased),
                    yes_no(daemon.leaving),
                ]
            },
        );
        head + &grid.text()
    }
}

impl Show for generated::ControlStatusAnswer {
    fn show(&self) -> String {
        let head = format!(
            "leader {} in term {}, committed {}, applied {}, log from {}\n\n",
            or_none(&self.leader),
            self.term,
            self.committed,
            self.applied,
            self.first,
        );
        let grid = Grid::new(&["daemon", "address", "role", "matched", "silent (ms)"]).rows(
            &self.voters,
            |voter| {
                vec![
                    voter.id.clone(),
                    voter.address.clone(),
                    voter.role.clone(),
                    voter.matched.to_string(),
                    voter.silent_ms.to_string(),
                ]
            },
        );
        head + &grid.text()
    }
}

impl Show for generated::HistoryAnswer {
    fn show(&self) -> String {
        Grid::new(&[
            "revision", "at (ms)", "operator", "request", "table", "change",
        ])
        .rows(&self.entries, |entry| {
            vec![
                entry.revision.to_string(),
                entry.at_ms.to_string(),
                entry.operator.clone(),
                entry.request_id.clone(),
                entry.table.clone(),
                entry.summary.clone(),
            ]
        })
        .text()
    }
}

impl Show for generated::ExplainAnswer {
    fn show(&self) -> String {
        Grid::new(&["at (ms)", "decision"])
            .rows(&self.lines, |line| {
                let at = (line.at_ms > 0).then_some(line.at_ms);
                vec![optional(at), line.text.clone()]
            })
            .text()
    }
}

impl Show for generated::FleetPlanAnswer {
    fn show(&self) -> String {
        let bounds = self.bounds.unwrap_or_default();
        let head = format!(
            "orders {}, cost ceiling {}, starts a minute {}\n\n",
            if self.paused { "paused" } else { "running" },
            optional(bounds.max_cost),
            optional(bounds.starts_minute),
        );
        let grid = Grid::new(&[
            "order", "action", "service", "zone", "price", "upstream", "state", "reason",
        ])
        .rows(&self.orders, |order| {
            vec![
                or_none(&order.order_id),
                order.action.clone(),
                order.service.clone(),
                order.zone.clone(),
                order.price.clone(),
                or_none(&order.upstream),
                order.state.clone(),
                order.reason.clone(),
            ]
        });
        head + &grid.text()
    }
}

impl Show for generated::UsageShowAnswer {
    fn show(&self) -> String {
        let mut grid = Grid::new(&[
            "window",
            "state",
            "team",
            "class",
            "requests",
            "prompt",
            "output",
            "busy (ms)",
            "late",
        ]);
        for window in &self.windows {
            grid = grid.rows(&window.rows, |row| {
                vec![
                    window.window.to_string(),
                    window.state.clone(),
                    row.team.clone(),
                    row.class.clone(),
                    row.requests.to_string(),
                    row.prompt_tokens.to_string(),
                    row.output_tokens.to_string(),
                    row.busy_ms.to_string(),
                    yes_no(row.late),
                ]
            });
        }
        grid.text()
    }
}
