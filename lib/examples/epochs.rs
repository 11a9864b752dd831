//! Embeds the epoch keeper: two nodes keep a budget's shares consistent while a member is added.
//!
//! The table is a local variable, and messages are passed by function calls. Run it with
//! `cargo run -p damaskloom-lib --example epochs`.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use damaskloom_lib::epoch::{EPOCH_ROW, EpochAction, EpochKeeper, EpochSettings};
use damaskloom_lib::ids::{Incarnation, NodeId};
use damaskloom_lib::platform::{CommitOutcome, Mutation, RowKey, RowVersion, TableRow};
use damaskloom_lib::registration::MemberRecord;
use damaskloom_lib::time::MonoTime;

const RATE: u64 = 1_000;
const STEP_MS: u64 = 100;

fn main() {
    let records = ["vm-1", "vm-2"].map(|vm| MemberRecord {
        node: NodeId {
            vm: vm.parse().expect("a VM name"),
            incarnation: Incarnation(1),
        },
        data_centre: "khatgal".parse().expect("a data centre name"),
        peer_address: SocketAddr::from(([127, 0, 0, 1], 7001)),
        caller_address: SocketAddr::from(([127, 0, 0, 1], 8001)),
        token: 0,
    });
    let keeper =
        |record: &MemberRecord| EpochKeeper::new(EpochSettings::default(), record.node.clone(), 1);
    let mut keepers = records.each_ref().map(keeper);
    keepers[0].set_candidates([records[0].clone()]);
    let mut table: Option<TableRow> = None;
    let mut now = MonoTime::ZERO;
    for round in 0..60 {
        if round == 20 {
            keepers[0].set_candidates(records.clone());
        }
        now = now + Duration::from_millis(STEP_MS);
        let mut pending = VecDeque::new();
        for (index, keeper) in keepers.iter_mut().enumerate() {
            pending.extend(keeper.tick(now).into_iter().map(|action| (index, action)));
        }
        while let Some((index, action)) = pending.pop_front() {
            let node = records[index].node.clone();
            let (target, more) = match action {
                EpochAction::ReadRow => (index, keepers[index].on_row(Ok(table.clone()))),
                EpochAction::Commit { call, transaction } => {
                    // There is no other writer, so that the conditions always hold.
                    let version = RowVersion(table.map_or(1, |row| row.version.0 + 1));
                    let key = RowKey::from(EPOCH_ROW);
                    table = transaction.mutations.into_iter().find_map(|put| match put {
                        Mutation::Put(_, value) => Some(TableRow {
                            key: key.clone(),
                            value,
                            version,
                        }),
                        Mutation::Delete(_) => None,
                    });
                    (
                        index,
                        keepers[index].on_commit(call, Ok(CommitOutcome::Committed)),
                    )
                }
                EpochAction::Send { to, message } => {
                    let target = usize::from(to == records[1].node);
                    (target, keepers[target].handle(&node, message))
                }
                EpochAction::Entered(epoch) => {
                    println!("{now}: {node} enters epoch {epoch}");
                    continue;
                }
                EpochAction::Settled(epoch) => {
                    let share = |at: usize| {
                        let basis = keepers[at].basis();
                        basis.share_of(b"customer/a", RATE, 2, &records[at].node)
                    };
                    println!(
                        "{now}: {node} settles epoch {epoch}: {} and {}",
                        share(0),
                        share(1)
                    );
                    continue;
                }
                EpochAction::Superseded(by) => {
                    println!("{now}: {node} is superseded by {by}");
                    continue;
                }
            };
            pending.extend(more.into_iter().map(|action| (target, action)));
        }
    }
}
