//! Tests of claims: a call runs at most once despite lost, repeated or delayed writes.

use cassialock::core::once::Change;
use cassialock::core::once::Claim;
use cassialock::core::once::ClaimState;
use cassialock::core::once::Effect;
use cassialock::core::once::Outcome;
use cassialock::core::once::RETENTION;
use cassialock::core::once::Shard;
use cassialock::core::time::Time;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

fn claim(key: &str, id: &str) -> Claim {
    Claim {
        key: key.into(),
        id: id.into(),
        body: 1,
        at: Time::from_millis(1_000),
        state: ClaimState::Claimed,
    }
}

fn outcome(text: &str) -> Outcome {
    Outcome {
        status: 200,
        content_type: "text/plain".into(),
        body: Some(text.into()),
    }
}

fn finish(key: &str, id: &str, text: &str) -> Change {
    Change::Finish {
        key: key.into(),
        id: id.into(),
        outcome: outcome(text),
    }
}

fn release(key: &str, id: &str) -> Change {
    Change::Release {
        key: key.into(),
        id: id.into(),
    }
}

#[test]
fn the_first_claim_holds_the_key() {
    let mut shard = Shard::new();
    let first = Change::Claim(claim("k", "1"));
    assert_eq!(shard.apply(&first), Effect::Granted);
    assert_eq!(
        shard.apply(&first),
        Effect::Granted,
        "applying a claim again has the same effect"
    );
    let second = shard.apply(&Change::Claim(claim("k", "2")));
    assert_eq!(second, Effect::Held(claim("k", "1")));
}

#[test]
fn only_the_claimer_changes_a_claim() {
    let mut shard = Shard::new();
    shard.apply(&Change::Claim(claim("k", "1")));
    shard.apply(&finish("k", "2", "wrong"));
    shard.apply(&release("k", "2"));
    assert_eq!(shard.get("k").unwrap().state, ClaimState::Claimed);
    shard.apply(&finish("k", "1", "right"));
    shard.apply(&release("k", "1"));
    assert_eq!(
        shard.get("k").unwrap().state,
        ClaimState::Done(outcome("right"))
    );
}

#[test]
fn a_released_key_can_be_claimed_again() {
    let mut shard = Shard::new();
    shard.apply(&Change::Claim(claim("k", "1")));
    shard.apply(&release("k", "1"));
    assert_eq!(
        shard.apply(&Change::Claim(claim("k", "2"))),
        Effect::Granted
    );
}

#[test]
fn claims_expire_and_a_full_shard_says_so() {
    let mut shard = Shard::new();
    shard.apply(&Change::Claim(claim("k", "1")));
    shard.expire(Time::from_millis(1_000) + RETENTION);
    assert!(shard.is_empty());
    let mut count = 0;
    while shard.apply(&Change::Claim(claim(&format!("key-{count}"), "1"))) == Effect::Granted {
        count += 1;
        assert!(count < 20_000, "the shard accepts claims without a limit");
    }
    let size = serde_json::to_vec(&shard).unwrap().len();
    assert!(size < 1_048_576, "a full shard is {size} bytes long");
}

/// Simulates nodes that race on a store which loses replies and returns stale reads.
struct Race {
    rng: SmallRng,
    stored: Shard,
    version: u64,
    runs: u64,
}

impl Race {
    /// Makes one attempt of a node to claim the key, as `node::claims` does.
    ///
    /// It reads the shard, applies the claim and writes conditionally; after a
    /// lost reply, the next attempt reads the shard again.
    fn try_claim(&mut self, id: &str, seen: &mut Option<(u64, Shard)>) -> Option<Effect> {
        let (version, mut shard) = match seen.take() {
            // Uses a stale copy from an earlier read.
            Some(copy) => copy,
            None => (self.version, self.stored.clone()),
        };
        let effect = shard.apply(&Change::Claim(claim("k", id)));
        if shard == self.stored && version == self.version {
            return Some(effect);
        }
        if version != self.version {
            return None;
        }
        self.stored = shard;
        self.version += 1;
        let is_lost = self.rng.random_bool(0.3);
        (!is_lost).then_some(effect)
    }

    fn run(&mut self) {
        let mut copies: Vec<Option<(u64, Shard)>> = vec![None; 4];
        for step in 0..24 {
            let node = self.rng.random_range(0..4_usize);
            if self.rng.random_bool(0.3) {
                copies[node] = Some((self.version, self.stored.clone()));
                continue;
            }
            let id = format!("{node}-{step}");
            // After a lost reply or a conflict, the node tries again with the same id.
            let effect = (0..4).find_map(|_| self.try_claim(&id, &mut copies[node]));
            match effect {
                Some(Effect::Granted) => self.finish_run(&id),
                Some(_) => {}
                None => {
                    self.stored.apply(&release("k", &id));
                    self.version += 1;
                }
            }
        }
    }

    /// Lets the claimer send the call; it may crash, or the outcome may be lost.
    fn finish_run(&mut self, id: &str) {
        match self.rng.random_range(0..4) {
            0 => {
                // The claimer crashes before it sends the call.
            }
            1 => {
                // No server accepted the call, so the claim is released.
                self.stored.apply(&release("k", id));
                self.version += 1;
            }
            2 => self.runs += 1,
            _ => {
                self.runs += 1;
                self.stored.apply(&finish("k", id, "done"));
                self.version += 1;
            }
        }
    }
}

#[test]
fn racing_claims_with_faults_run_a_call_at_most_once() {
    let mut runs = 0;
    for seed in 0..10_000 {
        let mut race = Race {
            rng: SmallRng::seed_from_u64(seed),
            stored: Shard::new(),
            version: 1,
            runs: 0,
        };
        race.run();
        assert!(
            race.runs <= 1,
            "seed {seed}: the call ran {} times",
            race.runs
        );
        runs += race.runs;
    }
    assert!(
        runs > 5_000,
        "only {runs} calls ran, too few for the test to be meaningful"
    );
}
