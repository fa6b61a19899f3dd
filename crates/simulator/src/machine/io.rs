//! Sockets and files as a process holds them.

use std::collections::BTreeMap;
use std::future::poll_fn;
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::pin::Pin;
use std::task::{Context, Poll, Waker};
use std::time::Duration;

use bytes::{BufMut, Bytes, BytesMut};
use runtime::{Address, File, Listener, PendingInput, Runtime, Stream};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use super::disk::Inode;
use super::net::{ConnId, End, Found, Port, Written};
use super::{Core, Fate, Lie, SimulatedRuntime};

/// Bounds of a connection's delay one way, in microseconds.
const DELAY: (u64, u64) = (50, 1500);
/// A write comes up to so many microseconds later than the delay has it.
const JITTER: u64 = 200;
/// Of a hundred reads and writes so many are short.
const SHORT: u64 = 4;
/// A connection that is to be cut is so within this many bytes.
const CUT_WITHIN: u64 = 1200;

pub(super) async fn connect(
    runtime: &SimulatedRuntime,
    to: Address,
) -> io::Result<SimulatedStream> {
    let to = match runtime.core.borrow().lie(runtime.proc) {
        Some(Lie::WrongHost) => runtime.core.borrow().net.neighbour(to),
        _ => to,
    };
    let delay = Duration::from_micros(DELAY.0 + runtime.random(DELAY.1 - DELAY.0));
    runtime.sleep(delay).await;
    let silent = {
        let core = runtime.core.borrow();
        core.net.fault(&to).silent || core.is_cut(runtime.proc, &to)
    };
    if silent {
        return std::future::pending().await;
    }
    let opened = {
        let mut core = runtime.core.borrow_mut();
        let core = &mut *core;
        let fault = core.net.fault(&to);
        let cut = core.rng.percent(fault.cuts).then(|| {
            let within = if core.rng.percent(50) { 60 } else { CUT_WITHIN };
            let after = core.rng.below(within);
            (core.rng.below(2) as usize, after)
        });
        let owner = core
            .net
            .ports
            .get(&to)
            .filter(|_| !fault.refuses)
            .map(|port| port.proc);
        owner.map(|owner| {
            let id = core.net.open(to.clone(), [runtime.proc, owner], delay, cut);
            let waiting = core.net.ports.get_mut(&to).map(|port| {
                port.queue.push_back(id);
                std::mem::take(&mut port.waiting)
            });
            waiting
                .into_iter()
                .flat_map(BTreeMap::into_values)
                .for_each(Waker::wake);
            id
        })
    };
    let stream = opened.map(|id| SimulatedStream {
        runtime: runtime.clone(),
        id,
        side: 0,
    });
    runtime.sleep(delay).await;
    stream.ok_or_else(|| io::ErrorKind::ConnectionRefused.into())
}

pub(super) fn listen(runtime: &SimulatedRuntime, at: Address) -> io::Result<SimulatedListener> {
    let mut core = runtime.core.borrow_mut();
    if core.net.ports.contains_key(&at) {
        return Err(io::ErrorKind::AddrInUse.into());
    }
    let port = Port {
        proc: runtime.proc,
        queue: Default::default(),
        waiting: BTreeMap::new(),
    };
    core.net.ports.insert(at.clone(), port);
    Ok(SimulatedListener {
        runtime: runtime.clone(),
        at,
        shared: false,
    })
}

/// The port that the process was started with, which others have too.
pub(super) fn inherited(runtime: &SimulatedRuntime) -> io::Result<SimulatedListener> {
    let core = runtime.core.borrow();
    let at = core
        .procs
        .get(&runtime.proc)
        .and_then(|proc| proc.inherited.clone());
    let at = at
        .filter(|at| core.net.ports.contains_key(at))
        .ok_or(io::ErrorKind::InvalidInput)?;
    Ok(SimulatedListener {
        runtime: runtime.clone(),
        at,
        shared: true,
    })
}

/// A port that takes connections.
pub struct SimulatedListener {
    runtime: SimulatedRuntime,
    at: Address,
    /// It stays when this is dropped.
    shared: bool,
}

impl Listener for SimulatedListener {
    type Stream = SimulatedStream;

    async fn accept(&self) -> io::Result<SimulatedStream> {
        let id = poll_fn(|cx| {
            let mut core = self.runtime.core.borrow_mut();
            let core = &mut *core;
            let Some(port) = core.net.ports.get_mut(&self.at) else {
                return Poll::Pending;
            };
            match port.queue.pop_front() {
                Some(id) => {
                    core.net
                        .conns
                        .get_mut(&id)
                        .into_iter()
                        .for_each(|conn| conn.owner[1] = self.runtime.proc);
                    Poll::Ready(id)
                }
                None => {
                    port.waiting.insert(self.runtime.proc, cx.waker().clone());
                    Poll::Pending
                }
            }
        });
        Ok(SimulatedStream {
            runtime: self.runtime.clone(),
            id: id.await,
            side: 1,
        })
    }
}

impl Drop for SimulatedListener {
    fn drop(&mut self) {
        let mut core = self.runtime.core.borrow_mut();
        let core = &mut *core;
        if self.shared {
            let port = core.net.ports.get_mut(&self.at);
            let waiting = port.and_then(|port| port.waiting.remove(&self.runtime.proc));
            return drop(waiting);
        }
        let Some(port) = core.net.ports.remove(&self.at) else {
            return;
        };
        let now = core.now;
        for id in port.queue {
            let told = core.net.reset(id, now);
            core.net.close(id, 1, now);
            core.tell(told, id);
        }
    }
}

/// One side of a connection.
pub struct SimulatedStream {
    runtime: SimulatedRuntime,
    id: ConnId,
    side: usize,
}

impl SimulatedStream {
    /// What comes next, or the waker hears when something has come. Nothing comes to the dead.
    fn look(&self, waker: Option<&Waker>) -> Found {
        let mut core = self.runtime.core.borrow_mut();
        let now = core.now;
        let dead = core
            .procs
            .get(&self.runtime.proc)
            .is_some_and(|proc| !proc.life.alive());
        let Some(conn) = core.net.conns.get_mut(&self.id).filter(|_| !dead) else {
            return Found::Nothing;
        };
        let pipe = &mut conn.pipes[self.side];
        let found = pipe.look(now);
        if let (Found::Nothing, Some(waker)) = (&found, waker) {
            pipe.reader = Some(waker.clone());
        }
        found
    }

    /// How much of some bytes is read at once.
    fn portion(&self, bytes: &Bytes, most: usize) -> usize {
        let most = bytes.len().min(most);
        let mut core = self.runtime.core.borrow_mut();
        if most > 1 && core.rng.percent(SHORT) {
            1 + core.rng.below(most as u64 - 1) as usize
        } else {
            most
        }
    }

    fn taken(&self, count: usize) {
        if let Some(conn) = self.runtime.core.borrow_mut().net.conns.get_mut(&self.id) {
            conn.pipes[self.side].take(count);
        }
    }

    /// A number of the connection, which no other has.
    #[must_use]
    pub fn number(&self) -> u64 {
        self.id
    }
}

fn ended(end: End) -> io::Result<()> {
    match end {
        End::Closed => Ok(()),
        End::Reset => Err(io::ErrorKind::ConnectionReset.into()),
    }
}

impl SimulatedStream {
    /// Whether it came in by the port that the process was started with.
    fn is_clients(&self, core: &Core) -> bool {
        let port = core
            .procs
            .get(&self.runtime.proc)
            .and_then(|this| this.inherited.clone());
        port.is_some() && core.net.conns.get(&self.id).map(|conn| conn.to.clone()) == port
    }
}

impl AsyncRead for SimulatedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        into: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        match self.look(Some(cx.waker())) {
            Found::Nothing => Poll::Pending,
            Found::End(end) => Poll::Ready(ended(end)),
            Found::Bytes(bytes) => {
                let count = self.portion(&bytes, into.remaining());
                into.put_slice(&bytes[..count]);
                self.taken(count);
                Poll::Ready(Ok(()))
            }
        }
    }
}

impl AsyncWrite for SimulatedStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        text: &[u8],
    ) -> Poll<io::Result<usize>> {
        let mut core = self.runtime.core.borrow_mut();
        let core = &mut *core;
        let most = match core.effect(self.runtime.proc) {
            Fate::Dead => return Poll::Pending,
            // Killed within the write: a part of it is out.
            Fate::Dies { .. } => core.rng.below(text.len() as u64 + 1) as usize,
            Fate::Alive if text.len() > 1 && core.rng.percent(SHORT) => {
                1 + core.rng.below(text.len() as u64 - 1) as usize
            }
            Fate::Alive => text.len(),
        };
        let told = core
            .net
            .peer(self.id, self.side)
            .and_then(|peer| core.lie(peer))
            .map(|lie| tell_lie(lie, text));
        let ours = core.lie(self.runtime.proc);
        if ours == Some(Lie::LoseNotices) && text.starts_with(b"POST /v1/notices") {
            return Poll::Ready(Ok(text.len()));
        }
        let told = match ours {
            Some(Lie::HideDeliveries) => Some(zeroed(text)),
            _ => told,
        };
        if ours == Some(Lie::MuteDoor) && text.starts_with(b"ok figures") {
            return Poll::Ready(Ok(text.len()));
        }
        let jitter = Duration::from_micros(core.rng.below(JITTER));
        let text = told.as_deref().unwrap_or(text);
        let (written, arrivals) = core.net.write(
            self.id,
            self.side,
            &text[..most.min(text.len())],
            core.now,
            jitter,
        );
        if let Written::Count(count) = &written {
            core.record_effect(self.runtime.proc, "send", &text[..*count]);
        }
        core.tell(arrivals, self.id);
        match written {
            Written::Count(count) => Poll::Ready(Ok(count)),
            Written::Reset => Poll::Ready(Err(io::ErrorKind::ConnectionReset.into())),
            Written::Full => {
                if let Some(conn) = core.net.conns.get_mut(&self.id) {
                    conn.pipes[1 - self.side].writer = Some(cx.waker().clone());
                }
                Poll::Pending
            }
        }
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        let mut core = self.runtime.core.borrow_mut();
        let core = &mut *core;
        let mute = core.lie(self.runtime.proc) == Some(Lie::MuteDoor)
            && self.side == 1
            && !self.is_clients(core);
        if !mute && core.effect(self.runtime.proc) == Fate::Alive {
            let told = core.net.shut(self.id, self.side, core.now);
            core.tell(told, self.id);
        }
        Poll::Ready(Ok(()))
    }
}

/// A text whose figures of deliveries are zeros.
fn zeroed(text: &[u8]) -> Vec<u8> {
    let mut out = text.to_vec();
    let mut in_figure = false;
    for at in 0..out.len() {
        match out[at] {
            b'\n' => in_figure = false,
            b'=' => {
                in_figure = out[..at]
                    .rsplit(|byte| *byte == b'\n')
                    .next()
                    .is_some_and(is_delivery)
            }
            byte if in_figure && byte.is_ascii_digit() => out[at] = b'0',
            _ => {}
        }
    }
    out
}

fn is_delivery(line: &[u8]) -> bool {
    line.starts_with(b"relay.success.")
}

/// What the other side of a write reads in its place.
fn tell_lie(lie: Lie, text: &[u8]) -> Vec<u8> {
    let replace = |from: &[u8], to: &[u8]| {
        let mut out = text.to_vec();
        let mut at = 0;
        while let Some(found) = out[at..].windows(from.len()).position(|part| part == from) {
            out[at + found..at + found + from.len()].copy_from_slice(to);
            at += found + from.len();
        }
        out
    };
    match lie {
        Lie::HideDrains => replace(b"\"draining\"", b"\"up\"      "),
        Lie::HideWaits => {
            let mut out = text.to_vec();
            if let Some(at) = text.windows(14).position(|part| part == b"X-Backoff-Ms: ") {
                let digits = out[at + 14..]
                    .iter_mut()
                    .take_while(|byte| byte.is_ascii_digit());
                digits.for_each(|digit| *digit = b'0');
            }
            out
        }
        _ => text.to_vec(),
    }
}

impl Stream for SimulatedStream {
    fn set_nodelay(&self) -> io::Result<()> {
        Ok(())
    }

    async fn readable(&self) -> io::Result<()> {
        poll_fn(|cx| match self.look(Some(cx.waker())) {
            Found::Nothing => Poll::Pending,
            Found::Bytes(_) | Found::End(_) => Poll::Ready(Ok(())),
        })
        .await
    }

    fn try_read_buf(&self, into: &mut BytesMut) -> io::Result<usize> {
        let count = self.try_peek_buf(into)?;
        if count > 0 {
            self.taken(count);
        }
        Ok(count)
    }

    fn try_peek_buf(&self, into: &mut BytesMut) -> io::Result<usize> {
        match self.look(None) {
            Found::Nothing => Err(io::ErrorKind::WouldBlock.into()),
            Found::End(end) => ended(end).map(|()| 0),
            Found::Bytes(bytes) => {
                let count = self.portion(&bytes, (into.capacity() - into.len()).max(1));
                into.put_slice(&bytes[..count]);
                Ok(count)
            }
        }
    }

    fn pending_input(&self) -> PendingInput {
        match self.look(None) {
            Found::Nothing => PendingInput::Empty,
            Found::Bytes(_) => PendingInput::Bytes,
            Found::End(_) => PendingInput::Closed,
        }
    }
}

impl Drop for SimulatedStream {
    fn drop(&mut self) {
        let mut core = self.runtime.core.borrow_mut();
        let core = &mut *core;
        if self.side == 0
            && core.lie(self.runtime.proc) == Some(Lie::KeepCalls)
            && core.net.is_kept(self.id)
        {
            return;
        }
        if self.side == 1 {
            match core.lie(self.runtime.proc) {
                Some(Lie::KeepClients) if self.is_clients(core) => return,
                Some(Lie::MuteDoor) if !self.is_clients(core) => return,
                _ => {}
            }
        }
        core.record_effect(self.runtime.proc, "close", &[]);
        let told = core.net.close(self.id, self.side, core.now);
        core.tell(told, self.id);
    }
}

/// An open file.
pub struct SimulatedFile {
    runtime: SimulatedRuntime,
    inode: Inode,
    at: u64,
    /// It is one of the registry of tenants.
    of_tenants: bool,
}

impl SimulatedFile {
    pub(super) fn new(runtime: SimulatedRuntime, inode: Inode, of_tenants: bool) -> Self {
        SimulatedFile {
            runtime,
            inode,
            at: 0,
            of_tenants,
        }
    }
}

impl Read for SimulatedFile {
    fn read(&mut self, into: &mut [u8]) -> io::Result<usize> {
        let file = self.inode.borrow();
        let rest = file.get(self.at as usize..).unwrap_or_default();
        let count = rest.len().min(into.len());
        into[..count].copy_from_slice(&rest[..count]);
        self.at += count as u64;
        Ok(count)
    }
}

impl Write for SimulatedFile {
    fn write(&mut self, text: &[u8]) -> io::Result<usize> {
        let mut core = self.runtime.core.borrow_mut();
        let core = &mut *core;
        // A record's kind stands behind its length and checksum.
        match (core.lie(self.runtime.proc), text.get(8)) {
            (Some(Lie::DropTaken), Some(0)) | (Some(Lie::DropAttempts), Some(1)) => {
                return Ok(text.len())
            }
            (Some(Lie::DropTenants), _) if self.of_tenants => return Ok(text.len()),
            _ => {}
        }
        let short = core.disk(self.runtime.proc).short;
        let most = match core.effect(self.runtime.proc) {
            Fate::Dead => return Err(io::ErrorKind::Other.into()),
            // Torn at any length.
            Fate::Dies { .. } => core.rng.below(text.len() as u64 + 1) as usize,
            Fate::Alive if text.len() > 1 && core.rng.percent(short) => {
                1 + core.rng.below(text.len() as u64 - 1) as usize
            }
            Fate::Alive => text.len(),
        };
        let written = core
            .disk(self.runtime.proc)
            .write(&self.inode, self.at, text, most)?;
        core.record_effect(self.runtime.proc, "write", &text[..written]);
        self.at += written as u64;
        Ok(written)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Seek for SimulatedFile {
    fn seek(&mut self, to: SeekFrom) -> io::Result<u64> {
        let length = self.inode.borrow().len() as u64;
        let at = match to {
            SeekFrom::Start(at) => Some(at),
            SeekFrom::End(by) => length.checked_add_signed(by),
            SeekFrom::Current(by) => self.at.checked_add_signed(by),
        };
        self.at = at.ok_or(io::ErrorKind::InvalidInput)?;
        Ok(self.at)
    }
}

impl File for SimulatedFile {
    fn set_len(&self, length: u64) -> io::Result<()> {
        self.runtime.effect()?;
        self.runtime
            .core
            .borrow_mut()
            .disk(self.runtime.proc)
            .resize(&self.inode, length as usize);
        Ok(())
    }
}
