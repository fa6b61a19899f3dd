//! Opening connections.

use std::io;
use std::time::Duration;

use runtime::Address;

use super::connection::{PlannedReset, Side};
use super::context::ProcessContext;
use super::planted_fault::PlantedFault;
use super::stream::SimulatedStream;
use crate::rng::SimulationRng;

/// Minimum one-way delay of a connection.
const MIN_DELAY_MICROS: u64 = 50;
/// Exclusive upper bound of a connection's one-way delay.
const MAX_DELAY_MICROS: u64 = 1500;
/// Percentage of planned resets that occur early, within the head of a request or response.
const EARLY_RESET_PERCENT: u64 = 50;
/// An early reset occurs within this many bytes.
const EARLY_RESET_WITHIN_BYTES: u64 = 60;
/// Any other planned reset occurs within this many bytes.
const RESET_WITHIN_BYTES: u64 = 1200;

/// Opens a connection. Never completes if the address is silent or partitioned from the process's node.
pub(super) async fn connect(context: &ProcessContext, to: Address) -> io::Result<SimulatedStream> {
    let to = match context.planted_fault() {
        Some(PlantedFault::MisrouteConnections) => context.state.borrow().network.neighbour(to),
        _ => to,
    };
    let delay = draw_delay(context);
    context.sleep(delay).await;
    if let Some(lateness) = draw_lateness(context, &to) {
        context.sleep(lateness).await;
    }
    if is_unreachable(context, &to) {
        return std::future::pending().await;
    }
    // If this future is dropped while it waits for the response, the stream closes the connection.
    let stream = open(context, &to, delay);
    context.sleep(delay).await;
    stream.ok_or_else(|| io::ErrorKind::ConnectionRefused.into())
}

fn draw_delay(context: &ProcessContext) -> Duration {
    let mut state = context.state.borrow_mut();
    let above_min = state.rng.below(MAX_DELAY_MICROS - MIN_DELAY_MICROS);
    Duration::from_micros(MIN_DELAY_MICROS + above_min)
}

/// Draws whether a connection comes up late, and the additional time. Draws nothing without the fault, so that other
/// scenarios keep their sequence.
fn draw_lateness(context: &ProcessContext, to: &Address) -> Option<Duration> {
    let mut state = context.state.borrow_mut();
    let fault = state.network.fault(to);
    let is_late = fault.late_percent > 0 && state.rng.percent(fault.late_percent);
    is_late.then(|| Duration::from_millis(state.rng.below(fault.max_lateness_ms)))
}

fn is_unreachable(context: &ProcessContext, to: &Address) -> bool {
    let state = context.state.borrow();
    state.network.fault(to).silent || state.is_partitioned(context.process, to)
}

/// Opens a connection and returns the initiator's side; none if it is refused.
fn open(context: &ProcessContext, to: &Address, delay: Duration) -> Option<SimulatedStream> {
    let mut state = context.state.borrow_mut();
    let reset_percent = state.network.fault(to).reset_percent;
    let planned_reset = draw_reset(&mut state.rng, reset_percent);
    let id = state
        .network
        .open(to, context.process, delay, planned_reset)?;
    Some(SimulatedStream::new(context.clone(), id, Side::Initiator))
}

/// Draws whether a new connection is reset by the network, and when.
fn draw_reset(rng: &mut SimulationRng, reset_percent: u64) -> Option<PlannedReset> {
    if !rng.percent(reset_percent) {
        return None;
    }
    let within = if rng.percent(EARLY_RESET_PERCENT) {
        EARLY_RESET_WITHIN_BYTES
    } else {
        RESET_WITHIN_BYTES
    };
    let after_bytes = rng.below(within);
    let side = if rng.below(2) == 0 {
        Side::Initiator
    } else {
        Side::Acceptor
    };
    Some(PlannedReset { side, after_bytes })
}
