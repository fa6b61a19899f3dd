//! Errors of commands, and the exit codes by which scripts distinguish them.

/// Exit code: any failure that has no code of its own.
const EXIT_OTHER: u8 = 1;
/// Exit code: the arguments are not valid. The command-line parser uses the same code.
const EXIT_INVALID_INPUT: u8 = 2;
/// Exit code: the resource does not exist.
const EXIT_NOT_FOUND: u8 = 3;
/// Exit code: the resource is not in the state that the command requires, or is already in the requested one.
const EXIT_CONFLICT: u8 = 4;
/// Exit code: the token is missing, unknown or lacks the required permissions.
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
        /// The server's address as given.
        server: String,
        /// The connection's error, or that the timeout expired.
        reason: String,
    },
    /// The server responded with an error.
    #[error("{detail}")]
    Rejected {
        /// HTTP status of the response.
        status: u16,
        /// Error text of the response.
        detail: String,
    },
    /// The response does not conform to the API's OpenAPI document or to the control protocol.
    #[error("unexpected response: {0}")]
    UnexpectedResponse(String),
    /// The input is not valid, or the command cannot run with it.
    #[error("{0}")]
    InvalidInput(String),
}

impl CommandError {
    /// An error as for a response with status 409: the server's state does not allow the command.
    pub fn conflict(detail: &str) -> Self {
        CommandError::Rejected {
            status: 409,
            detail: detail.into(),
        }
    }

    /// An error as for a response with status 503: a condition was not met in time, but may be met later.
    pub fn not_yet(detail: String) -> Self {
        CommandError::Rejected {
            status: 503,
            detail,
        }
    }

    /// Whether the resource does not exist, or has been removed.
    pub fn is_not_found(&self) -> bool {
        matches!(
            self,
            CommandError::Rejected {
                status: 404 | 410,
                ..
            }
        )
    }

    /// Whether the same request may succeed if it is retried shortly after.
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
