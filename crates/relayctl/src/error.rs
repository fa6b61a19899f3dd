//! Why a command failed, and the exit code by which a script can distinguish the causes.

/// Exit code: none of the other causes.
const EXIT_OTHER: u8 = 1;
/// Exit code: the arguments are wrong. The command-line parser uses the same.
const EXIT_INVALID_INPUT: u8 = 2;
/// Exit code: the resource does not exist.
const EXIT_NOT_FOUND: u8 = 3;
/// Exit code: the resource is in another state than the command requires, or in the requested one already.
const EXIT_CONFLICT: u8 = 4;
/// Exit code: the token is missing, unknown or not sufficient.
const EXIT_FORBIDDEN: u8 = 5;
/// Exit code: no response arrived.
const EXIT_UNREACHABLE: u8 = 6;
/// Exit code: the server is busy.
const EXIT_BUSY: u8 = 7;
/// Exit code: the server rejected a value.
const EXIT_INVALID_VALUE: u8 = 8;

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
pub enum CommandError {
    /// No response arrived.
    #[error("{server} cannot be reached: {reason}")]
    Unreachable {
        /// The server's address as it was given.
        server: String,
        /// The error of the connection, or the timeout.
        reason: String,
    },
    /// The server answered with an error.
    #[error("{detail}")]
    Rejected {
        /// Its HTTP status.
        status: u16,
        /// Its text.
        detail: String,
    },
    /// The response does not follow the API's document or the control protocol.
    #[error("the answer is none of the administration API's: {0}")]
    UnexpectedResponse(String),
    /// The request cannot be made from what was given.
    #[error("{0}")]
    InvalidInput(String),
}

impl CommandError {
    /// The server's answer to a command that its state does not allow.
    pub fn conflict(detail: &str) -> Self {
        CommandError::Rejected {
            status: 409,
            detail: detail.into(),
        }
    }

    /// A condition that has not been met in time, and may be later.
    pub fn not_yet(detail: String) -> Self {
        CommandError::Rejected {
            status: 503,
            detail,
        }
    }

    /// Whether the resource does not exist, or no longer.
    pub fn is_not_found(&self) -> bool {
        matches!(
            self,
            CommandError::Rejected {
                status: 404 | 410,
                ..
            }
        )
    }

    /// Whether the same request may succeed a moment later.
    pub fn is_transient(&self) -> bool {
        matches!(
            self,
            CommandError::Unreachable { .. }
                | CommandError::Rejected {
                    status: 429 | 503,
                    ..
                }
        )
    }

    /// The program's exit code.
    pub fn exit_code(&self) -> u8 {
        match self {
            CommandError::InvalidInput(_) => EXIT_INVALID_INPUT,
            CommandError::Unreachable { .. } => EXIT_UNREACHABLE,
            CommandError::UnexpectedResponse(_) => EXIT_OTHER,
            CommandError::Rejected { status, .. } => match status {
                404 | 410 => EXIT_NOT_FOUND,
                409 | 412 | 423 => EXIT_CONFLICT,
                401 | 403 => EXIT_FORBIDDEN,
                429 | 503 => EXIT_BUSY,
                400..=499 => EXIT_INVALID_VALUE,
                _ => EXIT_OTHER,
            },
        }
    }
}
