//! The lifecycle of one relay process: it starts, acquires the state directory, serves until it is stopped or another
//! process takes over, and waits for its remaining calls to end.

mod departing;
mod error;
mod serving;

use std::path::PathBuf;
use std::rc::Rc;

use relay_events::{Clock, RelayEvent};
use runtime::{retry_transient, Runtime, Signal, Signals};
use tokio::sync::mpsc;

use crate::clock_anchor;
use crate::config::Config;
use crate::control_socket::{self, Control};
use crate::operator_config::OperatorConfig;
use crate::state_directory::{ListenerOrigin, StateDirectory};

pub use error::RelayError;
use serving::ServeOutcome;

/// Capacity of the queue of events for the event loop; senders wait while it is full. Also limits the number of events
/// per round.
const EVENT_QUEUE_CAPACITY: usize = 1024;

/// Environment variable with the descriptor of the listening socket that the platform passes to the process.
const INHERITED_SOCKET_VARIABLE: &str = "BALANCER_SOCKET_FD";

/// The state of a process that is kept across a hand-over, in case the process reclaims the state directory and serves
/// again.
struct Process<R: Runtime> {
    runtime: R,
    operator_file: Option<PathBuf>,
    clock: Clock<R>,
    control: Rc<Control<R>>,
    signals: R::Signals,
    events_sender: mpsc::Sender<RelayEvent>,
    events: mpsc::Receiver<RelayEvent>,
    /// Descriptor of the listening socket that the process was started with.
    inherited_listener: Option<i32>,
}

/// Runs a relay until it is stopped or replaced. The operator file contains the settings beyond the platform's
/// configuration; without a path, the functions that it configures are disabled.
///
/// # Errors
/// [`RelayError`] if the relay cannot start or continue. Its message is a single line.
pub async fn run<R: Runtime>(runtime: R, operator_file: Option<PathBuf>) -> Result<(), RelayError> {
    // The handlers are installed first, because a signal without a handler terminates the process.
    let signals = runtime.signals().map_err(RelayError::Signals)?;
    let config = Config::load(&runtime)?;
    OperatorConfig::load(&runtime, operator_file.as_deref())?;
    let inherited_listener = inherited_listener(&runtime)?;
    let control = Control::new(&runtime, &config.classes, config.control.is_some());
    start_control_socket(&runtime, &config, &control).await?;
    let (events_sender, events) = mpsc::channel(EVENT_QUEUE_CAPACITY);
    let mut process = Process {
        clock: clock_anchor::start_clock(&runtime, &config.state),
        runtime,
        operator_file,
        control,
        signals,
        events_sender,
        events,
        inherited_listener,
    };
    let state_directory = StateDirectory::new(&process.runtime, &config.state);
    process.run(state_directory).await
}

/// Starts the control socket before all other parts, so that operators can see that the relay is not ready yet.
async fn start_control_socket<R: Runtime>(
    runtime: &R,
    config: &Config,
    control: &Rc<Control<R>>,
) -> Result<(), RelayError> {
    let Some(address) = config.control else {
        return Ok(());
    };
    let listener = retry_transient(runtime, async || runtime.listen(address).await)
        .await
        .map_err(|source| RelayError::ListenForOperators { address, source })?;
    runtime.spawn(control_socket::serve_operators::<R>(
        listener,
        control.clone(),
    ));
    Ok(())
}

/// Completes once the process receives SIGTERM. Reload signals are ignored, because the configuration is read again
/// when the process begins to serve.
async fn wait_for_stop_signal(signals: &mut impl Signals) {
    while signals.next().await != Signal::Stop {}
}

/// The descriptor of the listening socket that the platform passed to the process; `None` if it passed none.
fn inherited_listener(runtime: &impl Runtime) -> Result<Option<i32>, RelayError> {
    let Some(text) = runtime.env_var(INHERITED_SOCKET_VARIABLE) else {
        return Ok(None);
    };
    let Ok(descriptor) = text.parse() else {
        return Err(RelayError::InvalidDescriptor { text });
    };
    runtime
        .inherited_listener(descriptor)
        .map_err(|source| RelayError::InheritedListener { descriptor, source })?;
    Ok(Some(descriptor))
}

impl<R: Runtime> Process<R> {
    /// Acquires the state directory, and serves whenever this process owns it.
    async fn run(&mut self, state_directory: StateDirectory<R>) -> Result<(), RelayError> {
        let listener = match self.inherited_listener {
            Some(_) => ListenerOrigin::Inherited,
            None => ListenerOrigin::Bound,
        };
        // A process that is stopped while it waits takes nothing over, and the other process continues to serve. This is
        // how an upgrade is cancelled.
        let mut directory_owner = tokio::select! {
            biased;
            () = wait_for_stop_signal(&mut self.signals) => return Ok(()),
            acquired = state_directory.acquire(listener) => acquired?,
        };
        loop {
            let (departing, clients) = match self.serve(directory_owner).await? {
                ServeOutcome::Ended => return Ok(()),
                ServeOutcome::Departing { departing, clients } => (departing, clients),
            };
            match self.finish_calls(departing, &clients).await {
                Some(reclaimed) => directory_owner = reclaimed,
                None => return Ok(()),
            }
        }
    }
}
