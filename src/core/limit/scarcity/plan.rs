//! Divides the capacity of a service among ranks and workspaces.

use crate::core::Name;
use crate::core::limit::scarcity::mix::Mix;

/// Fraction of the mean admitted share that every row gets; a route must be served at
/// least a quarter as often as all requests.
const MIN_SHARE: f64 = 0.28;

/// The part of the requests of a rank and workspace that is admitted.
#[derive(Clone, Debug, PartialEq)]
struct Share {
    rank: u8,
    workspace: Name,
    rate: f64,
    share: f64,
}

/// Which part of the requests is admitted, by rank and workspace.
///
/// # Invariants
///
/// `shares` is sorted by rank and workspace.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    shares: Vec<Share>,
    /// Share that every request gets.
    floor: f64,
}

impl Plan {
    /// Divides `room` requests per second among `rate` requests per second that are asked
    /// for; ranks above the lowest may use `higher_room`.
    ///
    /// Higher ranks come first. Within a rank, workspaces get equal rates, and what one
    /// does not use is divided among the others (max-min fairness).
    pub fn new(mix: &Mix, rate: f64, room: f64, higher_room: f64) -> Self {
        let mut shares: Vec<Share> = Vec::new();
        let total: f64 = mix.rows().iter().map(|row| row.count).sum();
        for row in mix.rows() {
            let part = rate * row.count / total.max(f64::MIN_POSITIVE);
            match shares.last_mut() {
                Some(last) if last.rank == row.rank && last.workspace == row.workspace => {
                    last.rate += part;
                }
                _ => shares.push(Share {
                    rank: row.rank,
                    workspace: row.workspace.clone(),
                    rate: part,
                    share: 0.0,
                }),
            }
        }
        let mean = (room / rate.max(f64::MIN_POSITIVE)).min(1.0);
        let floor = mean * MIN_SHARE;
        let lowest = shares.last().map(|share| share.rank);
        let mut used = 0.0;
        let mut below = rate;
        for group in shares.chunk_by_mut(|a, b| a.rank == b.rank) {
            let offered: f64 = group.iter().map(|share| share.rate).sum();
            below -= offered;
            let is_lowest = group.first().map(|share| share.rank) == lowest;
            let available = if is_lowest { room } else { higher_room };
            // The floor of the ranks below is set aside.
            let left = (available - used - floor * below.max(0.0)).max(floor * offered);
            divide(group, left);
            for share in group.iter_mut() {
                share.share = share.share.max(floor);
                used += share.share * share.rate;
            }
        }
        Self { shares, floor }
    }

    /// Returns the admitted share of the requests of a rank and workspace, and the share
    /// that every request gets.
    pub fn share(&self, rank: u8, workspace: &str) -> (f64, f64) {
        let key = (rank, workspace);
        let found = self
            .shares
            .binary_search_by(|share| (share.rank, &*share.workspace).cmp(&key));
        let share = match found {
            Ok(index) => self.shares[index].share,
            // What was not seen uses less than its part, and gets no less than lower ranks.
            Err(_) => {
                let same = self.shares.iter().filter(|share| share.rank >= rank);
                same.map(|share| share.share).fold(self.floor, f64::max)
            }
        };
        (share, self.floor)
    }

    /// Returns whether all requests are admitted.
    pub fn admits_all(&self) -> bool {
        self.shares.iter().all(|share| share.share >= 1.0)
    }
}

/// Divides the rate `left` among the rows of one rank.
fn divide(group: &mut [Share], mut left: f64) {
    let mut order: Vec<usize> = (0..group.len()).collect();
    order.sort_by(|a, b| group[*a].rate.total_cmp(&group[*b].rate));
    let mut count = group.len();
    for index in order {
        let share = &mut group[index];
        let granted = share.rate.min(left / count as f64);
        share.share = if share.rate > 0.0 {
            granted / share.rate
        } else {
            1.0
        };
        left -= granted;
        count -= 1;
    }
}
