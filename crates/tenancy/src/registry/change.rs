//! Applies a requested change to a tenant.

use serde_json::Value;

use super::command::{Action, Change};
use super::error::RegistryError;
use super::tenant::{Secret, State, Tenant};
use crate::secret::{Digest, MAX_SECRETS};
use crate::spec::{check_name, OnRemoval, SpecError, TenantSpec, MAX_NAME_CHARS};

/// Applies a change to a tenant. The caller sets the tenant's version and time of change.
///
/// # Errors
///
/// [`RegistryError`] if the change is rejected; the tenant may then be partly changed.
pub(super) fn apply(
    change: &Change,
    tenant: &mut Tenant,
    known_classes: &[String],
    now_ms: u64,
) -> Result<Action, RegistryError> {
    if tenant.state == State::Draining && !matches!(change, Change::Remove(_)) {
        return Err(RegistryError::Draining(tenant.name.clone()));
    }
    match change {
        Change::Create(_) => Err(RegistryError::Exists(tenant.name.clone())),
        Change::Replace(spec) => replace_spec(tenant, spec.clone(), known_classes),
        Change::Merge(patch) => {
            let spec = patched_spec(&tenant.spec, patch)?;
            replace_spec(tenant, spec, known_classes)
        }
        Change::Pause => {
            tenant.state = State::Paused;
            Ok(Action::Paused)
        }
        Change::Resume => {
            tenant.state = State::Active;
            Ok(Action::Resumed)
        }
        Change::Remove(on_removal) => {
            remove(tenant, *on_removal);
            Ok(Action::Removed)
        }
        Change::AddSecret { id, sha256 } => add_secret(tenant, id, sha256, now_ms),
        Change::DropSecret(id) => drop_secret(tenant, id),
    }
}

fn replace_spec(
    tenant: &mut Tenant,
    spec: TenantSpec,
    known_classes: &[String],
) -> Result<Action, RegistryError> {
    spec.check(known_classes)?;
    tenant.spec = spec;
    Ok(Action::Changed)
}

fn patched_spec(spec: &TenantSpec, patch: &Value) -> Result<TenantSpec, SpecError> {
    // An array would be deserialized as a specification with its fields in order.
    if !patch.is_object() {
        return Err(SpecError::new("patch", "is no object"));
    }
    let invalid = |error: serde_json::Error| SpecError::new("patch", error.to_string());
    let mut patched = serde_json::to_value(spec).map_err(invalid)?;
    merge_patch(&mut patched, patch);
    serde_json::from_value(patched).map_err(invalid)
}

/// Applies a JSON merge patch (RFC 7396).
fn merge_patch(target: &mut Value, patch: &Value) {
    let Value::Object(patch) = patch else {
        *target = patch.clone();
        return;
    };
    if !target.is_object() {
        *target = Value::Object(serde_json::Map::new());
    }
    let Value::Object(target) = target else {
        return;
    };
    for (name, value) in patch {
        if value.is_null() {
            target.remove(name);
        } else {
            merge_patch(target.entry(name.clone()).or_insert(Value::Null), value);
        }
    }
}

fn remove(tenant: &mut Tenant, on_removal: Option<OnRemoval>) {
    // A draining tenant may be switched to immediate termination, but not back: ended messages cannot be restored.
    let was_draining = tenant.state == State::Draining;
    let allowed = on_removal.filter(|how| !was_draining || *how == OnRemoval::Refuse);
    tenant.state = State::Draining;
    tenant.spec.on_removal = allowed.unwrap_or(tenant.spec.on_removal);
}

fn add_secret(
    tenant: &mut Tenant,
    id: &str,
    sha256: &Digest,
    now_ms: u64,
) -> Result<Action, RegistryError> {
    check_name(id).map_err(|error| SpecError::new("id", error.reason))?;
    if tenant.secrets.iter().any(|secret| secret.id == id) {
        return Err(RegistryError::SecretExists(id.into()));
    }
    if tenant.secrets.len() >= MAX_SECRETS {
        return Err(RegistryError::TooMany {
            what: "secrets",
            most: MAX_SECRETS,
        });
    }
    tenant.secrets.push(Secret {
        id: id.into(),
        sha256: sha256.clone(),
        created_at_ms: now_ms,
    });
    Ok(Action::SecretAdded)
}

fn drop_secret(tenant: &mut Tenant, id: &str) -> Result<Action, RegistryError> {
    let secrets_before = tenant.secrets.len();
    tenant.secrets.retain(|secret| secret.id != id);
    if tenant.secrets.len() == secrets_before {
        let id = id.chars().take(MAX_NAME_CHARS).collect();
        return Err(RegistryError::UnknownSecret(id));
    }
    Ok(Action::SecretDropped)
}
