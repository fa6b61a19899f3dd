//! `relayctl`: a relay's tenants and undeliverable messages from a shell. It knows the administration API's document, not the relay.

mod arguments;
mod client;
mod control;
mod output;
mod undeliverable;

use std::io::Read;
use std::path::Path;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use base64::Engine;
use clap::{Parser, ValueEnum};
use hyper::Method;
use rand::rngs::SysRng;
use rand::TryRng;
use serde_json::{json, Map, Value};
use sha2::{Digest, Sha256};

use arguments::{Arguments, Command, Field, Secrets, SpecArguments, Tenants};
use client::{Answer, Ask, Client, Failure};

const JSON: &str = "application/json";
/// A tenant that drains is looked at so often.
const LOOK: Duration = Duration::from_millis(200);

/// Random text of 256 bits.
fn random() -> Result<String, Failure> {
    let mut bytes = [0; 32];
    let drawn = SysRng.try_fill_bytes(&mut bytes);
    drawn.map_err(|e| Failure::Usage(format!("the system gives no random numbers: {e}")))?;
    Ok(URL_SAFE_NO_PAD.encode(bytes))
}

fn digest(text: &str) -> String {
    Sha256::digest(text.as_bytes())
        .iter()
        .map(|byte| format!("{byte:02x}"))
        .collect()
}

/// What a choice is called, on the command line and by the API.
fn word(choice: impl ValueEnum) -> String {
    choice
        .to_possible_value()
        .map_or_else(String::new, |choice| choice.get_name().into())
}

/// The parts of a specification that were given.
fn spec(given: &SpecArguments) -> Map<String, Value> {
    let mut spec = Map::new();
    let mut set = |name: &str, value: Option<Value>| {
        value
            .into_iter()
            .for_each(|value| drop(spec.insert(name.into(), value)));
    };
    set("weight", given.weight.map(Value::from));
    let burst = |rate: f64| {
        given
            .burst
            .unwrap_or_else(|| rate.ceil().clamp(1.0, 1e6) as u32)
    };
    set(
        "rate",
        given
            .rate
            .map(|rate| json!({"per_second": rate, "burst": burst(rate)})),
    );
    set("max_held", given.max_held.map(Value::from));
    set("max_in_flight", given.max_in_flight.map(Value::from));
    set(
        "classes",
        (!given.classes.is_empty()).then(|| json!(given.classes)),
    );
    set(
        "destinations",
        (!given.destinations.is_empty()).then(|| json!(given.destinations)),
    );
    set("on_removal", given.on_removal.map(|how| word(how).into()));
    spec
}

fn name_of(field: Field) -> &'static str {
    match field {
        Field::Weight => "weight",
        Field::Rate => "rate",
        Field::MaxHeld => "max_held",
        Field::MaxInFlight => "max_in_flight",
        Field::Classes => "classes",
        Field::Destinations => "destinations",
        Field::OnRemoval => "on_removal",
    }
}

/// A name as it stands in a path.
fn in_path(name: &str) -> Result<&str, Failure> {
    let plain = |byte: u8| byte.is_ascii_alphanumeric() || b"._-".contains(&byte);
    if !name.is_empty() && name.bytes().all(plain) {
        return Ok(name);
    }
    Err(Failure::Usage(format!(
        "{name:?} is no name: letters, digits, '.', '_' and '-' only"
    )))
}

fn file(path: &Path) -> Result<String, Failure> {
    let bad = |e: std::io::Error| Failure::Usage(format!("cannot read {}: {e}", path.display()));
    if path == Path::new("-") {
        let mut text = String::new();
        std::io::stdin().read_to_string(&mut text).map_err(bad)?;
        return Ok(text);
    }
    std::fs::read_to_string(path).map_err(bad)
}

struct Run {
    client: Client,
    json: bool,
}

impl Run {
    fn print(&self, value: &Value, table: impl FnOnce(&Value) -> String) {
        if self.json {
            println!("{value}");
        } else {
            print!("{}", table(value));
        }
    }

    fn tenant(&self, answer: &Answer) {
        self.print(&answer.body, |tenant| output::tenants([tenant]));
    }

    /// A change of a tenant, for the version that was given or else the one that there is.
    async fn change(
        &self,
        name: &str,
        version: Option<String>,
        ask: Ask,
    ) -> Result<Answer, Failure> {
        let etag = match version {
            Some(version) => format!("\"{}\"", version.trim_matches('"')),
            None => {
                let shown = self
                    .client
                    .ask(Ask::new(Method::GET, path(name, "")?))
                    .await?;
                shown
                    .etag
                    .ok_or_else(|| Failure::Strange("the tenant has no ETag".into()))?
            }
        };
        self.client
            .ask(
                ask.header("if-match", etag)
                    .header("idempotency-key", random()?),
            )
            .await
    }

    /// All pages of a list, up to so many items.
    async fn pages(&self, list: &str, most: usize) -> Result<Vec<Value>, Failure> {
        let mut all = Vec::new();
        let mut cursor = String::new();
        loop {
            let limit = (most - all.len()).min(200);
            let page = self
                .client
                .ask(Ask::new(
                    Method::GET,
                    format!("{list}limit={limit}{cursor}"),
                ))
                .await?;
            all.extend(page.body["items"].as_array().cloned().unwrap_or_default());
            match page.body["next"].as_str() {
                Some(next) if all.len() < most => cursor = format!("&cursor={next}"),
                _ => return Ok(all),
            }
        }
    }

    async fn tenants(&self, command: Tenants) -> Result<(), Failure> {
        let put = |method: Method, name: &str, rest: &str| {
            path(name, rest).map(|path| Ask::new(method, path))
        };
        let answer = match command {
            Tenants::List => {
                let all = Value::from(self.pages("/v1/tenants?", usize::MAX).await?);
                self.print(&all, |all| {
                    output::tenants(all.as_array().into_iter().flatten())
                });
                return Ok(());
            }
            Tenants::Usage { name } => {
                let usage = self.client.ask(put(Method::GET, &name, "/usage")?).await?;
                self.print(&usage.body, output::usage);
                return Ok(());
            }
            Tenants::Show { name } => self.client.ask(put(Method::GET, &name, "")?).await?,
            Tenants::Create { name, spec: given } => {
                let body = json!({"name": in_path(&name)?, "spec": spec(&given)});
                let ask = Ask::new(Method::POST, "/v1/tenants").body(JSON, body);
                self.client
                    .ask(ask.header("idempotency-key", random()?))
                    .await?
            }
            Tenants::Set {
                name,
                spec: given,
                clear,
                if_version,
            } => {
                let mut patch = spec(&given);
                clear
                    .into_iter()
                    .for_each(|field| drop(patch.insert(name_of(field).into(), Value::Null)));
                if patch.is_empty() {
                    return Err(Failure::Usage("nothing is to be set".into()));
                }
                let ask = put(Method::PATCH, &name, "")?;
                let ask = ask.body("application/merge-patch+json", json!({"spec": patch}));
                self.change(&name, if_version, ask).await?
            }
            Tenants::Replace {
                name,
                from,
                if_version,
            } => {
                let spec: Value = serde_json::from_str(&file(&from)?)
                    .map_err(|e| Failure::Usage(format!("{} is no JSON: {e}", from.display())))?;
                let ask = put(Method::PUT, &name, "")?.body(JSON, json!({"spec": spec}));
                self.change(&name, if_version, ask).await?
            }
            Tenants::Pause { name, if_version } => {
                self.change(&name, if_version, put(Method::POST, &name, "/pause")?)
                    .await?
            }
            Tenants::Resume { name, if_version } => {
                self.change(&name, if_version, put(Method::POST, &name, "/resume")?)
                    .await?
            }
            Tenants::Remove {
                name,
                on_removal: how,
                wait,
                if_version,
            } => {
                let rest = how.map_or(String::new(), |how| format!("?on_removal={}", word(how)));
                let answer = self
                    .change(&name, if_version, put(Method::DELETE, &name, &rest)?)
                    .await?;
                if let Some(seconds) = wait {
                    self.drained(&name, &answer.body["version"], Duration::from_secs(seconds))
                        .await?;
                }
                answer
            }
        };
        self.tenant(&answer);
        Ok(())
    }

    /// Waits until a tenant that was removed has drained.
    async fn drained(
        &self,
        name: &str,
        version: &Value,
        patience: Duration,
    ) -> Result<(), Failure> {
        let generation = |version: &Value| {
            version
                .as_str()
                .and_then(|v| v.split_once('.'))
                .map(|v| v.0.to_string())
        };
        let until = Instant::now() + patience;
        loop {
            match self
                .client
                .ask(Ask::new(Method::GET, path(name, "")?))
                .await
            {
                Err(Failure::Refused {
                    status: 404 | 410, ..
                }) => return Ok(()),
                Err(other) => return Err(other),
                Ok(answer) => {
                    let draining = answer.body["draining"].as_array().into_iter().flatten();
                    let mut there = std::iter::once(&answer.body["version"]).chain(draining);
                    if !there.any(|other| generation(other) == generation(version)) {
                        return Ok(());
                    }
                }
            }
            if Instant::now() >= until {
                let detail = format!("{name} has not drained yet");
                return Err(Failure::Refused {
                    status: 503,
                    detail,
                });
            }
            tokio::time::sleep(LOOK).await;
        }
    }

    async fn secrets(&self, command: Secrets) -> Result<(), Failure> {
        match command {
            Secrets::Add {
                tenant,
                id,
                if_version,
            } => {
                let secret = random()?;
                let body = json!({"id": id, "sha256": digest(&secret)});
                let ask = Ask::new(Method::POST, path(&tenant, "/secrets")?).body(JSON, body);
                let answer = self.change(&tenant, if_version, ask).await?;
                let shown = json!({"tenant": tenant, "id": id, "secret": secret, "version": answer.body["version"]});
                self.print(&shown, output::fields);
            }
            Secrets::Remove {
                tenant,
                id,
                if_version,
            } => {
                let at = path(&tenant, &format!("/secrets/{}", in_path(&id)?))?;
                let answer = self
                    .change(&tenant, if_version, Ask::new(Method::DELETE, at))
                    .await?;
                self.tenant(&answer);
            }
        }
        Ok(())
    }

    async fn run(&self, command: Command) -> Result<(), Failure> {
        match command {
            Command::Tenants(command) => self.tenants(command).await,
            Command::Secrets(command) => self.secrets(command).await,
            // Said before there is a client of the API.
            Command::Control(_) => Ok(()),
            Command::Undeliverable(command) => self.undeliverable(command).await,
            Command::Audit { tenant, limit } => {
                let of = match &tenant {
                    Some(tenant) => format!("tenant={}&", in_path(tenant)?),
                    None => String::new(),
                };
                let all = Value::from(
                    self.pages(&format!("/v1/audit?{of}"), usize::from(limit))
                        .await?,
                );
                self.print(&all, |all| {
                    output::audit(all.as_array().into_iter().flatten())
                });
                Ok(())
            }
            Command::Status => {
                let status = self.client.ask(Ask::new(Method::GET, "/v1/status")).await?;
                self.print(&status.body, output::fields);
                Ok(())
            }
            Command::Openapi => {
                let document = self
                    .client
                    .ask(Ask::new(Method::GET, "/v1/openapi.json"))
                    .await?;
                println!("{}", document.body);
                Ok(())
            }
            Command::Token {
                name,
                role,
                tenants,
            } => {
                let (name, token) = (in_path(&name)?, random()?);
                let role = word(role);
                let sha256 = digest(&token);
                let shown = json!({"name": name, "role": role, "tenants": tenants, "token": token, "sha256": sha256});
                self.print(&shown, |_| {
                    let scope = tenants.iter().map(|t| format!("{t:?}")).collect::<Vec<_>>().join(", ");
                    format!(
                        "token: {token}\n\nfor the operator file:\n\n[[admin.tokens]]\nname = {name:?}\n\
                         role = {role:?}\nsha256 = {sha256:?}\ntenants = [{scope}]\n"
                    )
                });
                Ok(())
            }
        }
    }
}

fn path(name: &str, rest: &str) -> Result<String, Failure> {
    Ok(format!("/v1/tenants/{}{rest}", in_path(name)?))
}

fn run(arguments: Arguments) -> Result<(), Failure> {
    if let Command::Control(control) = &arguments.command {
        print!(
            "{}",
            control::call(
                control,
                arguments.json,
                Duration::from_secs(arguments.timeout)
            )?
        );
        return Ok(());
    }
    let token = match &arguments.token_file {
        Some(path) => Some(file(path)?.trim().to_string()),
        None => std::env::var("MADDERPITCH_TOKEN")
            .ok()
            .filter(|token| !token.is_empty()),
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = runtime.map_err(|e| Failure::Usage(format!("cannot start: {e}")))?;
    let client = Client::new(
        arguments.server,
        token,
        Duration::from_secs(arguments.timeout),
    );
    runtime.block_on(
        Run {
            client,
            json: arguments.json,
        }
        .run(arguments.command),
    )
}

fn main() -> ExitCode {
    match run(Arguments::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("relayctl: {}", failure.to_string().replace('\n', " "));
            ExitCode::from(failure.code())
        }
    }
}
