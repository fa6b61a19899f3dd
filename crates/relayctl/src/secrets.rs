//! Tenants' secrets: arguments and requests. The doc comments on commands and options are the help texts.

use clap::Subcommand;
use hyper::Method;
use serde_json::json;

use crate::client::{ApiRequest, JSON};
use crate::context::CommandContext;
use crate::credentials::{random_text, sha256_hex};
use crate::error::CommandError;
use crate::input::path_segment;
use crate::output::fields_table;
use crate::tenants::{change_tenant, tenant_path, tenants_table};

/// The commands on secrets.
#[derive(Subcommand)]
pub enum SecretCommand {
    /// Create a secret and print it; only its digest is sent, so the secret is shown only once.
    Add {
        /// Tenant name.
        tenant: String,
        /// ID of the secret within the tenant.
        id: String,
        /// Apply the change only to this version; to the current one if absent.
        #[arg(long)]
        if_version: Option<String>,
    },
    /// Remove a secret.
    Remove {
        /// Tenant name.
        tenant: String,
        /// ID of the secret within the tenant.
        id: String,
        /// Apply the change only to this version; to the current one if absent.
        #[arg(long)]
        if_version: Option<String>,
    },
}

/// Runs a command on secrets.
///
/// # Errors
/// The arguments are not valid, or a request failed.
pub async fn run(context: &CommandContext, command: SecretCommand) -> Result<(), CommandError> {
    match command {
        SecretCommand::Add {
            tenant,
            id,
            if_version,
        } => add(context, &tenant, &id, if_version).await,
        SecretCommand::Remove {
            tenant,
            id,
            if_version,
        } => remove(context, &tenant, &id, if_version).await,
    }
}

/// Creates a secret, sends its digest and prints the secret itself.
async fn add(
    context: &CommandContext,
    tenant: &str,
    id: &str,
    if_version: Option<String>,
) -> Result<(), CommandError> {
    let secret = random_text()?;
    let body = json!({"id": id, "sha256": sha256_hex(&secret)});
    let request = ApiRequest::post(tenant_path(tenant, "/secrets")?).body(JSON, body);
    let changed = change_tenant(context, tenant, if_version, request).await?;
    let version = &changed.body["version"];
    let created = json!({"tenant": tenant, "id": id, "secret": secret, "version": version});
    context.print(&created, fields_table);
    Ok(())
}

async fn remove(
    context: &CommandContext,
    tenant: &str,
    id: &str,
    if_version: Option<String>,
) -> Result<(), CommandError> {
    let path = tenant_path(tenant, &format!("/secrets/{}", path_segment(id)?))?;
    let request = ApiRequest::new(Method::DELETE, path);
    let changed = change_tenant(context, tenant, if_version, request).await?;
    context.print(&changed.body, |tenant| tenants_table([tenant]));
    Ok(())
}
