//! What the callers of one entry ask for, by route, rank and workspace.
//!
//! Callers choose entries at random, so the mix of one entry represents that of all.

use std::time::Duration;

use crate::core::Name;
use crate::core::time::Time;

/// Time constant of the counts; one of 62 entries sees some 80 requests in it.
const TIME_CONSTANT: Duration = Duration::from_secs(10);

/// Count below which a row is dropped.
const MIN_COUNT: f64 = 0.02;

/// Largest number of rows; further requests count with the rank of an existing row.
const MAX_ROWS: usize = 512;

/// The requests of a route and a workspace at one rank.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    /// Rank of the requests; 0 is first.
    pub rank: u8,
    /// Workspace of the requests.
    pub workspace: Name,
    /// Route of the requests.
    pub route: Name,
    /// Objective of the route for the time to the first byte.
    pub objective: Duration,
    /// Decayed count.
    pub count: f64,
}

/// Counts the requests of one service at one entry.
///
/// # Invariants
///
/// `rows` is sorted by rank, workspace and route.
#[derive(Clone, Debug, Default)]
pub struct Mix {
    rows: Vec<Row>,
    decayed_at: Time,
}

impl Mix {
    /// Creates a mix without requests.
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts a request that arrives.
    pub fn count(&mut self, rank: u8, workspace: &Name, route: &Name, objective: Duration) {
        let key = (rank, workspace, route);
        let found = self
            .rows
            .binary_search_by(|row| (row.rank, &row.workspace, &row.route).cmp(&key));
        match found {
            Ok(index) => {
                self.rows[index].count += 1.0;
                self.rows[index].objective = objective;
            }
            Err(index) if self.rows.len() < MAX_ROWS => self.rows.insert(
                index,
                Row {
                    rank,
                    workspace: workspace.clone(),
                    route: route.clone(),
                    objective,
                    count: 1.0,
                },
            ),
            Err(index) => {
                let nearest = index.min(self.rows.len() - 1);
                self.rows[nearest].count += 1.0;
            }
        }
    }

    /// Reduces the counts by the time that has passed.
    pub fn decay(&mut self, now: Time) {
        let elapsed = now.since(self.decayed_at).as_secs_f64();
        self.decayed_at = now;
        let factor = (-elapsed / TIME_CONSTANT.as_secs_f64()).exp();
        self.rows.iter_mut().for_each(|row| row.count *= factor);
        self.rows.retain(|row| row.count >= MIN_COUNT);
    }

    /// Returns the rows, sorted by rank, workspace and route.
    pub fn rows(&self) -> &[Row] {
        &self.rows
    }

    /// Returns the requests per second at this entry.
    pub fn rate(&self) -> f64 {
        let count: f64 = self.rows.iter().map(|row| row.count).sum();
        count / TIME_CONSTANT.as_secs_f64()
    }

    /// Returns the row of the lowest rank with the shortest objective.
    pub fn lowest(&self) -> Option<&Row> {
        let rank = self.rows.last()?.rank;
        let lowest = self.rows.iter().filter(|row| row.rank == rank);
        lowest.min_by_key(|row| row.objective)
    }

    /// Returns the fraction of the requests whose rank is above the lowest.
    pub fn higher(&self) -> f64 {
        let lowest = self.rows.last().map(|row| row.rank);
        let higher = self.rows.iter().filter(|row| Some(row.rank) < lowest);
        let all: f64 = self.rows.iter().map(|row| row.count).sum();
        higher.map(|row| row.count).sum::<f64>() / all.max(f64::MIN_POSITIVE)
    }

    /// Returns the shortest objective of any route.
    pub fn shortest_objective(&self) -> Option<Duration> {
        self.rows.iter().map(|row| row.objective).min()
    }
}
