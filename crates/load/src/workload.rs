//! Workloads of a scenario.

use serde::Deserialize;
use serde_saphyr::Spanned;
use wagtailmoor_core::{ByteCount, PartsPerMillion, RequestsPerSecond, Weight};

use crate::Scenario;
use crate::scenario::InvalidField;

/// Settings of a stream of similar requests.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workload {
    /// Name of the workload in reports.
    pub name: Spanned<String>,
    /// HTTP method.
    #[serde(default = "default_method")]
    pub method: String,
    /// Path, in which `{key}` is replaced by the key and `{n}` by the number of the request.
    pub path: Spanned<String>,
    /// Mean arrival rate; times between arrivals are exponentially distributed.
    pub rate: RequestsPerSecond,
    /// Begin of the arrivals, from the start of the run.
    #[serde(default)]
    pub from_ms: u64,
    /// End of the arrivals, from the start of the run; `None` for the end of the run.
    #[serde(default)]
    pub until_ms: Option<u64>,
    /// Keys, for paths with `{key}` only.
    #[serde(default)]
    pub keys: Option<KeySettings>,
    /// Whether requests carry an idempotency key, and change their application key.
    #[serde(default)]
    pub idempotency_keys: bool,
    /// Share of requests with an idempotency key that the client sends twice with the same one.
    #[serde(default)]
    pub repeated_ppm: PartsPerMillion,
    /// Size of request bodies.
    #[serde(default)]
    pub body_bytes: ByteCount,
    /// Size of responses that stand-ins stream; zero for a JSON response.
    #[serde(default)]
    pub answer_bytes: ByteCount,
    /// Rate at which the client reads responses; zero for no limit.
    #[serde(default)]
    pub read_bytes_per_s: ByteCount,
    /// Service time requested from stand-ins; zero for the one in their settings.
    #[serde(default)]
    pub service_us: u64,
    /// Client timeout, sent as the deadline.
    #[serde(default = "default_timeout_ms")]
    pub timeout_ms: u64,
    /// Customers with their shares in this workload; if empty, all customers with their own shares.
    #[serde(default)]
    pub customers: Vec<CustomerShare>,
}

/// Settings of the keys of a workload.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeySettings {
    /// Prefix of the keys; `None` for the name of the workload. Workloads with the same prefix use
    /// the same keys, so they must belong to one back end.
    #[serde(default)]
    pub name: Option<String>,
    /// Number of keys.
    pub count: Spanned<u32>,
    /// Exponent of the Zipf distribution; zero for a uniform distribution.
    #[serde(default)]
    pub skew: f64,
    /// Interval at which other keys become the most used ones; zero for never.
    #[serde(default)]
    pub moves_every_ms: u64,
}

/// Share of a customer in a workload.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CustomerShare {
    /// Identifier of the customer, as listed in the scenario.
    pub customer: Spanned<String>,
    /// Weight of the customer among those of the workload.
    pub share: Weight,
}

impl Workload {
    /// Returns the path and query of a request, with the parameters that stand-ins understand.
    pub(crate) fn path_and_query(&self, key: Option<&str>, number: usize) -> String {
        let path = self.path.value.replace("{key}", key.unwrap_or_default());
        let path = path.replace("{n}", &number.to_string());
        let mut parameters = Vec::new();
        if self.answer_bytes.get() > 0 {
            parameters.push(format!("bytes={}", self.answer_bytes.get()));
        }
        if self.service_us > 0 {
            parameters.push(format!("service_us={}", self.service_us));
        }
        match parameters.is_empty() {
            true => path,
            false => format!("{path}?{}", parameters.join("&")),
        }
    }

    pub(crate) fn validate(&self, scenario: &Scenario) -> Result<(), InvalidField> {
        let invalid = |field: &str, location, message: String| {
            Err(InvalidField { location, field: format!("workloads.{field}"), message })
        };
        let has_key = self.path.value.contains("{key}");
        if has_key != self.keys.is_some() {
            let message =
                "`{key}` in the path needs `keys`, and `keys` needs `{key}` in the path".to_owned();
            return invalid("path", self.path.defined, message);
        }
        if !self.path.value.starts_with('/') {
            return invalid("path", self.path.defined, "must start with `/`".to_owned());
        }
        if let Some(keys) = self.keys.as_ref().filter(|keys| keys.count.value == 0) {
            return invalid("keys.count", keys.count.defined, "must be at least 1".to_owned());
        }
        let unknown = self
            .customers
            .iter()
            .find(|share| scenario.customer_index(&share.customer.value).is_none());
        match unknown {
            Some(CustomerShare { customer, .. }) => {
                let message = format!("unknown customer {:?}", customer.value);
                invalid("customers.customer", customer.defined, message)
            }
            None => Ok(()),
        }
    }
}

fn default_method() -> String {
    "GET".to_owned()
}

fn default_timeout_ms() -> u64 {
    2_000
}
