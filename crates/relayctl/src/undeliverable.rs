//! Undeliverable messages: looked through, claimed, spoken of, and sent again one by one or in batches.

use std::io::Write;
use std::path::PathBuf;

use clap::{Args, Subcommand, ValueEnum};
use hyper::Method;
use serde_json::{json, Map, Value};

use crate::client::{Answer, Ask, Failure};
use crate::{in_path, output, word, Run, JSON};

/// The path of the records, and of the batches.
const RECORDS: &str = "/v1/undeliverable";
const BATCHES: &str = "/v1/undeliverable-batches";

/// What is done with undeliverable messages.
#[derive(Subcommand)]
pub enum Undeliverable {
    /// List records, newest first.
    List {
        /// Which.
        #[command(flatten)]
        filter: FilterArguments,
        /// So many at most.
        #[arg(long, default_value_t = 50, value_parser = clap::value_parser!(u32).range(1..=100_000))]
        limit: u32,
    },
    /// Print records with their stories, a JSON object a line, newest first.
    Export {
        /// Which.
        #[command(flatten)]
        filter: FilterArguments,
        /// Into this file, which must not be there; to standard output if absent.
        #[arg(long)]
        to: Option<PathBuf>,
    },
    /// Show a record with its whole story.
    Show {
        /// Its number.
        id: u64,
    },
    /// Count records.
    Counts {
        /// By what.
        #[arg(long, value_enum, default_value = "reason")]
        by: Group,
    },
    /// Show how the store does.
    Status,
    /// Set a record aside: until the claim is over nobody else may change it.
    Claim(OneArguments),
    /// Give a claim up.
    Release(OneArguments),
    /// Send a message again, if its rules allow that now.
    Resend(OneArguments),
    /// Ask the partner whether the message took effect.
    Ask(OneArguments),
    /// Say whether a message took effect; two operators who agree stand for the partner's word.
    Attest {
        /// Which record.
        #[command(flatten)]
        one: OneArguments,
        /// What is so.
        #[arg(long, value_enum)]
        says: Says,
    },
    /// Close a record without more.
    Discard(OneArguments),
    /// Many records under one name.
    #[command(subcommand)]
    Batch(Batch),
}

/// What is done with batches.
#[derive(Subcommand)]
pub enum Batch {
    /// List batches.
    List,
    /// Show a batch.
    Show {
        /// Its name.
        name: String,
    },
    /// Count what a batch would find, and keep it; nothing is sent before it is run.
    Plan {
        /// Its name.
        name: String,
        /// Which of the records that are open now.
        #[command(flatten)]
        filter: FilterArguments,
        /// Records a second at most, 0.01 to 1000.
        #[arg(long, default_value_t = 1.0)]
        per_second: f64,
        /// Records out at once at most, 1 to 64.
        #[arg(long, default_value_t = 1)]
        at_once: u32,
        /// It stops by itself once so many of the last twice as many failed.
        #[arg(long, default_value_t = 5)]
        stop_after: u32,
    },
    /// Run a batch, or let one go on.
    Run(NamedArguments),
    /// Send nothing new of a batch for now.
    Pause(NamedArguments),
    /// Send nothing more of a batch, for good.
    Cancel(NamedArguments),
}

/// One record.
#[derive(Args)]
pub struct OneArguments {
    /// Its number.
    pub id: u64,
    /// Only in this version; else in the one that it has.
    #[arg(long)]
    pub if_version: Option<u32>,
}

/// One batch.
#[derive(Args)]
pub struct NamedArguments {
    /// Its name.
    pub name: String,
    /// Only in this version; else in the one that it has.
    #[arg(long)]
    pub if_version: Option<u32>,
}

/// Which records.
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

/// By what records are counted.
#[derive(Clone, Copy, ValueEnum)]
pub enum Group {
    /// The partner.
    Destination,
    /// The class.
    Class,
    /// The reason.
    Reason,
    /// The tenant.
    Tenant,
    /// The state.
    State,
}

/// What is so of a message.
#[derive(Clone, Copy, ValueEnum)]
pub enum Says {
    /// It took effect.
    Applied,
    /// It did not, and will not.
    NotApplied,
    /// That can't be told.
    Unknown,
}

impl FilterArguments {
    fn fields(&self) -> Map<String, Value> {
        let mut fields = Map::new();
        let mut set = |name: &str, value: Option<Value>| {
            value
                .into_iter()
                .for_each(|value| drop(fields.insert(name.into(), value)));
        };
        set("destination", self.destination.map(Value::from));
        set("class", self.class.clone().map(Value::from));
        set("reason", self.reason.clone().map(Value::from));
        set("tenant", self.tenant.clone().map(Value::from));
        set("since", self.since.clone().map(Value::from));
        set("until", self.until.clone().map(Value::from));
        set("may_have_run", self.may_have_run.map(Value::from));
        set("state", self.state.clone().map(Value::from));
        fields
    }

    /// The list's address, to which the page is added.
    fn list(&self) -> Result<String, Failure> {
        let mut list = format!("{RECORDS}?");
        for (name, value) in self.fields() {
            let value = value
                .as_str()
                .map_or_else(|| value.to_string(), String::from);
            // Names and times stand in an address as they are, but for the plus of a time zone.
            let plain = |byte: u8| byte.is_ascii_alphanumeric() || b"._-:+".contains(&byte);
            if value.is_empty() || !value.bytes().all(plain) {
                return Err(Failure::Usage(format!(
                    "--{}: {value:?} is no such value",
                    name.replace('_', "-")
                )));
            }
            list += &format!("{name}={}&", value.replace('+', "%2B"));
        }
        Ok(list)
    }
}

impl Run {
    /// A change of what is at an address, in the version that was given or else the one that it has.
    async fn change_at(&self, at: &str, version: Option<u32>, ask: Ask) -> Result<Answer, Failure> {
        let etag = match version {
            Some(version) => format!("\"{version}\""),
            None => {
                let shown = self.client.ask(Ask::new(Method::GET, at)).await?;
                shown
                    .etag
                    .ok_or_else(|| Failure::Strange("what is shown has no ETag".into()))?
            }
        };
        self.client.ask(ask.header("if-match", etag)).await
    }

    async fn act(&self, one: OneArguments, act: &str, body: Option<Value>) -> Result<(), Failure> {
        let at = format!("{RECORDS}/{}", one.id);
        let mut ask = Ask::new(Method::POST, format!("{at}/{act}"));
        if let Some(body) = body {
            ask = ask.body(JSON, body);
        }
        let answer = self.change_at(&at, one.if_version, ask).await?;
        self.print(&answer.body, |record| output::records([record]));
        Ok(())
    }

    async fn batch(&self, command: Batch) -> Result<(), Failure> {
        let (named, order) = match command {
            Batch::List => {
                let all =
                    self.client.ask(Ask::new(Method::GET, BATCHES)).await?.body["items"].take();
                self.print(&all, |all| {
                    output::batches(all.as_array().into_iter().flatten())
                });
                return Ok(());
            }
            Batch::Show { name } => {
                let at = format!("{BATCHES}/{}", in_path(&name)?);
                let batch = self.client.ask(Ask::new(Method::GET, at)).await?;
                self.print(&batch.body, output::fields);
                return Ok(());
            }
            Batch::Plan {
                name,
                filter,
                per_second,
                at_once,
                stop_after,
            } => {
                let mut fields = filter.fields();
                if fields.remove("state").is_some_and(|state| state != "open") {
                    return Err(Failure::Usage("a batch is of open records".into()));
                }
                let body = json!({"name": in_path(&name)?, "filter": fields, "per_second": per_second,
                    "at_once": at_once, "stop_after": stop_after});
                let batch = self
                    .client
                    .ask(Ask::new(Method::POST, BATCHES).body(JSON, body))
                    .await?;
                self.print(&batch.body, output::fields);
                return Ok(());
            }
            Batch::Run(named) => (named, "run"),
            Batch::Pause(named) => (named, "pause"),
            Batch::Cancel(named) => (named, "cancel"),
        };
        let at = format!("{BATCHES}/{}", in_path(&named.name)?);
        let ask = Ask::new(Method::POST, format!("{at}/{order}"));
        let batch = self.change_at(&at, named.if_version, ask).await?;
        self.print(&batch.body, |batch| output::batches([batch]));
        Ok(())
    }

    /// Prints a page at a time, so that an export of any length takes little memory.
    async fn export(&self, filter: &FilterArguments, to: Option<PathBuf>) -> Result<(), Failure> {
        let bad = |e: std::io::Error| Failure::Usage(format!("cannot write the export: {e}"));
        let mut out: Box<dyn Write> = match to {
            Some(path) => Box::new(std::fs::File::create_new(path).map_err(bad)?),
            None => Box::new(std::io::stdout()),
        };
        let list = filter.list()?;
        let mut cursor = String::new();
        loop {
            let page = self
                .client
                .ask(Ask::new(Method::GET, format!("{list}limit=200{cursor}")))
                .await?;
            let mut lines = String::new();
            for record in page.body["items"].as_array().into_iter().flatten() {
                lines += &format!("{record}\n");
            }
            out.write_all(lines.as_bytes()).map_err(bad)?;
            let Some(next) = page.body["next"].as_str() else {
                return out.flush().map_err(bad);
            };
            cursor = format!("&cursor={next}");
        }
    }

    /// Does what is asked for with undeliverable messages.
    pub async fn undeliverable(&self, command: Undeliverable) -> Result<(), Failure> {
        let get = |path: String| self.client.ask(Ask::new(Method::GET, path));
        match command {
            Undeliverable::List { filter, limit } => {
                let all = Value::from(self.pages(&filter.list()?, limit as usize).await?);
                self.print(&all, |all| {
                    output::records(all.as_array().into_iter().flatten())
                });
                Ok(())
            }
            Undeliverable::Export { filter, to } => self.export(&filter, to).await,
            Undeliverable::Show { id } => {
                let record = get(format!("{RECORDS}/{id}")).await?;
                self.print(&record.body, output::story);
                Ok(())
            }
            Undeliverable::Counts { by } => {
                let counts =
                    get(format!("{RECORDS}/counts?by={}", word(by))).await?.body["items"].take();
                self.print(&counts, |all| {
                    output::counts(&word(by), all.as_array().into_iter().flatten())
                });
                Ok(())
            }
            Undeliverable::Status => {
                let status = get(format!("{RECORDS}/status")).await?;
                self.print(&status.body, output::fields);
                Ok(())
            }
            Undeliverable::Claim(one) => self.act(one, "claim", None).await,
            Undeliverable::Release(one) => self.act(one, "release", None).await,
            Undeliverable::Resend(one) => self.act(one, "resend", None).await,
            Undeliverable::Ask(one) => self.act(one, "ask", None).await,
            Undeliverable::Discard(one) => self.act(one, "discard", None).await,
            Undeliverable::Attest { one, says } => {
                self.act(one, "attest", Some(json!({"says": word(says)})))
                    .await
            }
            Undeliverable::Batch(command) => self.batch(command).await,
        }
    }
}
