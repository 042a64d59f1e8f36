//! The configuration table, keys and the table of daemons.

use dandelion_control::keys::KeyError;
use dandelion_control::keys::KeyIndex;
use dandelion_control::keys::Secret;
use dandelion_control::keys::check_scope;
use dandelion_control::tables::ConfigTable;
use dandelion_control::tables::MembersTable;
use dandelion_kernel::TableSet;
use dandelion_protocol::codec;
use dandelion_protocol::config::CONFIG_TABLE;
use dandelion_protocol::config::ConfigCommand;
use dandelion_protocol::config::Job;
use dandelion_protocol::config::Key;
use dandelion_protocol::config::Member;
use dandelion_protocol::config::Role;
use dandelion_protocol::config::Service;
use dandelion_protocol::config::Team;
use dandelion_protocol::control::MEMBERS_TABLE;
use dandelion_protocol::control::MemberCommand;
use dandelion_protocol::control::Proposal;
use dandelion_protocol::control::Rejection;
use dandelion_protocol::ids::Incarnation;
use dandelion_protocol::ids::RequestId;
use dandelion_protocol::ids::Revision;
use dandelion_protocol::ids::WeightVersion;
use dandelion_protocol::time::Millis;
use dandelion_protocol::time::WallMillis;
use dandelion_protocol::upstream::UpstreamKind;
use serde::Serialize;

struct Fixture {
    tables: TableSet,
    revision: u64,
}

impl Fixture {
    fn open() -> Self {
        let tables = TableSet::open_all();
        let mut fixture = Self {
            tables,
            revision: 0,
        };
        fixture.accept(&ConfigCommand::PutTeam(team("builders")));
        fixture.accept(&ConfigCommand::PutService(service(
            "draft",
            UpstreamKind::Engine,
        )));
        fixture.accept(&ConfigCommand::PutService(service(
            "portal",
            UpstreamKind::Plain,
        )));
        fixture
    }

    fn apply<C>(&mut self, table: &str, command: &C) -> Result<(), Rejection>
    where
        C: Serialize,
    {
        self.revision += 1;
        let proposal = Proposal {
            id: RequestId(u128::from(self.revision)),
            author: "operator-a".to_owned(),
            at: WallMillis(1000 + self.revision),
            expected: None,
            table: table.to_owned(),
            command: codec::encode(command).unwrap(),
        };
        let answer = self.tables.apply(Revision(self.revision), &proposal);
        answer.result.map(|_| ())
    }

    fn config(&mut self, command: &ConfigCommand) -> Result<(), Rejection> {
        self.apply(CONFIG_TABLE, command)
    }

    fn accept(&mut self, command: &ConfigCommand) {
        self.config(command).unwrap();
    }

    /// Requires that a command is rejected and changes nothing.
    fn refuse(&mut self, command: &ConfigCommand) {
        let before = codec::encode(self.table()).unwrap();
        self.config(command).unwrap_err();
        assert_eq!(codec::encode(self.table()).unwrap(), before);
    }

    fn table(&self) -> &ConfigTable {
        self.tables.table().unwrap()
    }
}

fn team(id: &str) -> Team {
    Team {
        id: id.parse().unwrap(),
        weight: 1,
        max_inflight: None,
        token_rate: None,
    }
}

fn service(id: &str, kind: UpstreamKind) -> Service {
    Service {
        id: id.parse().unwrap(),
        kind,
        open: false,
        idempotent: true,
        timeout: Millis::from_secs(60),
        floor: 1,
        ceiling: 4,
    }
}

fn job(id: &str) -> Job {
    Job {
        id: id.parse().unwrap(),
        team: "builders".parse().unwrap(),
        service: "draft".parse().unwrap(),
        group_size: 8,
        step_groups: 4,
        max_staleness: 2,
        token_budget: 1000,
        max_tokens: 100,
        scorer: None,
        ended: false,
    }
}

fn key(id: &str, secret: &Secret) -> Key {
    Key {
        id: id.parse().unwrap(),
        team: "builders".parse().unwrap(),
        digest: secret.digest().to_vec(),
        scopes: Vec::new(),
        expires: None,
    }
}

#[test]
fn withdrawn_key() {
    let mut fixture = Fixture::open();
    let secret = Secret::generate([1; 32]);
    fixture.accept(&ConfigCommand::GrantKey(key("night", &secret)));
    let index = KeyIndex::open(fixture.table().config());
    let found = index.find(fixture.table().config(), secret.text(), WallMillis(5));
    assert_eq!(found.unwrap().id.as_str(), "night");
    fixture.accept(&ConfigCommand::WithdrawKey("night".parse().unwrap()));
    let found = index.find(fixture.table().config(), secret.text(), WallMillis(5));
    assert_eq!(
        found.unwrap_err(),
        KeyError::Unknown,
        "an index from before the withdrawal does not find it"
    );
    fixture.refuse(&ConfigCommand::GrantKey(key("night", &secret)));
    fixture.refuse(&ConfigCommand::GrantKey(key(
        "night",
        &Secret::generate([2; 32]),
    )));
    fixture.accept(&ConfigCommand::GrantKey(key(
        "morning",
        &Secret::generate([2; 32]),
    )));
}

#[test]
fn removed_team() {
    let mut fixture = Fixture::open();
    let secret = Secret::generate([1; 32]);
    fixture.accept(&ConfigCommand::GrantKey(key("night", &secret)));
    fixture.accept(&ConfigCommand::PutJob(job("review")));
    fixture.refuse(&ConfigCommand::RemoveTeam("builders".parse().unwrap()));
    fixture.accept(&ConfigCommand::EndJob("review".parse().unwrap()));
    fixture.accept(&ConfigCommand::RemoveTeam("builders".parse().unwrap()));
    assert!(fixture.table().config().keys.is_empty());
    fixture.accept(&ConfigCommand::PutTeam(team("builders")));
    fixture.refuse(&ConfigCommand::GrantKey(key("night", &secret)));
}

#[test]
fn key_limits() {
    let mut fixture = Fixture::open();
    let secret = Secret::generate([1; 32]);
    let mut short = key("short", &secret);
    short.digest.pop();
    fixture.refuse(&ConfigCommand::GrantKey(short));
    let mut past = key("past", &secret);
    past.expires = Some(WallMillis(900));
    fixture.refuse(&ConfigCommand::GrantKey(past));
    let mut scoped = key("scoped", &secret);
    scoped.scopes = vec!["nothing".parse().unwrap()];
    fixture.refuse(&ConfigCommand::GrantKey(scoped.clone()));
    scoped.scopes = vec!["portal".parse().unwrap()];
    scoped.expires = Some(WallMillis(9000));
    fixture.accept(&ConfigCommand::GrantKey(scoped.clone()));
    fixture.refuse(&ConfigCommand::GrantKey(key("twin", &secret)));
    assert_eq!(
        check_scope(&scoped, &"draft".parse().unwrap()),
        Err(KeyError::Scope)
    );
    assert_eq!(check_scope(&scoped, &"portal".parse().unwrap()), Ok(()));
    let config = fixture.table().config();
    let index = KeyIndex::open(config);
    let found = index.find(config, secret.text(), WallMillis(9000));
    assert_eq!(found.unwrap_err(), KeyError::Expired);
}

#[test]
fn job_rules() {
    let mut fixture = Fixture::open();
    let mut lost = job("lost");
    lost.service = "portal".parse().unwrap();
    fixture.refuse(&ConfigCommand::PutJob(lost));
    fixture.accept(&ConfigCommand::PutJob(job("review")));
    let id = || "review".parse().unwrap();
    fixture.accept(&ConfigCommand::PublishVersion(id(), WeightVersion(5)));
    fixture.refuse(&ConfigCommand::PublishVersion(id(), WeightVersion(5)));
    fixture.refuse(&ConfigCommand::PublishVersion(id(), WeightVersion(4)));
    fixture.refuse(&ConfigCommand::RemoveService("draft".parse().unwrap()));
    fixture.refuse(&ConfigCommand::PutService(service(
        "draft",
        UpstreamKind::Plain,
    )));
    fixture.accept(&ConfigCommand::EndJob(id()));
    fixture.refuse(&ConfigCommand::PutJob(job("review")));
    fixture.refuse(&ConfigCommand::PublishVersion(id(), WeightVersion(6)));
    fixture.accept(&ConfigCommand::RemoveService("draft".parse().unwrap()));
}

#[test]
fn late_drain() {
    let mut fixture = Fixture::open();
    let upstream = || "engine-1".parse().unwrap();
    fixture.accept(&ConfigCommand::Drain(upstream(), Incarnation(4)));
    fixture.refuse(&ConfigCommand::Drain(upstream(), Incarnation(3)));
    fixture.refuse(&ConfigCommand::ForgetDrain(upstream(), Incarnation(3)));
    fixture.accept(&ConfigCommand::ForgetDrain(upstream(), Incarnation(4)));
}

#[test]
fn recorded_changes() {
    let mut fixture = Fixture::open();
    fixture.refuse(&ConfigCommand::PutTeam(Team {
        weight: 0,
        ..team("none")
    }));
    fixture.accept(&ConfigCommand::Poison(7));
    let history = fixture.table().history();
    let seen = history.since(Revision(2)).collect::<Vec<_>>();
    assert_eq!(seen.len(), 2, "only accepted changes");
    assert_eq!(seen[1].author, "operator-a");
    assert_eq!(seen[1].summary, "poison 0000000000000007");
    assert_eq!(seen[1].revision, Revision(5));
}

#[test]
fn older_incarnation() {
    let mut fixture = Fixture::open();
    let member = |number| Member {
        id: "vm-1".parse().unwrap(),
        zone: "zone-1".parse().unwrap(),
        address: "127.0.0.1:1".to_owned(),
        incarnation: Incarnation(number),
        leaving: false,
        role: Role::Entry,
        host: String::new(),
    };
    let leave = |number| MemberCommand::Leave {
        id: "vm-1".parse().unwrap(),
        incarnation: Incarnation(number),
    };
    fixture
        .apply(MEMBERS_TABLE, &MemberCommand::Join(member(5)))
        .unwrap();
    fixture
        .apply(MEMBERS_TABLE, &MemberCommand::Join(member(4)))
        .unwrap_err();
    fixture.apply(MEMBERS_TABLE, &leave(4)).unwrap_err();
    fixture
        .apply(MEMBERS_TABLE, &MemberCommand::Join(member(6)))
        .unwrap();
    fixture.apply(MEMBERS_TABLE, &leave(5)).unwrap_err();
    let known = fixture.tables.table::<MembersTable>().unwrap();
    assert_eq!(known.daemons().values().next(), Some(&member(6)));
    fixture.apply(MEMBERS_TABLE, &leave(6)).unwrap();
    fixture
        .apply(MEMBERS_TABLE, &MemberCommand::Join(member(6)))
        .unwrap_err();
    fixture
        .apply(MEMBERS_TABLE, &MemberCommand::Join(member(7)))
        .unwrap();
}
