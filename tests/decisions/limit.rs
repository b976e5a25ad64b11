//! Admission control: fairness, deadlines and bounds.

use std::time::Duration;

use cassialock::core::limit::PendingRequest;
use cassialock::core::limit::Priority;
use cassialock::core::limit::queue::AdmissionQueue;
use cassialock::core::limit::queue::SubmitOutcome;
use cassialock::core::limit::token_bucket::TokenBucket;
use cassialock::core::refusal::Reason;
use cassialock::core::time::Time;

fn request(id: u64, workspace: &str, weight: u32, priority: Priority) -> PendingRequest {
    PendingRequest {
        id,
        workspace: workspace.into(),
        weight,
        work: 100,
        deadline: Time::from_millis(1_000_000),
        service_time: Duration::from_millis(100),
        rank: priority.rank(),
    }
}

#[test]
fn workspaces_share_by_weight_and_none_starves() {
    let mut queue = AdmissionQueue::new();
    let now = Time::default();
    for id in 0..400 {
        let outcome = queue.submit(request(id, "large", 3, Priority::Panel), 0, now);
        assert_eq!(outcome, SubmitOutcome::Queued);
    }
    for id in 1_000..1_400 {
        queue.submit(request(id, "small", 1, Priority::Panel), 0, now);
    }
    let started = queue.dequeue(200);
    let small = started.iter().filter(|id| **id >= 1_000).count();
    assert!(
        (45..=55).contains(&small),
        "the small workspace got {small} of 200"
    );
}

#[test]
fn a_new_workspace_is_not_delayed_by_earlier_use_of_others() {
    let mut queue = AdmissionQueue::new();
    let now = Time::default();
    for id in 0..100 {
        queue.submit(request(id, "early", 1, Priority::Panel), 0, now);
    }
    queue.dequeue(50);
    queue.submit(request(900, "late", 1, Priority::Panel), 0, now);
    assert!(queue.dequeue(3).contains(&900));
}

#[test]
fn higher_priorities_start_first() {
    let mut queue = AdmissionQueue::new();
    let now = Time::default();
    queue.submit(request(1, "w", 1, Priority::Batch), 0, now);
    queue.submit(request(2, "w", 1, Priority::Panel), 0, now);
    queue.submit(request(3, "w", 1, Priority::Stream), 0, now);
    assert_eq!(queue.dequeue(3), [3, 2, 1]);
}

#[test]
fn a_request_that_cannot_meet_its_deadline_is_refused_at_once() {
    let mut queue = AdmissionQueue::new();
    let now = Time::from_millis(1_000);
    let mut late = request(1, "w", 1, Priority::Panel);
    late.deadline = now + Duration::from_millis(99);
    let SubmitOutcome::Refused(refusal) = queue.submit(late, 8, now) else {
        panic!("the request was not refused");
    };
    assert_eq!(refusal.reason, Reason::Deadline);
}

#[test]
fn a_request_is_refused_if_its_predicted_wait_is_too_long() {
    let mut queue = AdmissionQueue::new();
    let start = Time::from_millis(10_000);
    // Work completes at 1,000 tokens per second.
    for step in 1..=8 {
        queue.record_completed(500, start + Duration::from_millis(500 * step));
    }
    let now = start + Duration::from_secs(4);
    for id in 0..50 {
        queue.submit(request(id, "w", 1, Priority::Panel), 0, now);
    }
    let mut urgent = request(90, "w", 1, Priority::Panel);
    urgent.deadline = now + Duration::from_secs(4);
    assert!(matches!(
        queue.submit(urgent, 0, now),
        SubmitOutcome::Refused(_)
    ));
    let mut patient = request(91, "w", 1, Priority::Panel);
    patient.deadline = now + Duration::from_secs(7);
    assert_eq!(queue.submit(patient, 0, now), SubmitOutcome::Queued);
}

#[test]
fn the_queue_is_bounded_in_work() {
    let mut queue = AdmissionQueue::new();
    let now = Time::default();
    let mut refused = 0;
    for id in 0..10_000 {
        let workspace = format!("w{}", id % 4);
        let outcome = queue.submit(request(id, &workspace, 1, Priority::Panel), 0, now);
        refused += u64::from(matches!(outcome, SubmitOutcome::Refused(_)));
    }
    assert_eq!(queue.queued_work(), 200_000);
    assert_eq!(refused, 8_000);
}

#[test]
fn one_workspace_fills_half_of_the_queue_at_most() {
    let mut queue = AdmissionQueue::new();
    let now = Time::default();
    let refusals: Vec<Reason> = (0..2_000)
        .filter_map(
            |id| match queue.submit(request(id, "w", 1, Priority::Panel), 0, now) {
                SubmitOutcome::Refused(refusal) => Some(refusal.reason),
                _ => None,
            },
        )
        .collect();
    assert_eq!(refusals.len(), 1_000);
    assert!(refusals.iter().all(|r| *r == Reason::WorkspaceLimit));
}

#[test]
fn expired_and_cancelled_requests_leave_no_queued_work() {
    let mut queue = AdmissionQueue::new();
    let now = Time::from_millis(1_000);
    let mut short = request(1, "w", 1, Priority::Panel);
    short.deadline = now + Duration::from_millis(500);
    queue.submit(short, 0, now);
    queue.submit(request(2, "w", 1, Priority::Panel), 0, now);
    assert_eq!(queue.expire(now + Duration::from_millis(450)), [1]);
    queue.cancel(2);
    assert!(queue.is_empty());
    assert_eq!(queue.queued_work(), 0);
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
    // The burst of 200 units plus ten seconds at 100 units per second, in takes
    // of 10.
    assert!((118..=121).contains(&taken), "{taken} takes succeeded");
}

#[test]
fn an_amount_larger_than_the_bucket_passes_when_it_is_full() {
    let now = Time::from_millis(1_000);
    let mut bucket = TokenBucket::new(10.0, Duration::from_secs(1), now);
    assert!(bucket.take(50.0, now).is_ok());
    let wait = bucket.take(1.0, now).unwrap_err();
    assert_eq!(wait, Duration::from_millis(4_100));
}
