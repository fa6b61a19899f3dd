//! Context shared by all commands: the client, the output format, and requests that several resources have in common.

use serde_json::Value;

use crate::client::{ApiRequest, ApiResponse, Client};
use crate::error::CommandError;
use crate::output::OutputFormat;

/// Maximum number of items on a page of a list, which is the API's limit.
pub const MAX_PAGE_ITEMS: usize = 200;

/// The context in which a command runs.
pub struct CommandContext {
    /// The client of the administration API.
    pub client: Client,
    /// How responses are printed.
    pub output: OutputFormat,
}

impl CommandContext {
    /// Prints a value, formatted by `table` in [`OutputFormat::Table`].
    pub fn print(&self, value: &Value, table: impl FnOnce(&Value) -> String) {
        self.output.print(value, table);
    }

    /// Fetches a list page by page, up to a maximum number of items. The list's path must end with `?` or `&`.
    ///
    /// # Errors
    /// A page could not be read.
    pub async fn list_items(
        &self,
        list: &str,
        max_items: usize,
    ) -> Result<Vec<Value>, CommandError> {
        let mut items = Vec::new();
        let mut cursor = String::new();
        loop {
            let limit = (max_items - items.len()).min(MAX_PAGE_ITEMS);
            let page = self
                .client
                .get(format!("{list}limit={limit}{cursor}"))
                .await?;
            items.extend(page.body["items"].as_array().cloned().unwrap_or_default());
            match page.body["next"].as_str() {
                Some(next) if items.len() < max_items => cursor = format!("&cursor={next}"),
                _ => return Ok(items),
            }
        }
    }

    /// Sends a change of a resource, on condition that the resource has the given version, or its current one if none is
    /// given.
    ///
    /// # Errors
    /// The request failed, or the resource has no entity tag.
    pub async fn change_version(
        &self,
        resource: &str,
        version: Option<u32>,
        request: ApiRequest,
    ) -> Result<ApiResponse, CommandError> {
        let entity_tag = match version {
            Some(version) => format!("\"{version}\""),
            None => {
                self.current_entity_tag(resource, "the resource has no ETag")
                    .await?
            }
        };
        self.client
            .send(request.header("if-match", entity_tag))
            .await
    }

    /// Fetches a resource's current entity tag; `missing` is the error's text if it has none.
    ///
    /// # Errors
    /// The request failed, or the resource has no entity tag.
    pub async fn current_entity_tag(
        &self,
        resource: &str,
        missing: &str,
    ) -> Result<String, CommandError> {
        let response = self.client.get(resource).await?;
        response
            .entity_tag
            .ok_or_else(|| CommandError::UnexpectedResponse(missing.into()))
    }
}
