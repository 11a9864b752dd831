//! The rules of loans, which keep two nodes from using the same part of a budget.

use std::time::Duration;

use damaskloom_lib::budget::{
    BudgetId, BudgetTerms, BudgetView, EpochView, MicroUnits, RefillRate, SplitMode,
};
use damaskloom_lib::escrow::NodeEscrow;
use damaskloom_lib::ids::{Epoch, Incarnation, NodeId, Revision};
use damaskloom_lib::loan::{EscrowMessage, LoanAmount, TransferSequence};
use damaskloom_lib::node_bucket::{NodeBucket, TokenRequester};
use damaskloom_lib::time::MonoTime;

use crate::escrow_network::node_id;
use crate::slot_fleet::{SlotFleet, budget};
use crate::test_shares::{customer, terms};

const LOAN_TERM: Duration = Duration::from_secs(30);

fn view(epoch: u64, holders: &[NodeId], terms: BudgetTerms) -> BudgetView {
    let epoch = EpochView {
        epoch: Epoch(epoch),
        holders: holders.to_vec(),
        ..EpochView::default()
    };
    BudgetView {
        epoch,
        terms,
        ..BudgetView::default()
    }
}

fn node_bucket(now: MonoTime, node: &NodeId, holders: &[NodeId]) -> NodeBucket {
    let budget = BudgetId::CustomerRate(customer("acme"));
    let view = view(1, holders, terms(10, 10));
    NodeBucket::new(now, budget, node.clone(), view, SplitMode::Owners)
}

/// Lends half of an owner's share and returns the grant, which the peer has not received yet.
fn lend(now: MonoTime, owner: &mut NodeBucket, peer: &mut NodeBucket) -> EscrowMessage {
    let sequence = &mut TransferSequence::new(Incarnation(1));
    let borrower = peer.escrow().node().clone();
    let requested = LoanAmount {
        refill: RefillRate::from_units(5),
        capacity: MicroUnits::from_units(5),
        level: MicroUnits::from_units(5),
    };
    let lender = owner.escrow().node().clone();
    let (_, message) = peer.request_loan(now, lender, requested, false, sequence);
    let EscrowMessage::LoanRequest {
        request, partial, ..
    } = message
    else {
        panic!("a loan was requested");
    };
    let requester = TokenRequester {
        borrower,
        request,
        partial,
    };
    let reserved = LoanAmount::default();
    owner
        .lend(now, requester, requested, reserved, sequence)
        .1
        .1
}

fn accept(now: MonoTime, peer: &mut NodeBucket, owner: &NodeId, grant: &EscrowMessage) -> bool {
    let EscrowMessage::Grant {
        request,
        grant,
        epoch,
        amount,
        ..
    } = grant
    else {
        panic!("a grant was made");
    };
    peer.accept(now, owner, *request, *grant, *epoch, *amount)
        .is_some()
}

/// Guards against tokens that refill from a loan after its end, since the process was paused when
/// it ended.
#[test]
fn a_pause_beyond_the_loan_gains_no_refill_from_it() {
    let nodes = [node_id(0, 1), node_id(1, 1)];
    let start = MonoTime::from_millis(100_000);
    let mut owner = node_bucket(start, &nodes[0], &nodes);
    let mut peer = node_bucket(start, &nodes[1], &nodes);
    let grant = lend(start, &mut owner, &mut peer);
    assert!(accept(start, &mut peer, &nodes[0], &grant));
    let before = start + Duration::from_millis(1_999);
    peer.refresh(before);
    while peer.spend(MicroUnits::from_units(1)) {}
    let left = peer.level();

    let after = before + Duration::from_millis(500);
    peer.refresh(after);

    let borrowed = MicroUnits(5_000);
    let own = peer
        .escrow()
        .unlent_share()
        .refill
        .over(after.since(before));
    assert!(peer.level() <= left + own + borrowed, "{}", peer.level());
}

/// Guards against tokens that are used twice: a grant is delivered twice, or after the lender's
/// share was assigned to another node.
#[test]
fn a_grant_is_accepted_once_and_not_from_an_earlier_epoch() {
    let nodes = [node_id(0, 1), node_id(1, 1)];
    let now = MonoTime::from_millis(100_000);
    let mut owner = node_bucket(now, &nodes[0], &nodes);
    let mut peer = node_bucket(now, &nodes[1], &nodes);
    let first = lend(now, &mut owner, &mut peer);
    assert!(accept(now, &mut peer, &nodes[0], &first));
    assert!(!accept(now, &mut peer, &nodes[0], &first));

    // The owner may have left by the time that the peer enters the next epoch.
    let mut owner = node_bucket(now, &nodes[0], &nodes);
    let late = lend(now, &mut owner, &mut peer);
    peer.adopt(now, view(2, &nodes[1..], terms(10, 10)));
    assert!(!accept(now, &mut peer, &nodes[0], &late));
    assert!(peer.escrow().share().capacity <= MicroUnits::from_units(10));
}

/// Guards against an epoch that is acknowledged too early: the owner's share is reassigned while a
/// borrower still uses a part of it.
#[test]
fn a_node_conforms_to_an_epoch_only_without_loans_beyond_its_share() {
    let nodes = [node_id(0, 1), node_id(1, 1)];
    let now = MonoTime::from_millis(100_000);
    let mut owner = node_bucket(now, &nodes[0], &nodes);
    let mut peer = node_bucket(now, &nodes[1], &nodes);
    let grant = lend(now, &mut owner, &mut peer);
    assert!(accept(now, &mut peer, &nodes[0], &grant));

    let returned = peer.adopt(now, view(2, &nodes[1..], terms(10, 10)));
    assert!(peer.escrow().conforms());
    owner.adopt(now, view(2, &nodes[1..], terms(10, 10)));
    assert!(!owner.escrow().conforms());
    let [(_, EscrowMessage::Return { grant, level, .. })] = returned.as_slice() else {
        panic!("the loan is returned: {returned:?}");
    };
    owner.accept_return(now, &nodes[1], *grant, *level);
    assert!(owner.escrow().conforms());
    assert_eq!(owner.level(), MicroUnits::ZERO);
}

/// Guards against a borrower that uses a loan after its lender has reclaimed it, since the answer
/// to the renewal arrived late.
#[test]
fn a_renewed_term_counts_from_the_request() {
    let nodes = [node_id(0, 1), node_id(1, 1)];
    let start = MonoTime::from_millis(100_000);
    let slots = view(1, &nodes, BudgetTerms::from_units(Revision(1), 2));
    let escrow =
        |node: &NodeId| NodeEscrow::new(budget(0), node.clone(), slots.clone(), SplitMode::Owners);
    let (mut owner, mut peer) = (escrow(&nodes[0]), escrow(&nodes[1]));
    let sequence = &mut TransferSequence::new(Incarnation(1));
    let requested = LoanAmount {
        capacity: MicroUnits::from_units(1),
        level: MicroUnits::from_units(1),
        ..LoanAmount::default()
    };
    let (_, request) = peer.request_loan(start, nodes[0].clone(), requested, false, sequence);
    let EscrowMessage::LoanRequest { request, .. } = request else {
        panic!("a loan was requested");
    };
    let (_, grant) = owner.grant(start, nodes[1].clone(), request, requested, sequence);
    let EscrowMessage::Grant { grant, epoch, .. } = grant else {
        panic!("a grant was made");
    };
    assert!(
        peer.accept(start, &nodes[0], request, grant, epoch, requested)
            .is_some()
    );

    let requested_at = start + LOAN_TERM * 2 / 3;
    let renewals = peer.renew(requested_at, sequence);
    let [(_, EscrowMessage::Renew { request, .. })] = renewals.as_slice() else {
        panic!("the loan is renewed: {renewals:?}");
    };
    peer.record_extension(requested_at + LOAN_TERM / 6, &nodes[0], *request, grant);

    let two = MicroUnits::from_units(2);
    assert_eq!(peer.share_until(requested_at + LOAN_TERM).capacity, two);
    let beyond = requested_at + LOAN_TERM + Duration::from_micros(1);
    assert!(peer.share_until(beyond).capacity < two);
}

/// Guards against the extension of the wrong loan: two lenders number their grants alike.
#[test]
fn a_renewal_extends_no_loan_of_another_lender_with_the_same_id() {
    let nodes = [node_id(0, 1), node_id(1, 1), node_id(2, 1)];
    let start = MonoTime::from_millis(100_000);
    let slots = view(1, &nodes, BudgetTerms::from_units(Revision(1), 3));
    let budget = budget(0);
    let escrow = |node: &NodeId| {
        NodeEscrow::new(
            budget.clone(),
            node.clone(),
            slots.clone(),
            SplitMode::Owners,
        )
    };
    let mut peer = escrow(&nodes[2]);
    let sequence = &mut TransferSequence::new(Incarnation(1));
    let requested = LoanAmount {
        capacity: MicroUnits::from_units(1),
        level: MicroUnits::from_units(1),
        ..LoanAmount::default()
    };
    // The first grants of both owners have the same id.
    for owner in &nodes[..2] {
        let (_, request) = peer.request_loan(start, owner.clone(), requested, false, sequence);
        let EscrowMessage::LoanRequest { request, .. } = request else {
            panic!("a loan was requested");
        };
        let grants = &mut TransferSequence::new(Incarnation(1));
        let (_, grant) = escrow(owner).grant(start, nodes[2].clone(), request, requested, grants);
        let EscrowMessage::Grant { grant, epoch, .. } = grant else {
            panic!("a grant was made");
        };
        assert!(
            peer.accept(start, owner, request, grant, epoch, requested)
                .is_some()
        );
    }
    let requested_at = start + LOAN_TERM * 2 / 3;
    let renewals = peer.renew(requested_at, sequence);
    assert_eq!(renewals.len(), 2, "both loans are renewed");
    let (lender, EscrowMessage::Renew { request, grant, .. }) = &renewals[1] else {
        panic!("the loan is renewed: {renewals:?}");
    };
    peer.record_extension(requested_at, lender, *request, *grant);
    let beyond = start + LOAN_TERM + Duration::from_secs(1);
    assert_eq!(peer.share_until(beyond).capacity, MicroUnits::from_units(2));
    peer.expire_borrowed(beyond);
    assert_eq!(peer.share().capacity, MicroUnits::from_units(2));
    let remaining = renewals[1].0.clone();
    assert_eq!(peer.lenders().collect::<Vec<_>>(), [&remaining]);
}

/// Guards against two holders of one slot when borrower and owner are partitioned and their clocks
/// drift apart.
#[test]
fn an_unreachable_borrower_stops_before_the_owner_reclaims_the_slot() {
    // Short requests test the drift margin, long ones the check against the deadline.
    probe_end_of_loan(50_000);
    probe_end_of_loan(300_000);
}

fn probe_end_of_loan(span: u64) {
    // The borrower's clock is as slow, and the owner's as fast, as the drift allows.
    let mut fleet = SlotFleet::new(2, 1, 2, 1);
    fleet.nodes[0].clock_ppm = 1_001_000;
    fleet.nodes[1].clock_ppm = 999_000;
    const HELD_MICROS: u64 = 29_000_000;
    assert!(fleet.acquire(1, &budget(0), HELD_MICROS));
    assert!(!fleet.acquire(1, &budget(0), HELD_MICROS));
    fleet.advance(5_000);
    assert!(fleet.acquire(1, &budget(0), HELD_MICROS));
    fleet.net.blocked_links = [(0, 1), (1, 0)].into();
    fleet.advance(HELD_MICROS - 100_000);
    fleet.tick_micros = 1_000;

    let (mut from_owner, mut from_peer) = (0, 0);
    for _ in 0..1_500 {
        from_peer += u32::from(fleet.acquire(1, &budget(0), span));
        from_owner += u32::from(fleet.acquire(0, &budget(0), span));
        assert!(fleet.occupied(&budget(0)) <= 2);
        fleet.advance(1_000);
    }
    assert!(
        from_peer >= 4 && from_owner >= 1,
        "{from_peer} {from_owner}"
    );
}

/// Guards against a late message of an earlier start that is taken for one of the new start.
#[test]
fn a_restarted_process_reuses_no_transfer_id() {
    let mut before = TransferSequence::new(Incarnation(1));
    let mut after = TransferSequence::new(Incarnation(2));
    let last = (0..10_000).map(|_| before.next_id()).max();
    assert!(last < Some(after.next_id()));
}

/// Guards against shares that exceed the larger budget while some nodes use old terms with fewer
/// owners.
#[test]
fn a_changed_number_of_owners_waits_until_the_old_terms_are_settled() {
    let nodes: Vec<NodeId> = (0..12).map(|index| node_id(index, 1)).collect();
    let (old, new) = (terms(12, 4), terms(12, 60));
    let mut changed = view(1, &nodes, new);
    changed.unsettled_terms = vec![old];
    for mix in 0..1_u32 << 12 {
        let share = |(index, node): (usize, &NodeId)| match mix >> index & 1 {
            0 => view(1, &nodes, old).share_of(node, SplitMode::Owners),
            _ => changed.share_of(node, SplitMode::Owners),
        };
        let refill: u64 = nodes.iter().enumerate().map(|n| share(n).refill.0).sum();
        assert!(refill <= new.refill.0);
    }
}
