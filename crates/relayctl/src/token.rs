//! Bearer tokens, made without a server. The comments on options are the usage texts.

use clap::{Args, ValueEnum};
use serde_json::json;

use crate::credentials::{random_text, sha256_hex};
use crate::error::CommandError;
use crate::input::{choice_name, path_segment};
use crate::output::OutputFormat;

/// What a token is for.
#[derive(Args)]
pub struct TokenArguments {
    /// Its name in the audit log.
    pub name: String,
    /// What its bearer may do.
    #[arg(long, value_enum)]
    pub role: Role,
    /// A tenant that it is for, or the beginning of names followed by *; may be given several times.
    #[arg(long = "tenant", default_value = "*")]
    pub tenants: Vec<String>,
}

/// What a bearer may do.
#[derive(Clone, Copy, ValueEnum)]
pub enum Role {
    /// Look at tenants and their usage.
    Viewer,
    /// Also change, pause, resume, and read the audit log.
    Operator,
    /// Also make and remove tenants, and change secrets.
    Admin,
}

/// Makes a token and prints it with its entry of the operator file.
///
/// # Errors
/// The name is wrong, or the system has no random numbers.
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
