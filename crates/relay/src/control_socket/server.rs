//! The accept loop of the control socket.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use runtime::{log, Listener, Runtime};

use super::connection;
use super::connection_slots::{ConnectionSlots, MAX_CONNECTIONS};
use super::shared_state::Control;

/// Number of file descriptors that the control socket uses: its listener, its connections, and one that is being
/// accepted.
pub const SOCKETS: usize = MAX_CONNECTIONS + 2;
/// Delay before the next accept after a failed one, for example when no file descriptor is available.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Accepts and serves connections until the process exits.
pub async fn serve_operators<R: Runtime>(listener: R::Listener, control: Rc<Control<R>>) {
    let slots: Rc<RefCell<ConnectionSlots>> = Rc::default();
    loop {
        let stream = match listener.accept().await {
            Ok(stream) => stream,
            Err(error) => {
                log!(control.runtime, "control: accept_failed error={error}");
                control.runtime.sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let slot = slots.borrow_mut().acquire();
        let (control, slots) = (control.clone(), slots.clone());
        control.runtime.clone().spawn(async move {
            connection::serve(stream, &control, &slots, &slot).await;
        });
    }
}
