//! Metrics in the statsd format over UDP.

use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::time::Duration;

use cadence::{BufferedUdpMetricSink, Counted, Gauged, NopMetricSink, StatsdClient, Timed};
use snafu::{ResultExt, Snafu};
use wagtailmoor_core::{CustomerId, Outcome, Reason, TemplateId};

const PREFIX: &str = "wagtailmoor";

/// An error when the metrics client is created.
#[derive(Debug, Snafu)]
pub enum MetricsError {
    /// The UDP socket cannot be opened.
    #[snafu(display("metrics socket: {source}"))]
    Socket {
        /// The error of the operating system.
        source: io::Error,
    },
    /// The sink cannot be set up.
    #[snafu(display("metrics sink: {source}"))]
    Sink {
        /// The error of the statsd library.
        source: cadence::MetricError,
    },
}

/// Tags and latency of one request.
#[derive(Clone, Debug)]
pub struct RequestSample<'a> {
    /// Customer of the request, if it is known.
    pub customer: Option<&'a CustomerId>,
    /// Configuration template of the request, if it is known.
    pub template: Option<&'a TemplateId>,
    /// Whether a target answered the request, did not run it, or may have run it.
    pub outcome: Outcome,
    /// Reason if the request was not answered by a target.
    pub reason: Option<Reason>,
    /// HTTP status that was sent to the client.
    pub status: u16,
    /// Time from the request head to the end of the response or the refusal.
    pub latency: Duration,
}

/// A statsd client that never blocks: metrics that the socket does not accept are dropped.
#[derive(Debug)]
pub struct Metrics {
    client: StatsdClient,
}

impl Metrics {
    /// Creates a client that sends to a statsd server.
    ///
    /// # Errors
    ///
    /// Fails if the socket cannot be opened or the sink cannot be set up.
    pub fn to(address: SocketAddr) -> Result<Self, MetricsError> {
        let unspecified: SocketAddr = match address {
            SocketAddr::V4(_) => ([0, 0, 0, 0], 0).into(),
            SocketAddr::V6(_) => ([0u16; 8], 0).into(),
        };
        let socket = UdpSocket::bind(unspecified).context(SocketSnafu)?;
        socket.set_nonblocking(true).context(SocketSnafu)?;
        let sink = BufferedUdpMetricSink::from(address, socket).context(SinkSnafu)?;
        Ok(Self { client: StatsdClient::from_sink(PREFIX, sink) })
    }

    /// Creates a client that discards all metrics.
    pub fn disabled() -> Self {
        Self { client: StatsdClient::from_sink(PREFIX, NopMetricSink) }
    }

    /// Counts one request and reports its latency.
    pub fn request(&self, sample: &RequestSample<'_>) {
        let customer = sample.customer.map_or("-", CustomerId::as_str);
        let template = sample.template.map_or("-", TemplateId::as_str);
        let reason = sample.reason.map_or("-", Reason::code);
        let outcome = sample.outcome.to_string();
        let status = sample.status.to_string();
        self.client
            .count_with_tags("requests", 1)
            .with_tag("customer", customer)
            .with_tag("template", template)
            .with_tag("outcome", &outcome)
            .with_tag("reason", reason)
            .with_tag("status", &status)
            .send();
        self.client
            .time_with_tags("latency", sample.latency)
            .with_tag("customer", customer)
            .with_tag("template", template)
            .with_tag("outcome", &outcome)
            .with_tag("reason", reason)
            .send();
    }

    /// Sets a gauge.
    pub fn gauge(&self, name: &str, value: u64) {
        self.client.gauge_with_tags(name, value).send();
    }

    /// Adds to a counter.
    pub fn count(&self, name: &str, added: u64) {
        self.client.count_with_tags(name, added).send();
    }

    /// Sends the buffered metrics.
    pub fn flush(&self) {
        // An error, such as a full socket buffer, only loses metrics.
        drop(self.client.flush());
    }
}
