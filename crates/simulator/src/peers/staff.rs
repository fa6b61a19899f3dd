//! Staff, their scripts and the platform's front: they ask a relay how it does.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use runtime::Runtime;
use tokio::io::AsyncWriteExt;

use super::connection::{frame, Connection};
use super::Stage;
use crate::history::Observation;
use crate::machine::ProcId;

/// A caller at the door waits so long.
const PATIENCE: Duration = Duration::from_secs(1);
/// The front asks so often, and waits so long for an answer.
const ASKS: (Duration, Duration) = (Duration::from_millis(100), Duration::from_millis(400));
/// So long after a no the front opens no connection any more.
const SHUT: Duration = Duration::from_millis(200);
/// Figures are fetched so often.
const FETCHES: Duration = Duration::from_millis(200);
/// Staff say a word again until it works, so often and so long.
const AGAIN: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(8));
/// Callers that say nothing, and how soon they are there again.
pub const LOITERERS: usize = 20;
/// Clients that hold an idle connection.
pub const IDLERS: usize = 3;
const BACK: Duration = Duration::from_millis(300);

/// Where the relay's door is: the process and its address.
pub type Door = Rc<Cell<(ProcId, SocketAddr)>>;

/// Asks with `PING` for good, and tells those who open connections whether they may.
pub async fn front<R: Runtime>(stage: Stage<R>, relay: SocketAddr, shut: Rc<Cell<bool>>) {
    let mut no: Option<Duration> = None;
    loop {
        let asked = async {
            let mut open = Connection::open(&stage, relay).await?;
            open.stream.write_all(&frame(&[b"PING"])).await?;
            open.line().await
        };
        // One that says nothing may have died, which the front notices only much later.
        if let Ok(Ok(Some(line))) = stage.runtime.timeout(ASKS.1, asked).await {
            let yes = line == "+PONG";
            stage.observe(&Observation::ReadinessProbed(yes));
            no = (!yes).then(|| no.unwrap_or(stage.at()));
        }
        shut.set(no.is_some_and(|no| stage.at() >= no + SHUT));
        stage.runtime.sleep(ASKS.0).await;
    }
}

/// Holds a connection of a client for as long as the relay lets it, and uses it once.
pub async fn idle<R: Runtime>(stage: Stage<R>, relay: SocketAddr, shut: Rc<Cell<bool>>) {
    loop {
        let held = async {
            let mut open = Connection::open(&stage, relay).await?;
            open.stream.write_all(&frame(&[b"PING"])).await?;
            while open.line().await?.is_some() {}
            io::Result::Ok(())
        };
        if !shut.get() {
            // It comes again, whether it was closed or not let in.
            drop(held.await);
        }
        stage.runtime.sleep(BACK).await;
    }
}

/// One call at a door: the whole answer, none if the process ended it.
async fn call<R: Runtime>(stage: &Stage<R>, door: SocketAddr, word: &str) -> io::Result<String> {
    let mut open = Connection::open(stage, door).await?;
    open.stream
        .write_all(format!("{word}\n").as_bytes())
        .await?;
    let mut text = String::new();
    while let Some(line) = open.line().await? {
        text += &line;
        text.push('\n');
    }
    Ok(text)
}

/// Fetches figures for good.
pub async fn fetch<R: Runtime>(stage: Stage<R>, door: Door) {
    loop {
        let (process, at) = door.get();
        let asked = stage.at();
        match stage
            .runtime
            .timeout(PATIENCE, call(&stage, at, "show-stat"))
            .await
        {
            Ok(Ok(text)) if text.starts_with("ok") && text.ends_with("eof\n") => {
                stage.observe(&Observation::MetricsReported {
                    process,
                    requested_at: asked,
                    text: &text,
                });
            }
            Ok(_) => {}
            Err(_) if door.get().0 == process => stage.observe(&Observation::ControlCallTimedOut),
            Err(_) => {}
        }
        stage.runtime.sleep(FETCHES).await;
    }
}

/// Comes to the door again and again, and says nothing.
pub async fn loiter<R: Runtime>(stage: Stage<R>, door: Door) {
    loop {
        if let Ok(mut open) = Connection::open(&stage, door.get().1).await {
            let _ = open.line().await;
        }
        stage.runtime.sleep(BACK).await;
    }
}

/// Drains a relay, or puts it back to work: says so until it works, or gives up.
pub async fn switch<R: Runtime>(stage: Stage<R>, door: Door, drain: bool) {
    let word = if drain { "drain" } else { "resume" };
    let until = stage.at() + if drain { Duration::ZERO } else { AGAIN.1 };
    loop {
        if !drain {
            stage.observe(&Observation::ResumeRequested);
        }
        let (process, at) = door.get();
        let told = stage
            .runtime
            .timeout(PATIENCE, call(&stage, at, word))
            .await;
        if matches!(&told, Ok(Ok(text)) if text.starts_with("ok")) {
            // One that was killed with its answer on its way has told the next one nothing.
            if !drain || door.get().0 == process {
                stage.observe(&Observation::DrainingConfirmed(drain));
            }
            return;
        }
        if stage.at() >= until {
            return;
        }
        stage.runtime.sleep(AGAIN.0).await;
    }
}
