//! Listening ports that a process has open.

use std::future::poll_fn;
use std::io;
use std::task::Poll;

use runtime::{Address, Listener};

use super::connection::Side;
use super::context::ProcessContext;
use super::network::Port;
use super::stream::SimulatedStream;

/// A port that accepts connections.
pub struct SimulatedListener {
    context: ProcessContext,
    address: Address,
    /// Whether the process inherited the port, which then stays open when this is dropped.
    is_inherited: bool,
}

impl SimulatedListener {
    /// Opens a port.
    pub(super) fn open(context: &ProcessContext, address: Address) -> io::Result<Self> {
        let mut state = context.state.borrow_mut();
        if state.network.ports.contains_key(&address) {
            return Err(io::ErrorKind::AddrInUse.into());
        }
        let port = Port::new(context.process);
        state.network.ports.insert(address.clone(), port);
        Ok(SimulatedListener {
            context: context.clone(),
            address,
            is_inherited: false,
        })
    }

    /// Opens the port that the process inherited and may share with other processes.
    pub(super) fn inherited(context: &ProcessContext) -> io::Result<Self> {
        let state = context.state.borrow();
        let address = state
            .processes
            .get(&context.process)
            .and_then(|process| process.inherited_port.clone())
            .filter(|address| state.network.ports.contains_key(address))
            .ok_or(io::ErrorKind::InvalidInput)?;
        Ok(SimulatedListener {
            context: context.clone(),
            address,
            is_inherited: true,
        })
    }
}

impl Listener for SimulatedListener {
    type Stream = SimulatedStream;

    async fn accept(&self) -> io::Result<SimulatedStream> {
        let process = self.context.process;
        let id = poll_fn(|task| {
            let mut state = self.context.state.borrow_mut();
            let network = &mut state.network;
            let Some(port) = network.ports.get_mut(&self.address) else {
                return Poll::Pending;
            };
            let Some(id) = port.backlog.pop_front() else {
                port.acceptors.insert(process, task.waker().clone());
                return Poll::Pending;
            };
            if let Some(connection) = network.connections.get_mut(&id) {
                connection.acceptor.process = process;
            }
            Poll::Ready(id)
        });
        let id = id.await;
        Ok(SimulatedStream::new(
            self.context.clone(),
            id,
            Side::Acceptor,
        ))
    }
}

impl Drop for SimulatedListener {
    fn drop(&mut self) {
        let mut state = self.context.state.borrow_mut();
        if self.is_inherited {
            if let Some(port) = state.network.ports.get_mut(&self.address) {
                port.acceptors.remove(&self.context.process);
            }
            return;
        }
        let Some(port) = state.network.ports.remove(&self.address) else {
            return;
        };
        let now = state.now;
        for id in port.backlog {
            let arrivals = state.network.reset(id, now);
            state.network.close(id, Side::Acceptor, now);
            state.schedule_arrivals(id, arrivals);
        }
    }
}
