//! Parses the parts of a RESP2 array into a typed command, without I/O.

#[cfg(test)]
mod tests;

use bytes::Bytes;
use policy::types::Micros;
use relay_events::EnqueueRequest;
use tenancy::secret::MAX_SECRET_BYTES;
use thiserror::Error;

/// Maximum length of the name of a message or tenant, and of an idempotency key.
const MAX_NAME_BYTES: usize = 128;
/// Maximum length of a part that is read as text.
const MAX_TEXT_BYTES: usize = 1024;
/// Maximum time to live that a client may request, in milliseconds (one day); a longer one is reduced to this.
const MAX_TIME_TO_LIVE_MILLIS: u64 = 86_400_000;
const MICROS_PER_MILLI: Micros = 1000;

/// Whether clients have to authenticate with `AUTH`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Authentication {
    /// The tenants have secrets, and a message is accepted only from an authenticated client.
    Required,
    /// There are no secrets, and `AUTH` is an unknown command.
    Disabled,
}

/// A command with its arguments.
pub(super) enum Request {
    /// `PING`: asks whether the relay accepts messages.
    Ping,
    /// `ENQUEUE`: submits a message.
    Enqueue(Box<EnqueueRequest>),
    /// `AUTH`: authenticates as a tenant; `None` if no tenant can have this name or this secret.
    Authenticate(Option<Credentials>),
}

/// The arguments of `AUTH`.
#[derive(Debug, PartialEq, Eq)]
pub(super) struct Credentials {
    pub(super) name: String,
    pub(super) secret: Vec<u8>,
}

/// Why a request is rejected; the connection stays usable. The message is the text of the error reply.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub(super) enum RequestError {
    /// There is no such command.
    #[error("unknown command")]
    UnknownCommand,
    /// `ENQUEUE` has the wrong number of arguments.
    #[error("ENQUEUE takes a key, an id, a list and a body")]
    EnqueueArguments,
    /// `AUTH` has the wrong number of arguments.
    #[error("AUTH takes a name and a secret")]
    AuthenticateArguments,
    /// The ordering key is not a hexadecimal number of up to 64 bits.
    #[error("the key is not valid")]
    InvalidOrderingKey,
    /// The message's name is empty or too long, or contains characters that are not allowed.
    #[error("the id is not valid")]
    InvalidMessageName,
    /// The list of fields is too long or not printable ASCII.
    #[error("the list is not valid")]
    InvalidFields,
    /// A required field is missing.
    #[error("the list lacks {0}")]
    MissingField(&'static str),
    /// The time to live is not a number.
    #[error("d is no number of milliseconds")]
    InvalidTimeToLive,
    /// The idempotency key is empty or too long, or contains characters that are not allowed.
    #[error("k is not valid")]
    InvalidIdempotencyKey,
    /// The destination is not a 16-bit number.
    #[error("dest is no number of a destination")]
    InvalidDestination,
    /// The body exceeds the limit and was discarded.
    #[error("the body is too long")]
    BodyTooLong,
    /// The connection is about to be closed after too many failed authentications.
    #[error("too many failed authentications")]
    AuthenticationExhausted,
    /// The reply to `PING` while the relay does not accept messages.
    #[error("takes no clients now")]
    NotReady,
}

/// Parses the parts of a request that the client sent at `sent_at`, in microseconds of Unix time.
///
/// # Errors
///
/// The error of the first invalid argument, in the order of the request's parts.
pub(super) fn parse_request(
    parts: &[Bytes],
    sent_at: Micros,
    authentication: Authentication,
) -> Result<Request, RequestError> {
    let (command, arguments) = parts.split_first().ok_or(RequestError::UnknownCommand)?;
    match command.to_ascii_uppercase().as_slice() {
        b"PING" => Ok(Request::Ping),
        b"ENQUEUE" => parse_enqueue(arguments, sent_at)
            .map(Box::new)
            .map(Request::Enqueue),
        b"AUTH" if authentication == Authentication::Required => {
            parse_credentials(arguments).map(Request::Authenticate)
        }
        _ => Err(RequestError::UnknownCommand),
    }
}

fn parse_credentials(arguments: &[Bytes]) -> Result<Option<Credentials>, RequestError> {
    let [name, secret] = arguments else {
        return Err(RequestError::AuthenticateArguments);
    };
    if secret.len() > MAX_SECRET_BYTES {
        return Ok(None);
    }
    Ok(parse_name(name).map(|name| Credentials {
        name: name.into(),
        secret: secret.to_vec(),
    }))
}

/// Parses the arguments of `ENQUEUE`. The event loop checks whether the class, the tenant and the destination exist.
fn parse_enqueue(arguments: &[Bytes], sent_at: Micros) -> Result<EnqueueRequest, RequestError> {
    let [ordering_key, name, fields, body] = arguments else {
        return Err(RequestError::EnqueueArguments);
    };
    let ordering_key = parse_ordering_key(ordering_key)?;
    let name = parse_name(name).ok_or(RequestError::InvalidMessageName)?;
    let fields = Fields(parse_text(fields).ok_or(RequestError::InvalidFields)?);
    let time_to_live_millis: u64 = fields
        .require("d")?
        .parse()
        .map_err(|_| RequestError::InvalidTimeToLive)?;
    let idempotency_key = fields.get("k");
    if idempotency_key.is_some_and(|key| !is_name(key)) {
        return Err(RequestError::InvalidIdempotencyKey);
    }
    let time_to_live = time_to_live_millis.min(MAX_TIME_TO_LIVE_MILLIS) * MICROS_PER_MILLI;
    Ok(EnqueueRequest {
        name: name.into(),
        ordering_key,
        class: fields.require("c")?.into(),
        // Clients send no tenant if the settings define none.
        tenant: fields.get("t").unwrap_or_default().into(),
        destination: fields
            .require("dest")?
            .parse()
            .map_err(|_| RequestError::InvalidDestination)?,
        deadline: sent_at + time_to_live,
        idempotency_key: idempotency_key.map(String::from),
        is_resubmitted: fields.get("r") == Some("1"),
        body: Bytes::copy_from_slice(body),
        login: None,
        reply: None,
    })
}

/// Parses a hexadecimal ordering key; 0 stands for no key.
fn parse_ordering_key(part: &[u8]) -> Result<Option<u64>, RequestError> {
    let key = parse_text(part)
        .and_then(|key| u64::from_str_radix(key, 16).ok())
        .ok_or(RequestError::InvalidOrderingKey)?;
    Ok(Some(key).filter(|key| *key != 0))
}

/// The fields of `ENQUEUE`: `name=value` pairs separated by commas. If a name occurs twice, the first pair applies.
struct Fields<'a>(&'a str);

impl<'a> Fields<'a> {
    fn get(&self, wanted: &str) -> Option<&'a str> {
        let mut pairs = self.0.split(',').filter_map(|pair| pair.split_once('='));
        pairs
            .find(|(name, _)| *name == wanted)
            .map(|(_, value)| value)
    }

    fn require(&self, wanted: &'static str) -> Result<&'a str, RequestError> {
        self.get(wanted).ok_or(RequestError::MissingField(wanted))
    }
}

fn parse_name(part: &[u8]) -> Option<&str> {
    parse_text(part).filter(|text| is_name(text))
}

fn is_name(text: &str) -> bool {
    (1..=MAX_NAME_BYTES).contains(&text.len()) && !text.contains(' ')
}

/// Parses a part that must be printable ASCII, so that it is safe to use in a header.
fn parse_text(part: &[u8]) -> Option<&str> {
    let is_printable = part.iter().all(|byte| (b' '..=b'~').contains(byte));
    std::str::from_utf8(part)
        .ok()
        .filter(|text| is_printable && text.len() <= MAX_TEXT_BYTES)
}
