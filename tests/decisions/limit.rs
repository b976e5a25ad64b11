//! Admission: fairness, deadlines, bounds.

use std::time::Duration;

use cassialock::core::limit::PendingRequest;
use cassialock::core::limit::Priority;
use cassialock::core::limit::queue::AdmissionQueue;
use cassialock::core::limit::queue::SubmitOutcome;
use cassialock::core::limit::token_bucket::TokenBucket;
use cassialock::core::refusal::Reason;
use cassialock::core::time::Time;

fn ticket(id: u64, workspace: &str, weight: u32, priority: Priority) -> PendingRequest {
    PendingRequest {
        id,
        workspace: workspace.into(),
        weight,
        work: 100,
        deadline: Time::from_millis(1_000_000),
        service_time: Duration::from_millis(100),
        priority,
    }
}

#[test]
fn workspaces_share_by_weight_and_none_starves() {
    let mut gate = AdmissionQueue::new();
    let now = Time::default();
    for id in 0..400 {
        let offer = gate.submit(ticket(id, "large", 3, Priority::Panel), 0, now);
        assert_eq!(offer, SubmitOutcome::Queued);
    }
    for id in 1_000..1_400 {
        gate.submit(ticket(id, "small", 1, Priority::Panel), 0, now);
    }
    let started = gate.dequeue(200);
    let small = started.iter().filter(|id| **id >= 1_000).count();
    assert!(
        (45..=55).contains(&small),
        "the small one got {small} of 200"
    );
}

#[test]
fn a_newcomer_is_not_held_back_by_what_others_used_before() {
    let mut gate = AdmissionQueue::new();
    let now = Time::default();
    for id in 0..100 {
        gate.submit(ticket(id, "early", 1, Priority::Panel), 0, now);
    }
    gate.dequeue(50);
    gate.submit(ticket(900, "late", 1, Priority::Panel), 0, now);
    assert!(gate.dequeue(3).contains(&900));
}

#[test]
fn priorities_go_first() {
    let mut gate = AdmissionQueue::new();
    let now = Time::default();
    gate.submit(ticket(1, "w", 1, Priority::Batch), 0, now);
    gate.submit(ticket(2, "w", 1, Priority::Panel), 0, now);
    gate.submit(ticket(3, "w", 1, Priority::Stream), 0, now);
    assert_eq!(gate.dequeue(3), [3, 2, 1]);
}

#[test]
fn what_cannot_end_in_time_is_refused_at_once() {
    let mut gate = AdmissionQueue::new();
    let now = Time::from_millis(1_000);
    let mut late = ticket(1, "w", 1, Priority::Panel);
    late.deadline = now + Duration::from_millis(99);
    let SubmitOutcome::Refused(refusal) = gate.submit(late, 8, now) else {
        panic!("it was not refused");
    };
    assert_eq!(refusal.reason, Reason::Deadline);
}

#[test]
fn the_predicted_wait_counts() {
    let mut gate = AdmissionQueue::new();
    let start = Time::from_millis(10_000);
    // 1,000 tokens a second get done.
    for step in 1..=8 {
        gate.record_completed(500, start + Duration::from_millis(500 * step));
    }
    let now = start + Duration::from_secs(4);
    for id in 0..50 {
        gate.submit(ticket(id, "w", 1, Priority::Panel), 0, now);
    }
    let mut hurried = ticket(90, "w", 1, Priority::Panel);
    hurried.deadline = now + Duration::from_secs(4);
    assert!(matches!(
        gate.submit(hurried, 0, now),
        SubmitOutcome::Refused(_)
    ));
    let mut patient = ticket(91, "w", 1, Priority::Panel);
    patient.deadline = now + Duration::from_secs(7);
    assert_eq!(gate.submit(patient, 0, now), SubmitOutcome::Queued);
}

#[test]
fn the_queue_is_bounded_in_work() {
    let mut gate = AdmissionQueue::new();
    let now = Time::default();
    let mut refused = 0;
    for id in 0..10_000 {
        let workspace = format!("w{}", id % 4);
        let offer = gate.submit(ticket(id, &workspace, 1, Priority::Panel), 0, now);
        refused += u64::from(matches!(offer, SubmitOutcome::Refused(_)));
    }
    assert_eq!(gate.queued_work(), 200_000);
    assert_eq!(refused, 8_000);
}

#[test]
fn one_workspace_fills_half_of_the_queue_at_most() {
    let mut gate = AdmissionQueue::new();
    let now = Time::default();
    let refusals: Vec<Reason> = (0..2_000)
        .filter_map(
            |id| match gate.submit(ticket(id, "w", 1, Priority::Panel), 0, now) {
                SubmitOutcome::Refused(refusal) => Some(refusal.reason),
                _ => None,
            },
        )
        .collect();
    assert_eq!(refusals.len(), 1_000);
    assert!(refusals.iter().all(|r| *r == Reason::WorkspaceLimit));
}

#[test]
fn expired_and_cancelled_requests_leave_no_work_behind() {
    let mut gate = AdmissionQueue::new();
    let now = Time::from_millis(1_000);
    let mut short = ticket(1, "w", 1, Priority::Panel);
    short.deadline = now + Duration::from_millis(500);
    gate.submit(short, 0, now);
    gate.submit(ticket(2, "w", 1, Priority::Panel), 0, now);
    assert_eq!(gate.expire(now + Duration::from_millis(450)), [1]);
    gate.cancel(2);
    assert!(gate.is_empty());
    assert_eq!(gate.queued_work(), 0);
}

#[test]
fn a_bucket_keeps_its_rate() {
    let mut now = Time::from_millis(1_000);
    let mut bucket = TokenBucket::new(100.0, Duration::from_secs(2), now);
    let mut taken = 0;
    for _ in 0..1_000 {
        now = now + Duration::from_millis(10);
        taken += i32::from(bucket.take(10.0, now).is_ok());
    }
    // The burst of 200 and ten seconds at 100, in steps of 10.
    assert!((118..=121).contains(&taken), "{taken} were taken");
}

#[test]
fn an_amount_larger_than_the_bucket_passes_when_it_is_full() {
    let now = Time::from_millis(1_000);
    let mut bucket = TokenBucket::new(10.0, Duration::from_secs(1), now);
    assert!(bucket.take(50.0, now).is_ok());
    let wait = bucket.take(1.0, now).unwrap_err();
    assert_eq!(wait, Duration::from_millis(4_100));
}
