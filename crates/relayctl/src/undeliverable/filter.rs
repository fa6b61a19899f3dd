//! Which records a command is about: options, and what becomes of them in a request.

use clap::Args;
use serde_json::{Map, Value};

use crate::error::CommandError;

/// A filter of records.
#[derive(Args)]
pub struct FilterArguments {
    /// Of this partner.
    #[arg(long)]
    pub destination: Option<u16>,
    /// Of this class.
    #[arg(long)]
    pub class: Option<String>,
    /// Given up for this reason, such as out-of-time.
    #[arg(long)]
    pub reason: Option<String>,
    /// Of this tenant.
    #[arg(long)]
    pub tenant: Option<String>,
    /// Given up at this moment or later, such as 2026-12-01T08:00:00Z.
    #[arg(long)]
    pub since: Option<String>,
    /// Given up before this moment.
    #[arg(long)]
    pub until: Option<String>,
    /// Of which an attempt may have run, or none may.
    #[arg(long)]
    pub may_have_run: Option<bool>,
    /// In this state; batches are of open ones always.
    #[arg(long)]
    pub state: Option<String>,
}

impl FilterArguments {
    /// The fields that were given, as a batch's filter has them.
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

    /// The fields that were given, as the query of a list has them: each ends with `&`.
    ///
    /// # Errors
    /// A value has characters that no value of the API has.
    pub fn query(&self) -> Result<String, CommandError> {
        let mut query = String::new();
        for (name, value) in self.fields() {
            let value = value
                .as_str()
                .map_or_else(|| value.to_string(), String::from);
            if !is_query_value(&value) {
                return Err(CommandError::InvalidInput(format!(
                    "--{}: {value:?} is no such value",
                    name.replace('_', "-")
                )));
            }
            query += &format!("{name}={}&", value.replace('+', "%2B"));
        }
        Ok(query)
    }
}

/// Whether a value may stand in a query as it is, but for the plus of a time zone. Names and times may.
fn is_query_value(value: &str) -> bool {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"._-:+".contains(&byte);
    !value.is_empty() && value.bytes().all(is_allowed)
}
