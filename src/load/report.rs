//! What came of a run, by steering and kind of request.

use {
    super::plan::{Kind, Plan, Steering},
    crate::sorted::Sorted,
    hdrhistogram::Histogram,
    serde::Serialize,
    std::{fmt::Write, time::Duration},
};

/// Longest latency that is told apart, in microseconds.
const LONGEST_MICROS: u64 = 600_000_000;
const DIGITS: u8 = 3;

/// Latencies and refusals of one kind while a run goes on.
#[derive(Debug)]
pub(super) struct Tally {
    latency: Histogram<u64>,
    refused: Sorted<String, u64>,
}

impl Default for Tally {
    fn default() -> Self {
        let latency = Histogram::new_with_bounds(1, LONGEST_MICROS, DIGITS);
        Self {
            // The bounds are constants within what the library allows.
            latency: latency.unwrap_or_else(|_| unreachable!("constant bounds")),
            refused: Sorted::default(),
        }
    }
}

impl Tally {
    pub(super) fn serve(&mut self, latency: Duration) {
        let micros = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
        self.latency.saturating_record(micros.max(1));
    }

    pub(super) fn refuse(&mut self, reason: String, count: u64) {
        match self.refused.get_mut(&reason) {
            Some(total) => *total += count,
            None => drop(self.refused.insert(reason, count)),
        }
    }

    pub(super) fn add(&mut self, other: &Self) {
        // Both have the same bounds.
        let _ = self.latency.add(&other.latency);
        for (reason, count) in other.refused.rows() {
            self.refuse(reason.clone(), *count);
        }
    }
}

/// Refusals of one reason.
#[derive(Clone, Debug, Serialize)]
pub struct Refused {
    /// Reason, with `ran` where the system said it.
    pub reason: String,
    /// How many.
    pub count: u64,
}

/// One kind of request under one steering. Latencies in microseconds, of served requests, from
/// the intended time of sending.
#[derive(Clone, Debug, Serialize)]
pub struct Row {
    /// Who picked targets.
    pub steering: Steering,
    /// Path.
    pub path: String,
    /// Stated worth of one answer.
    pub worth: u32,
    /// Requests served.
    pub served: u64,
    /// Requests refused or failed, by reason.
    pub refused: Vec<Refused>,
    /// Median.
    pub p50: u64,
    /// 90th percentile.
    pub p90: u64,
    /// 99th percentile.
    pub p99: u64,
    /// 99.9th percentile.
    pub p999: u64,
    /// Longest.
    pub max: u64,
}

impl Row {
    pub(super) fn new(steering: Steering, kind: &Kind, tally: &Tally) -> Self {
        let at = |quantile| tally.latency.value_at_quantile(quantile);
        let refused = tally.refused.rows().iter().map(|(reason, count)| Refused {
            reason: reason.clone(),
            count: *count,
        });
        Self {
            steering,
            path: kind.path.clone(),
            worth: kind.worth,
            served: tally.latency.len(),
            refused: refused.collect(),
            p50: at(0.5),
            p90: at(0.9),
            p99: at(0.99),
            p999: at(0.999),
            max: tally.latency.max(),
        }
    }
}

/// All kinds of one steering, weighted by worth.
#[derive(Clone, Debug, Serialize)]
pub struct Summary {
    /// Who picked targets.
    pub steering: Steering,
    /// Thousandths of the worth sent that was served.
    pub served_permille: u64,
    /// Mean of the kinds' medians by worth of what was served, microseconds.
    pub p50: u64,
    /// Mean of the kinds' 99th percentiles by worth of what was served, microseconds.
    pub p99: u64,
}

/// What came of a run.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Seconds of each phase.
    pub seconds: u64,
    /// Rows by steering and kind, in the order of the plan.
    pub rows: Vec<Row>,
    /// One row for each steering.
    pub weighted: Vec<Summary>,
}

impl Report {
    pub(super) fn new(plan: &Plan, rows: Vec<Row>) -> Self {
        let weighted = plan.steerings.iter().map(|steering| {
            let own: Vec<&Row> = rows
                .iter()
                .filter(|row| row.steering == *steering)
                .collect();
            summary(*steering, &own)
        });
        Self {
            seconds: plan.seconds,
            weighted: weighted.collect(),
            rows,
        }
    }

    /// The report as lines of text.
    #[must_use]
    pub fn text(&self) -> String {
        let mut text = String::new();
        for row in &self.rows {
            let (name, path) = (row.steering.name(), &row.path);
            let rate = row.served / self.seconds.max(1);
            // Writing to a string does not fail.
            let _ = writeln!(
                text,
                "{name} {path}: served {} ({rate}/s), p50 {} us, p90 {}, p99 {}, p99.9 {}, max {}",
                row.served, row.p50, row.p90, row.p99, row.p999, row.max
            );
            for refused in &row.refused {
                let _ = writeln!(text, "  refused {}: {}", refused.reason, refused.count);
            }
        }
        for row in &self.weighted {
            let _ = writeln!(
                text,
                "{} weighted by worth: served {} permille, p50 {} us, p99 {} us",
                row.steering.name(),
                row.served_permille,
                row.p50,
                row.p99
            );
        }
        text
    }
}

fn summary(steering: Steering, rows: &[&Row]) -> Summary {
    let served: u64 = rows
        .iter()
        .map(|row| row.served * u64::from(row.worth))
        .sum();
    let refused = |row: &&Row| row.refused.iter().map(|refused| refused.count).sum::<u64>();
    let lost: u64 = rows
        .iter()
        .map(|row| refused(row) * u64::from(row.worth))
        .sum();
    let mean = |value: fn(&Row) -> u64| {
        let parts = rows
            .iter()
            .map(|row| value(row) * row.served * u64::from(row.worth));
        parts.sum::<u64>().checked_div(served).unwrap_or(0)
    };
    Summary {
        steering,
        served_permille: (served * 1_000).checked_div(served + lost).unwrap_or(0),
        p50: mean(|row| row.p50),
        p99: mean(|row| row.p99),
    }
}
