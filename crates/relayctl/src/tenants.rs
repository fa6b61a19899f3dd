//! Tenants: requests. The arguments and the tables are in modules of their own.

pub mod arguments;
mod table;

use std::path::Path;
use std::time::{Duration, Instant};

use hyper::Method;
use serde_json::{json, Map, Value};

use crate::client::{ApiRequest, ApiResponse, JSON, MERGE_PATCH_JSON};
use crate::context::CommandContext;
use crate::credentials::random_text;
use crate::error::CommandError;
use crate::input::{choice_name, path_segment, read_text};
use crate::output::array_items;

use arguments::{SpecArguments, SpecField, TenantCommand};
pub use table::tenants_table;

/// Path of the list of tenants.
const TENANTS_PATH: &str = "/v1/tenants";
/// The interval at which a draining tenant is polled.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Upper bound of the burst that is derived from a rate if none is given.
const MAX_DEFAULT_BURST: f64 = 1e6;

/// Runs a command on tenants.
///
/// # Errors
/// The arguments are not valid, or a request failed.
pub async fn run(context: &CommandContext, command: TenantCommand) -> Result<(), CommandError> {
    let response = match command {
        TenantCommand::List => return list(context).await,
        TenantCommand::Usage { name } => return show_usage(context, &name).await,
        TenantCommand::Show { name } => context.client.get(tenant_path(&name, "")?).await?,
        TenantCommand::Create { name, spec } => create(context, &name, &spec).await?,
        TenantCommand::Set {
            name,
            spec,
            clear,
            if_version,
        } => set(context, &name, spec_patch(&spec, &clear)?, if_version).await?,
        TenantCommand::Replace {
            name,
            from,
            if_version,
        } => replace(context, &name, &from, if_version).await?,
        TenantCommand::Pause { name, if_version } => {
            let request = ApiRequest::post(tenant_path(&name, "/pause")?);
            change_tenant(context, &name, if_version, request).await?
        }
        TenantCommand::Resume { name, if_version } => {
            let request = ApiRequest::post(tenant_path(&name, "/resume")?);
            change_tenant(context, &name, if_version, request).await?
        }
        TenantCommand::Remove {
            name,
            on_removal,
            wait,
            if_version,
        } => {
            let query = on_removal.map_or(String::new(), |on_removal| {
                format!("?on_removal={}", choice_name(on_removal))
            });
            let request = ApiRequest::new(Method::DELETE, tenant_path(&name, &query)?);
            let removed = change_tenant(context, &name, if_version, request).await?;
            if let Some(seconds) = wait {
                let timeout = Duration::from_secs(seconds);
                wait_until_drained(context, &name, &removed.body["version"], timeout).await?;
            }
            removed
        }
    };
    context.print(&response.body, |tenant| tenants_table([tenant]));
    Ok(())
}

/// The path of a tenant, followed by `rest`.
///
/// # Errors
/// The name is not valid.
pub fn tenant_path(name: &str, rest: &str) -> Result<String, CommandError> {
    Ok(format!("{TENANTS_PATH}/{}{rest}", path_segment(name)?))
}

/// Sends a change of a tenant, on condition that the tenant has the given version, or its current one if none is given.
///
/// # Errors
/// The name is not valid, or a request failed.
pub async fn change_tenant(
    context: &CommandContext,
    name: &str,
    if_version: Option<String>,
    request: ApiRequest,
) -> Result<ApiResponse, CommandError> {
    let entity_tag = match if_version {
        Some(version) => format!("\"{}\"", version.trim_matches('"')),
        None => {
            let path = tenant_path(name, "")?;
            context
                .current_entity_tag(&path, "the tenant has no ETag")
                .await?
        }
    };
    let request = request
        .header("if-match", entity_tag)
        .header("idempotency-key", random_text()?);
    context.client.send(request).await
}

async fn list(context: &CommandContext) -> Result<(), CommandError> {
    let tenants = context
        .list_items(&format!("{TENANTS_PATH}?"), usize::MAX)
        .await?;
    context.print(&Value::from(tenants), |tenants| {
        tenants_table(array_items(tenants))
    });
    Ok(())
}

async fn show_usage(context: &CommandContext, name: &str) -> Result<(), CommandError> {
    let usage = context.client.get(tenant_path(name, "/usage")?).await?;
    context.print(&usage.body, table::usage_table);
    Ok(())
}

async fn create(
    context: &CommandContext,
    name: &str,
    spec: &SpecArguments,
) -> Result<ApiResponse, CommandError> {
    let body = json!({"name": path_segment(name)?, "spec": spec_fields(spec)});
    let request = ApiRequest::post(TENANTS_PATH)
        .body(JSON, body)
        .header("idempotency-key", random_text()?);
    context.client.send(request).await
}

async fn set(
    context: &CommandContext,
    name: &str,
    patch: Map<String, Value>,
    if_version: Option<String>,
) -> Result<ApiResponse, CommandError> {
    let request = ApiRequest::new(Method::PATCH, tenant_path(name, "")?)
        .body(MERGE_PATCH_JSON, json!({"spec": patch}));
    change_tenant(context, name, if_version, request).await
}

async fn replace(
    context: &CommandContext,
    name: &str,
    file: &Path,
    if_version: Option<String>,
) -> Result<ApiResponse, CommandError> {
    let spec: Value = serde_json::from_str(&read_text(file)?).map_err(|e| {
        CommandError::InvalidInput(format!("{} is not valid JSON: {e}", file.display()))
    })?;
    let request =
        ApiRequest::new(Method::PUT, tenant_path(name, "")?).body(JSON, json!({"spec": spec}));
    change_tenant(context, name, if_version, request).await
}

/// The fields of a specification that were given as arguments.
fn spec_fields(arguments: &SpecArguments) -> Map<String, Value> {
    let rate = arguments.rate.map(|per_second| {
        let default_burst = || per_second.ceil().clamp(1.0, MAX_DEFAULT_BURST) as u32;
        json!({"per_second": per_second, "burst": arguments.burst.unwrap_or_else(default_burst)})
    });
    let list = |items: &[String]| (!items.is_empty()).then(|| json!(items));
    let fields = [
        ("weight", arguments.weight.map(Value::from)),
        ("rate", rate),
        ("max_held", arguments.max_held.map(Value::from)),
        ("max_in_flight", arguments.max_in_flight.map(Value::from)),
        ("classes", list(&arguments.classes)),
        ("destinations", list(&arguments.destinations)),
        (
            "on_removal",
            arguments
                .on_removal
                .map(|choice| choice_name(choice).into()),
        ),
    ];
    fields
        .into_iter()
        .filter_map(|(name, value)| Some((name.to_string(), value?)))
        .collect()
}

/// A merge patch (RFC 7396): the fields that were given, and null for those to clear.
fn spec_patch(
    arguments: &SpecArguments,
    clear: &[SpecField],
) -> Result<Map<String, Value>, CommandError> {
    let mut patch = spec_fields(arguments);
    patch.extend(
        clear
            .iter()
            .map(|field| (field.api_name().to_string(), Value::Null)),
    );
    if patch.is_empty() {
        return Err(CommandError::InvalidInput(
            "no field to set or clear is given".into(),
        ));
    }
    Ok(patch)
}

/// Waits until a removed incarnation of a tenant has drained. A new tenant may already have its name.
///
/// # Errors
/// A request failed, or the tenant has not drained in time.
async fn wait_until_drained(
    context: &CommandContext,
    name: &str,
    removed_version: &Value,
    timeout: Duration,
) -> Result<(), CommandError> {
    let deadline = Instant::now() + timeout;
    loop {
        match context.client.get(tenant_path(name, "")?).await {
            Err(error) if error.is_not_found() => return Ok(()),
            Err(error) => return Err(error),
            Ok(current) => {
                let mut versions = std::iter::once(&current.body["version"])
                    .chain(array_items(&current.body["draining"]));
                if !versions.any(|version| incarnation(version) == incarnation(removed_version)) {
                    return Ok(());
                }
            }
        }
        if Instant::now() >= deadline {
            return Err(CommandError::not_yet(format!("{name} has not drained yet")));
        }
        tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
    }
}

/// The first part of a version such as `2.7`. Each new tenant of the same name gets another one.
fn incarnation(version: &Value) -> Option<&str> {
    Some(version.as_str()?.split_once('.')?.0)
}
