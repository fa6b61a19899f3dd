//! Commands that query the server itself: the state of its tenant registry, and the API's OpenAPI document.

use crate::context::CommandContext;
use crate::error::CommandError;
use crate::output::fields_table;

/// Path of the tenant registry's state.
const STATUS_PATH: &str = "/v1/status";
/// Path of the OpenAPI document.
const DOCUMENT_PATH: &str = "/v1/openapi.json";

/// Prints the state of the tenant registry.
///
/// # Errors
/// The request failed.
pub async fn show_status(context: &CommandContext) -> Result<(), CommandError> {
    let status = context.client.get(STATUS_PATH).await?;
    context.print(&status.body, fields_table);
    Ok(())
}

/// Prints the API's OpenAPI document, as JSON in every output format.
///
/// # Errors
/// The request failed.
pub async fn show_document(context: &CommandContext) -> Result<(), CommandError> {
    let document = context.client.get(DOCUMENT_PATH).await?;
    println!("{}", document.body);
    Ok(())
}
