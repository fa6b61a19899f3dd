//! Creates bearer tokens without a server. The doc comments on options are the help texts.

use clap::{Args, ValueEnum};
use serde_json::json;

use crate::credentials::{random_text, sha256_hex};
use crate::error::CommandError;
use crate::input::{choice_name, path_segment};
use crate::output::OutputFormat;

/// Arguments of the `token` command.
#[derive(Args)]
pub struct TokenArguments {
    /// Name of the bearer in the audit log.
    pub name: String,
    /// What the bearer may do.
    #[arg(long, value_enum)]
    pub role: Role,
    /// Tenant that the token is valid for, or a name prefix followed by *; may be given several times.
    #[arg(long = "tenant", default_value = "*")]
    pub tenants: Vec<String>,
}

/// The permissions of a bearer.
#[derive(Clone, Copy, ValueEnum)]
pub enum Role {
    /// Read tenants and their usage.
    Viewer,
    /// Also change, pause and resume tenants, and read the audit log.
    Operator,
    /// Also create and remove tenants, and change secrets.
    Admin,
}

/// Creates a token and prints it with its entry for the operator file.
///
/// # Errors
/// The name is not valid, or the system cannot provide random numbers.
pub fn create(arguments: &TokenArguments, output: OutputFormat) -> Result<(), CommandError> {
    let name = path_segment(&arguments.name)?;
    let token = random_text()?;
    let role = choice_name(arguments.role);
    let sha256 = sha256_hex(&token);
    let tenants = &arguments.tenants;
    let created =
        json!({"name": name, "role": role, "tenants": tenants, "token": token, "sha256": sha256});
    output.print(&created, |_| {
        let scope: Vec<String> = tenants.iter().map(|tenant| format!("{tenant:?}")).collect();
        let scope = scope.join(", ");
        format!(
            "token: {token}\n\nfor the operator file:\n\n[[admin.tokens]]\nname = {name:?}\n\
             role = {role:?}\nsha256 = {sha256:?}\ntenants = [{scope}]\n"
        )
    });
    Ok(())
}
