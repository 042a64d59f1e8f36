//! The route plan: the plan with the highest version stays in force, whatever arrives after it.

use dandelion_control::tables::PlanTable;
use dandelion_control::tables::ReplacePlan;
use dandelion_kernel::ApplyContext;
use dandelion_kernel::Table;
use dandelion_protocol::ids::Revision;
use dandelion_protocol::plan::RoutePlan;
use dandelion_protocol::time::WallMillis;
use quickcheck::quickcheck;

fn replace(table: &mut PlanTable, version: u64, text: &str) -> u64 {
    let context = ApplyContext {
        revision: Revision(1),
        at: WallMillis(0),
        author: "",
    };
    let plan = RoutePlan {
        version,
        ..RoutePlan::default()
    };
    let document = text.as_bytes().to_vec().into();
    table
        .apply(&context, ReplacePlan { plan, document })
        .unwrap()
}

#[test]
fn same_version() {
    let mut table = PlanTable::default();
    assert!(table.plan().is_none());
    assert_eq!(replace(&mut table, 4, "first"), 4);
    assert_eq!(replace(&mut table, 4, "other content"), 4);
    assert_eq!(table.document(), b"first");
}

#[test]
fn highest_version() {
    fn prop(versions: Vec<u8>) -> bool {
        let mut table = PlanTable::default();
        let mut highest = 0;
        versions.into_iter().map(u64::from).all(|version| {
            highest = highest.max(version);
            replace(&mut table, version, &format!("v{version}")) == highest
                && table.document() == format!("v{highest}").as_bytes()
        })
    }
    quickcheck(prop as fn(Vec<u8>) -> bool);
}
