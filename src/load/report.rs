//! Results of a load run by steering and kind of request.

use {
    super::plan::{Kind, Plan, Steering},
    crate::sorted::Sorted,
    hdrhistogram::Histogram,
    serde::Serialize,
    std::{fmt::Write, time::Duration},
};

/// Upper bound of the latency histogram; longer latencies are recorded as this value.
const MAX_LATENCY_MICROS: u64 = 600_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;

/// Latencies and refusals of one kind of request, collected during a phase.
#[derive(Debug)]
pub(super) struct Tally {
    latency: Histogram<u64>,
    refused: Sorted<String, u64>,
}

impl Default for Tally {
    fn default() -> Self {
        let latency = Histogram::new_with_bounds(1, MAX_LATENCY_MICROS, SIGNIFICANT_DIGITS);
        Self {
            // The library accepts these constant bounds.
            latency: latency.unwrap_or_else(|_| unreachable!("constant bounds")),
            refused: Sorted::default(),
        }
    }
}

impl Tally {
    /// Records a served request.
    pub(super) fn record_served(&mut self, latency: Duration) {
        let micros = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
        self.latency.saturating_record(micros.max(1));
    }

    /// Records `count` refused or failed requests.
    pub(super) fn record_refused(&mut self, reason: String, count: u64) {
        match self.refused.get_mut(&reason) {
            Some(total) => *total += count,
            None => drop(self.refused.insert(reason, count)),
        }
    }

    /// Adds the counts of another tally.
    pub(super) fn merge(&mut self, other: &Self) {
        // Does not fail, as both histograms have the same bounds.
        let _ = self.latency.add(&other.latency);
        for (reason, count) in other.refused.rows() {
            self.record_refused(reason.clone(), *count);
        }
    }
}

/// Number of refused or failed requests with one reason.
#[derive(Clone, Debug, Serialize)]
pub struct RefusalCount {
    /// Reason; includes `ran` if the refusal has it.
    pub reason: String,
    /// Number of requests.
    pub count: u64,
}

/// Results of one kind of request under one steering. Latencies are those of served requests, in
/// microseconds from the scheduled send time.
#[derive(Clone, Debug, Serialize)]
pub struct KindReport {
    /// Policy that selected the targets.
    pub steering: Steering,
    /// Path of the requests.
    pub path: String,
    /// Configured worth of one response.
    pub worth: u32,
    /// Number of requests served.
    pub served: u64,
    /// Numbers of requests refused or failed, by reason.
    pub refused: Vec<RefusalCount>,
    /// Median latency.
    pub p50: u64,
    /// 90th percentile.
    pub p90: u64,
    /// 99th percentile.
    pub p99: u64,
    /// 99.9th percentile.
    pub p999: u64,
    /// Maximum latency.
    pub max: u64,
}

impl KindReport {
    pub(super) fn new(steering: Steering, kind: &Kind, tally: &Tally) -> Self {
        let value_at = |quantile| tally.latency.value_at_quantile(quantile);
        let refused = tally
            .refused
            .rows()
            .iter()
            .map(|(reason, count)| RefusalCount {
                reason: reason.clone(),
                count: *count,
            });
        Self {
            steering,
            path: kind.path.clone(),
            worth: kind.worth,
            served: tally.latency.len(),
            refused: refused.collect(),
            p50: value_at(0.5),
            p90: value_at(0.9),
            p99: value_at(0.99),
            p999: value_at(0.999),
            max: tally.latency.max(),
        }
    }
}

/// Results of all kinds of requests under one steering, weighted by worth.
#[derive(Clone, Debug, Serialize)]
pub struct Summary {
    /// Policy that selected the targets.
    pub steering: Steering,
    /// Served share of the worth of all requests, in permille.
    pub served_permille: u64,
    /// Mean of the kinds' medians, weighted by the worth served, in microseconds.
    pub p50: u64,
    /// Mean of the kinds' 99th percentiles, weighted by the worth served, in microseconds.
    pub p99: u64,
}

/// Results of a load run.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Duration of each phase, in seconds.
    pub seconds: u64,
    /// Results by steering and kind, in the order of the plan.
    pub rows: Vec<KindReport>,
    /// One summary for each steering.
    pub weighted: Vec<Summary>,
}

impl Report {
    pub(super) fn new(plan: &Plan, rows: Vec<KindReport>) -> Self {
        let weighted = plan.steerings.iter().map(|steering| {
            let matching: Vec<&KindReport> = rows
                .iter()
                .filter(|row| row.steering == *steering)
                .collect();
            summary(*steering, &matching)
        });
        Self {
            seconds: plan.seconds,
            weighted: weighted.collect(),
            rows,
        }
    }

    /// Formats the report as human-readable lines.
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

fn summary(steering: Steering, rows: &[&KindReport]) -> Summary {
    let served: u64 = rows
        .iter()
        .map(|row| row.served * u64::from(row.worth))
        .sum();
    let refused = |row: &&KindReport| row.refused.iter().map(|refused| refused.count).sum::<u64>();
    let unserved: u64 = rows
        .iter()
        .map(|row| refused(row) * u64::from(row.worth))
        .sum();
    let mean = |value: fn(&KindReport) -> u64| {
        let products = rows
            .iter()
            .map(|row| value(row) * row.served * u64::from(row.worth));
        products.sum::<u64>().checked_div(served).unwrap_or(0)
    };
    Summary {
        steering,
        served_permille: (served * 1_000).checked_div(served + unserved).unwrap_or(0),
        p50: mean(|row| row.p50),
        p99: mean(|row| row.p99),
    }
}
