//! The spread tables as the request path reads them.

use std::collections::BTreeMap;
use std::sync::Arc;

use dandelion_control::keys::KeyIndex;
use dandelion_control::tables::ConfigTable;
use dandelion_control::tables::MembersTable;
use dandelion_control::tables::PlanTable;
use dandelion_control::tables::StoresTable;
use dandelion_control::tables::UpstreamsTable;
use dandelion_control::tables::VersionsTable;
use dandelion_kernel::TableSet;
use dandelion_protocol::config::Config;
use dandelion_protocol::config::Member;
use dandelion_protocol::config::Role;
use dandelion_protocol::ids::DaemonId;
use dandelion_protocol::ids::JobId;
use dandelion_protocol::ids::Revision;
use dandelion_protocol::ids::UpstreamId;
use dandelion_protocol::ids::ZoneId;
use dandelion_protocol::lives::UpstreamIncarnation;
use dandelion_protocol::plan::RoutePlan;
use dandelion_route::ownership;

/// Daemons up to which a cell counts as small.
const SMALL_CELL: usize = 64;

/// One revision of the spread tables, indexed.
#[derive(Debug, Clone, Default)]
pub struct View {
    /// Revision of the feed.
    pub revision: Revision,
    /// Revision of the configuration's last change.
    pub config_revision: Revision,
    /// Configuration.
    pub config: Arc<Config>,
    /// Keys by digest.
    pub keys: Arc<KeyIndex>,
    /// Daemons, ordered by name.
    pub members: Arc<Vec<Member>>,
    /// Route plan; none before the first one.
    pub plan: Option<Arc<RoutePlan>>,
    /// Upstreams that reported, by name.
    pub lives: Arc<Vec<UpstreamIncarnation>>,
    /// Newest named version of the weights by model.
    pub versions: Arc<BTreeMap<String, u64>>,
    /// Founders of the store group.
    pub founders: Arc<[DaemonId]>,
    /// Store daemons that are being emptied.
    pub retiring: Arc<[DaemonId]>,
    /// Revision of the last change of the upstreams.
    pub lives_revision: Revision,
}

impl View {
    /// Reads the tables; parts that have not changed since `former` are shared with it.
    pub fn read(tables: &TableSet, former: &Self) -> Self {
        let config_revision = change_of::<ConfigTable>(tables);
        let same = former.revision > Revision(0) && config_revision == former.config_revision;
        let (config, keys) = if same {
            (Arc::clone(&former.config), Arc::clone(&former.keys))
        } else {
            let config = tables.table::<ConfigTable>().map(ConfigTable::config);
            let config = Arc::new(config.cloned().unwrap_or_default());
            let keys = Arc::new(KeyIndex::open(&config));
            (config, keys)
        };
        let lives_revision = change_of::<UpstreamsTable>(tables);
        let lives = if former.revision > Revision(0) && lives_revision == former.lives_revision {
            Arc::clone(&former.lives)
        } else {
            let lives = tables.table::<UpstreamsTable>();
            Arc::new(lives.map_or_else(Vec::new, |l| l.lives().cloned().collect()))
        };
        let versions = tables.table::<VersionsTable>();
        let stores = tables.table::<StoresTable>();
        let plan = tables.table::<PlanTable>();
        let members = tables.table::<MembersTable>();
        let members = members.map(|m| m.daemons().values().cloned().collect());
        Self {
            revision: tables.revision(),
            config_revision,
            config,
            keys,
            members: Arc::new(members.unwrap_or_default()),
            plan: plan.and_then(|table| table.plan().cloned()),
            lives,
            versions: Arc::new(versions.map_or_else(BTreeMap::new, |v| v.newest().clone())),
            founders: stores.map_or_else(Arc::default, |s| s.founders().into()),
            retiring: stores.map_or_else(Arc::default, |s| s.retiring().into()),
            lives_revision,
        }
    }

    /// Returns whether periodic messages are spaced out because the cell has many daemons.
    pub fn is_large(&self) -> bool {
        self.members.len() > SMALL_CELL
    }

    /// Iterates over the store daemons that stay.
    pub fn stores(&self) -> impl Iterator<Item = &Member> {
        let stores = self.members.iter().filter(|m| m.role == Role::Store);
        stores.filter(|m| !self.retiring.contains(&m.id))
    }

    /// Returns a daemon by name.
    pub fn member(&self, id: &DaemonId) -> Option<&Member> {
        self.members.iter().find(|m| &m.id == id)
    }

    /// Returns the daemon in charge of a rollout job.
    pub fn coordinator(&self, job: &JobId) -> Option<&DaemonId> {
        let staying = self.members.iter().filter(|m| !m.leaving).map(|m| &m.id);
        ownership::rendezvous(job.as_str().as_bytes(), staying)
    }

    /// Returns the owner of an upstream among the daemons of its zone.
    pub fn owner(&self, zone: &ZoneId, upstream: &UpstreamId) -> Option<&DaemonId> {
        let in_zone = self.members.iter().filter(|m| &m.zone == zone);
        ownership::owner_of(upstream, in_zone)
    }
}

fn change_of<T>(tables: &TableSet) -> Revision
where
    T: dandelion_kernel::Table,
{
    tables
        .last_change(T::NAME)
        .map_or(Revision(0), |c| c.revision)
}
