//! The lifecycle of one relay process: it starts, acquires the state directory, serves until it is stopped or another
//! process takes over, and waits for its last calls to end.

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
use crate::operator_config::Operator;
use crate::state_directory::{ListenerOrigin, StateDirectory};

pub use error::RelayError;
use serving::Served;

/// Events that may wait for the event loop; a sender waits when there are more. Also the most that go into one round.
const EVENT_QUEUE_CAPACITY: usize = 1024;

/// Names the descriptor of the listening socket that the platform holds.
const INHERITED_SOCKET_VARIABLE: &str = "BALANCER_SOCKET_FD";

/// What outlasts a hand-over within one process.
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

/// Runs a relay until it is stopped or replaced. The operator file sets what goes beyond the platform's
/// configuration.
///
/// # Errors
/// [`RelayError`] if the relay cannot start or go on; its message is one plain line.
pub async fn run<R: Runtime>(runtime: R, operator_file: Option<PathBuf>) -> Result<(), RelayError> {
    // The handlers are installed first: without a handler, a signal ends the process.
    let signals = runtime.signals().map_err(RelayError::Signals)?;
    let config = Config::load(&runtime)?;
    Operator::load(&runtime, operator_file.as_deref())?;
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

/// Serves operators before anything else is up, so that they can see that the relay is not ready yet.
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

/// Completes once the process receives SIGTERM. Reloads are ignored, as the configuration is yet to be read.
async fn wait_for_stop(signals: &mut impl Signals) {
    while signals.next().await != Signal::Stop {}
}

/// The descriptor of the listening socket that the platform holds, if it does.
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
        // A process that is stopped while it waits takes nothing over, and the other one serves on: this is how an
        // upgrade is called off.
        let mut directory_owner = tokio::select! {
            biased;
            () = wait_for_stop(&mut self.signals) => return Ok(()),
            acquired = state_directory.acquire(listener) => acquired?,
        };
        loop {
            let (departing, clients) = match self.serve(directory_owner).await? {
                Served::Ended => return Ok(()),
                Served::Departing { departing, clients } => (departing, clients),
            };
            match self.finish_calls(departing, &clients).await {
                Some(reclaimed) => directory_owner = reclaimed,
                None => return Ok(()),
            }
        }
    }
}
