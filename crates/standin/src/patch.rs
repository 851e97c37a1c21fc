//! Partial updates of the settings of a running stand-in.

use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

/// Returns the settings with the given fields replaced; unknown fields are rejected.
pub(crate) fn patched<T: Serialize + DeserializeOwned>(
    settings: &T,
    changes: &Value,
) -> Result<T, serde_json::Error> {
    let mut value = serde_json::to_value(settings)?;
    merge(&mut value, changes);
    serde_json::from_value(value)
}

fn merge(value: &mut Value, changes: &Value) {
    match (value, changes) {
        (Value::Object(fields), Value::Object(changes)) => {
            fields.extend(changes.iter().map(|(name, change)| (name.clone(), change.clone())));
        }
        (value, changes) => *value = changes.clone(),
    }
}
