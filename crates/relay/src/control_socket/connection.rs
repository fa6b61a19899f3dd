//! One connection of the control socket: reads a command, executes it and writes the reply.

use std::cell::RefCell;
use std::io;
use std::time::Duration;

use bytes::BytesMut;
use control::{protocol, Command, LineError, ParsedLine};
use runtime::Runtime;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

use super::connection_slots::{ConnectionSlot, ConnectionSlots};
use super::shared_state::Control;
use crate::client_connections::close_lingering;

/// Time within which the complete command must arrive; long enough for an operator to type it.
const COMMAND_READ_TIMEOUT: Duration = Duration::from_secs(5);
/// Time within which the reply must be written, so that a peer that does not read it cannot hold a slot.
const REPLY_WRITE_TIMEOUT: Duration = Duration::from_secs(2);

/// The reason why no command was executed. The message is the text of the reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
enum CommandError {
    /// The line is not a valid command.
    #[error(transparent)]
    Line(#[from] LineError),
    /// The connection was evicted for a newer one.
    #[error("too many callers")]
    Evicted,
    /// The command did not arrive within [`COMMAND_READ_TIMEOUT`].
    #[error("the line did not come whole")]
    TimedOut,
}

/// Serves one connection until its reply is written or the connection fails, and releases its slot.
pub(super) async fn serve<R: Runtime>(
    mut stream: R::Stream,
    control: &Control<R>,
    slots: &RefCell<ConnectionSlots>,
    slot: &ConnectionSlot,
) {
    let command = read_command(&control.runtime, &mut stream, slot).await;
    let holds_slot = slots.borrow_mut().protect(slot);
    let reply = command.map(|command| match command {
        Ok(command) => control.execute(command),
        Err(error) => protocol::fail_reply(&error.to_string()),
    });
    if let Some(reply) = reply {
        // A peer that has disconnected or does not read only misses its own reply.
        drop(send_reply(&control.runtime, stream, &reply).await);
    }
    if holds_slot {
        slots.borrow_mut().release();
    }
}

/// Reads the command; `None` if the peer closes the connection before the command is complete.
async fn read_command<R: Runtime>(
    runtime: &R,
    stream: &mut R::Stream,
    slot: &ConnectionSlot,
) -> Option<Result<Command, CommandError>> {
    let deadline = runtime.now() + COMMAND_READ_TIMEOUT;
    let mut text = BytesMut::new();
    loop {
        match protocol::parse_line(&text) {
            ParsedLine::Partial => {}
            ParsedLine::Command(command) => return Some(Ok(command)),
            ParsedLine::Invalid(error) => return Some(Err(error.into())),
        }
        text.reserve(protocol::MAX_LINE_LENGTH);
        tokio::select! {
            biased;
            read = stream.read_buf(&mut text) => if !matches!(read, Ok(1..)) { return None },
            () = slot.evicted() => return Some(Err(CommandError::Evicted)),
            () = runtime.sleep_until(deadline) => return Some(Err(CommandError::TimedOut)),
        }
    }
}

async fn send_reply<R: Runtime>(runtime: &R, mut stream: R::Stream, reply: &str) -> io::Result<()> {
    runtime
        .timeout(REPLY_WRITE_TIMEOUT, stream.write_all(reply.as_bytes()))
        .await??;
    close_lingering(runtime, stream).await
}
