//! OpenTelemetry instruments that are read from within the process.

use {
    crate::call::{Ran, Reason},
    opentelemetry::{
        KeyValue,
        metrics::{Counter, Gauge, Meter, MeterProvider as _},
    },
    opentelemetry_sdk::{
        error::OTelSdkResult,
        metrics::{
            PeriodicReader, SdkMeterProvider, Temporality,
            data::{AggregatedMetrics, MetricData, ResourceMetrics},
            exporter::PushMetricExporter,
        },
    },
    std::{
        sync::{Arc, Mutex, PoisonError},
        time::Duration,
    },
};

/// Interval of periodic collection, long because every read forces a collection.
const COLLECT_INTERVAL: Duration = Duration::from_hours(1);

/// Value of an instrument for one set of labels.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Sample {
    /// Name with labels, such as `refusals{reason="no_slot"}`.
    pub name: String,
    /// Value at the time of the read.
    pub value: u64,
}

/// Metric instruments of a process; cheap to clone.
#[derive(Clone, Debug)]
pub struct Metrics {
    provider: SdkMeterProvider,
    samples: Arc<Mutex<Vec<Sample>>>,
    refusals: Counter<u64>,
    retries: Counter<u64>,
    failures: Counter<u64>,
    events: Counter<u64>,
    levels: Gauge<u64>,
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

impl Metrics {
    /// Creates a new set of instruments.
    ///
    /// ```
    /// let metrics = siskinstep::observe::Metrics::new();
    /// metrics.count("lookups", 2);
    /// assert_eq!(metrics.read()[0].value, 2);
    /// ```
    #[must_use]
    pub fn new() -> Self {
        let samples = Arc::new(Mutex::new(Vec::new()));
        let exporter = Exporter {
            samples: Arc::clone(&samples),
        };
        let reader = PeriodicReader::builder(exporter)
            .with_interval(COLLECT_INTERVAL)
            .build();
        let provider = SdkMeterProvider::builder().with_reader(reader).build();
        let meter: Meter = provider.meter("siskinstep");
        Self {
            samples,
            refusals: meter.u64_counter("refusals").build(),
            failures: meter.u64_counter("failures").build(),
            retries: meter.u64_counter("retries").build(),
            events: meter.u64_counter("events").build(),
            levels: meter.u64_gauge("level").build(),
            provider,
        }
    }

    /// Counts a refusal by reason and by whether the request may have been executed.
    ///
    /// ```
    /// use siskinstep::{call::{Ran, Reason}, observe::Metrics};
    /// let metrics = Metrics::new();
    /// metrics.count_refusal(Reason::NoSlot, Ran::No);
    /// assert_eq!(metrics.read()[0].name, "refusals{ran=\"no\",reason=\"no_slot\"}");
    /// ```
    pub fn count_refusal(&self, reason: Reason, ran: Ran) {
        let ran = match ran {
            Ran::No => "no",
            Ran::Unknown => "unknown",
        };
        let labels = [
            KeyValue::new("reason", reason.name()),
            KeyValue::new("ran", ran),
        ];
        self.refusals.add(1, &labels);
    }

    /// Counts a retry by the reason of the failed attempt.
    ///
    /// ```
    /// use siskinstep::{call::Reason, observe::Metrics};
    /// let metrics = Metrics::new();
    /// metrics.count_retry(Reason::ConnectFailed);
    /// assert_eq!(metrics.read()[0].name, "retries{reason=\"connect_failed\"}");
    /// ```
    pub fn count_retry(&self, reason: Reason) {
        self.retries
            .add(1, &[KeyValue::new("reason", reason.name())]);
    }

    /// Counts an attempt that failed to get a response, by reason.
    ///
    /// ```
    /// use siskinstep::{call::Reason, observe::Metrics};
    /// let metrics = Metrics::new();
    /// metrics.count_failure(Reason::AnswerCut);
    /// assert_eq!(metrics.read()[0].name, "failures{reason=\"answer_cut\"}");
    /// ```
    pub fn count_failure(&self, reason: Reason) {
        self.failures
            .add(1, &[KeyValue::new("reason", reason.name())]);
    }

    /// Adds `increment` to the counter `events{what=...}`.
    ///
    /// ```
    /// let metrics = siskinstep::observe::Metrics::new();
    /// metrics.count("lookups", 1);
    /// assert_eq!(metrics.read()[0].name, "events{what=\"lookups\"}");
    /// ```
    pub fn count(&self, what: &'static str, increment: u64) {
        self.events.add(increment, &[KeyValue::new("what", what)]);
    }

    /// Sets the gauge `level{what=...}`.
    ///
    /// ```
    /// let metrics = siskinstep::observe::Metrics::new();
    /// metrics.set_gauge("slots_free", 3);
    /// assert_eq!(metrics.read()[0].value, 3);
    /// ```
    pub fn set_gauge(&self, what: &'static str, value: usize) {
        let value = u64::try_from(value).unwrap_or(u64::MAX);
        self.levels.record(value, &[KeyValue::new("what", what)]);
    }

    /// Reads all instruments, sorted by name.
    ///
    /// ```
    /// assert!(siskinstep::observe::Metrics::new().read().is_empty());
    /// ```
    #[must_use]
    pub fn read(&self) -> Vec<Sample> {
        // If the flush fails, the samples of the previous collection are returned.
        let _ = self.provider.force_flush();
        let samples = self.samples.lock().unwrap_or_else(PoisonError::into_inner);
        samples.clone()
    }

    /// Reads all instruments as text, one `name value` pair per line.
    ///
    /// ```
    /// let metrics = siskinstep::observe::Metrics::new();
    /// metrics.set_gauge("ring_relay", 0);
    /// assert_eq!(metrics.text(), "level{what=\"ring_relay\"} 0\n");
    /// ```
    #[must_use]
    pub fn text(&self) -> String {
        let rows = self.read();
        rows.iter().fold(String::new(), |text, row| {
            text + &row.name + " " + &row.value.to_string() + "\n"
        })
    }
}

#[derive(Debug)]
struct Exporter {
    samples: Arc<Mutex<Vec<Sample>>>,
}

impl PushMetricExporter for Exporter {
    async fn export(&self, metrics: &ResourceMetrics) -> OTelSdkResult {
        let mut rows = collect(metrics);
        rows.sort();
        *self.samples.lock().unwrap_or_else(PoisonError::into_inner) = rows;
        Ok(())
    }

    fn force_flush(&self) -> OTelSdkResult {
        Ok(())
    }

    fn shutdown_with_timeout(&self, _timeout: Duration) -> OTelSdkResult {
        Ok(())
    }

    fn temporality(&self) -> Temporality {
        Temporality::Cumulative
    }
}

fn collect(metrics: &ResourceMetrics) -> Vec<Sample> {
    let mut rows = Vec::new();
    for scope in metrics.scope_metrics() {
        for metric in scope.metrics() {
            if let AggregatedMetrics::U64(data) = metric.data() {
                collect_points(metric.name(), data, &mut rows);
            }
        }
    }
    rows
}

fn collect_points(name: &str, data: &MetricData<u64>, rows: &mut Vec<Sample>) {
    match data {
        MetricData::Sum(sum) => {
            for point in sum.data_points() {
                rows.push(sample(name, point.attributes(), point.value()));
            }
        }
        MetricData::Gauge(gauge) => {
            for point in gauge.data_points() {
                rows.push(sample(name, point.attributes(), point.value()));
            }
        }
        _ => {}
    }
}

fn sample<'a>(name: &str, labels: impl Iterator<Item = &'a KeyValue>, value: u64) -> Sample {
    let mut labels: Vec<String> = labels
        .map(|label| format!("{}=\"{}\"", label.key, label.value))
        .collect();
    labels.sort();
    let name = if labels.is_empty() {
        name.to_owned()
    } else {
        format!("{name}{{{}}}", labels.join(","))
    };
    Sample { name, value }
}
