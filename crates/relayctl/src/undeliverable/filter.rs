//! Filter options that select records, and their form in requests.

use clap::Args;
use serde_json::{Map, Value};

use crate::error::CommandError;

/// A filter of records.
#[derive(Args)]
pub struct FilterArguments {
    /// Only records for this destination.
    #[arg(long)]
    pub destination: Option<u16>,
    /// Only records of this class.
    #[arg(long)]
    pub class: Option<String>,
    /// Only records given up for this reason, such as out-of-time.
    #[arg(long)]
    pub reason: Option<String>,
    /// Only records of this tenant.
    #[arg(long)]
    pub tenant: Option<String>,
    /// Only records given up at this time or later, such as 2026-12-01T08:00:00Z.
    #[arg(long)]
    pub since: Option<String>,
    /// Only records given up before this time.
    #[arg(long)]
    pub until: Option<String>,
    /// Only records of which an attempt may have run (true), or none may have (false).
    #[arg(long)]
    pub may_have_run: Option<bool>,
    /// Only records in this state; a batch always selects open records.
    #[arg(long)]
    pub state: Option<String>,
}

impl FilterArguments {
    /// The fields that were given, in the form of a batch's filter.
    pub fn fields(&self) -> Map<String, Value> {
        let text = |value: &Option<String>| value.clone().map(Value::from);
        let fields = [
            ("destination", self.destination.map(Value::from)),
            ("class", text(&self.class)),
            ("reason", text(&self.reason)),
            ("tenant", text(&self.tenant)),
            ("since", text(&self.since)),
            ("until", text(&self.until)),
            ("may_have_run", self.may_have_run.map(Value::from)),
            ("state", text(&self.state)),
        ];
        fields
            .into_iter()
            .filter_map(|(name, value)| Some((name.to_string(), value?)))
            .collect()
    }

    /// The fields that were given, in the form of a list's query: each ends with `&`.
    ///
    /// # Errors
    /// A value has characters that no value of the API can have.
    pub fn query(&self) -> Result<String, CommandError> {
        let mut query = String::new();
        for (name, value) in self.fields() {
            let value = value
                .as_str()
                .map_or_else(|| value.to_string(), String::from);
            if !is_query_value(&value) {
                return Err(CommandError::InvalidInput(format!(
                    "--{}: {value:?} is not a valid value",
                    name.replace('_', "-")
                )));
            }
            query += &format!("{name}={}&", value.replace('+', "%2B"));
        }
        Ok(query)
    }
}

/// Whether a value can be used unescaped in a query, except for the plus sign of a time zone. Names and times can.
fn is_query_value(value: &str) -> bool {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"._-:+".contains(&byte);
    !value.is_empty() && value.bytes().all(is_allowed)
}
