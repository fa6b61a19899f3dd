//! A relay that runs in the test's process on real sockets and files and calls a hook of the test after certain system
//! calls. What the test does in the hook thus always happens between the same two lines of the relay. The program that
//! the platform starts contains none of this.

use std::fmt;
use std::fs::File as Disk;
use std::future::Future;
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::task::{ready, Context, Poll};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use bytes::BytesMut;
use runtime::{
    Address, BootTime, File, Listener, OsListener, OsRuntime, OsStream, OsTask, PeerState,
    PendingInput, Runtime, Signal, Signals, Stream,
};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::sync::{mpsc, oneshot};

/// A system call of the relay after which the hook is called.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HookPoint {
    /// The relay checked a client's connection for pending input and found none.
    ClientInputChecked,
    /// The relay checked an outgoing connection for pending input and found none.
    HostInputChecked,
    /// The relay read bytes from a client's connection.
    ClientRead,
    /// The relay wrote bytes to a client's connection.
    ClientWritten,
    /// The relay wrote to its journal.
    JournalWritten,
}

type Hook = Box<dyn FnMut(HookPoint) + Send>;

struct Shared {
    variables: Vec<(String, String)>,
    hook: Mutex<Option<Hook>>,
    log: Mutex<Disk>,
    signals: Mutex<Option<mpsc::UnboundedReceiver<Signal>>>,
}

impl Shared {
    fn run_hook(&self, point: HookPoint) {
        // The hook is taken out while it runs, as its actions may make the relay reach another hook point.
        let hook = self.hook.lock().unwrap().take();
        if let Some(mut hook) = hook {
            hook(point);
            self.hook.lock().unwrap().get_or_insert(hook);
        }
    }
}

/// A relay that runs in a thread of the test process. Dropping it cancels the relay.
pub struct InProcessRelay {
    shared: Arc<Shared>,
    signals: mpsc::UnboundedSender<Signal>,
    kill: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<Option<Result<(), String>>>>,
}

impl InProcessRelay {
    /// Starts a relay with these environment variables and this log; the signals in `first` are pending before it reads
    /// its first signal.
    pub fn start(variables: Vec<(String, String)>, log: Disk, first: &[Signal]) -> InProcessRelay {
        let (signals, sent) = mpsc::unbounded_channel();
        first
            .iter()
            .for_each(|signal| signals.send(*signal).expect("open"));
        let shared = Arc::new(Shared {
            variables,
            hook: Mutex::default(),
            log: Mutex::new(log),
            signals: Mutex::new(Some(sent)),
        });
        let (kill, killed) = oneshot::channel::<()>();
        let hooked_runtime = HookedRuntime(shared.clone());
        let thread = std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build();
            let runtime = runtime.expect("a runtime");
            tokio::task::LocalSet::new().block_on(&runtime, async {
                tokio::select! {
                    biased;
                    Ok(()) = killed => None,
                    ended = relay::run(hooked_runtime, None) => Some(ended.map_err(|error| error.to_string())),
                }
            })
        });
        InProcessRelay {
            shared,
            signals,
            kill: Some(kill),
            thread: Some(thread),
        }
    }

    /// Sets the hook to call at each hook point from now on.
    pub fn set_hook(&self, hook: impl FnMut(HookPoint) + Send + 'static) {
        *self.shared.hook.lock().unwrap() = Some(Box::new(hook));
    }

    pub fn signal(&self, signal: Signal) {
        self.signals.send(signal).expect("the relay runs");
    }

    /// Waits until the relay has ended by itself, and returns its result.
    pub fn wait_for_exit(mut self) -> Result<(), String> {
        let thread = self.thread.take().expect("runs");
        super::wait_until("the relay to exit", || thread.is_finished().then_some(()));
        thread.join().expect("no panic").expect("not killed")
    }
}

impl Drop for InProcessRelay {
    fn drop(&mut self) {
        // The send fails if the relay has ended by itself.
        let _ = self.kill.take().map(|kill| kill.send(()));
        let _ = self.thread.take().map(JoinHandle::join);
    }
}

/// The runtime of the operating system, with hook points.
#[derive(Clone)]
struct HookedRuntime(Arc<Shared>);

impl Runtime for HookedRuntime {
    type Task = OsTask;
    type Stream = HookedStream;
    type Listener = HookedListener;
    type File = HookedFile;
    type RandomAccessFile = Disk;
    type Signals = HookedSignals;
    type Lock = Disk;

    fn now(&self) -> Instant {
        OsRuntime.now()
    }

    fn unix_time(&self) -> Duration {
        OsRuntime.unix_time()
    }

    fn boot_time(&self) -> io::Result<BootTime> {
        OsRuntime.boot_time()
    }

    fn sleep_until(&self, at: Instant) -> impl Future<Output = ()> {
        OsRuntime.sleep_until(at)
    }

    fn spawn(&self, task: impl Future<Output = ()> + 'static) -> OsTask {
        OsRuntime.spawn(task)
    }

    async fn connect(&self, to: impl Into<Address>) -> io::Result<HookedStream> {
        let stream = OsRuntime.connect(to).await?;
        Ok(HookedStream {
            stream,
            shared: self.0.clone(),
            checked_point: HookPoint::HostInputChecked,
        })
    }

    async fn listen(&self, at: impl Into<Address>) -> io::Result<HookedListener> {
        Ok(HookedListener(OsRuntime.listen(at).await?, self.0.clone()))
    }

    fn inherited_listener(&self, descriptor: i32) -> io::Result<HookedListener> {
        Ok(HookedListener(
            OsRuntime.inherited_listener(descriptor)?,
            self.0.clone(),
        ))
    }

    fn lock(&self, path: &Path) -> io::Result<Option<Disk>> {
        OsRuntime.lock(path)
    }

    fn open(&self, path: &Path) -> io::Result<HookedFile> {
        Ok(HookedFile {
            file: OsRuntime.open(path)?,
            path: path.into(),
            shared: self.0.clone(),
        })
    }

    fn create(&self, path: &Path) -> io::Result<HookedFile> {
        Ok(HookedFile {
            file: OsRuntime.create(path)?,
            path: path.into(),
            shared: self.0.clone(),
        })
    }

    fn open_random_access(&self, path: &Path) -> io::Result<Disk> {
        OsRuntime.open_random_access(path)
    }

    fn read(&self, path: &Path) -> io::Result<Vec<u8>> {
        OsRuntime.read(path)
    }

    fn rename(&self, from: &Path, to: &Path) -> io::Result<()> {
        OsRuntime.rename(from, to)
    }

    fn remove(&self, path: &Path) -> io::Result<()> {
        OsRuntime.remove(path)
    }

    fn signals(&self) -> io::Result<HookedSignals> {
        Ok(HookedSignals(
            self.0
                .signals
                .lock()
                .unwrap()
                .take()
                .expect("signals are requested only once"),
        ))
    }

    fn env_var(&self, name: &str) -> Option<String> {
        self.0
            .variables
            .iter()
            .find(|(known, _)| known == name)
            .map(|(_, value)| value.clone())
    }

    fn log(&self, line: fmt::Arguments<'_>) {
        writeln!(self.0.log.lock().unwrap(), "{line}").expect("a log");
    }
}

struct HookedSignals(mpsc::UnboundedReceiver<Signal>);

impl Signals for HookedSignals {
    async fn next(&mut self) -> Signal {
        match self.0.recv().await {
            Some(signal) => signal,
            None => std::future::pending().await,
        }
    }
}

struct HookedListener(OsListener, Arc<Shared>);

impl Listener for HookedListener {
    type Stream = HookedStream;

    async fn accept(&self) -> io::Result<HookedStream> {
        let stream = self.0.accept().await?;
        Ok(HookedStream {
            stream,
            shared: self.1.clone(),
            checked_point: HookPoint::ClientInputChecked,
        })
    }
}

struct HookedStream {
    stream: OsStream,
    shared: Arc<Shared>,
    checked_point: HookPoint,
}

impl HookedStream {
    /// Calls the hook after `length` bytes were read from or written to a client's connection.
    fn run_hook_after_transfer(&self, point: HookPoint, length: usize) {
        if self.checked_point == HookPoint::ClientInputChecked && length > 0 {
            self.shared.run_hook(point);
        }
    }
}

impl Stream for HookedStream {
    fn set_nodelay(&self) -> io::Result<()> {
        self.stream.set_nodelay()
    }

    fn readable(&self) -> impl Future<Output = io::Result<()>> {
        self.stream.readable()
    }

    fn try_read_buf(&self, into: &mut BytesMut) -> io::Result<usize> {
        let length = self.stream.try_read_buf(into)?;
        self.run_hook_after_transfer(HookPoint::ClientRead, length);
        Ok(length)
    }

    fn try_peek_buf(&self, into: &mut BytesMut) -> io::Result<usize> {
        self.stream.try_peek_buf(into)
    }

    fn pending_input(&self) -> PendingInput {
        let pending = self.stream.pending_input();
        if pending == PendingInput::Empty {
            self.shared.run_hook(self.checked_point);
        }
        pending
    }

    fn pending_len(&self, max: usize) -> usize {
        self.stream.pending_len(max)
    }

    fn peer_state(&self) -> PeerState {
        self.stream.peer_state()
    }
}

impl AsyncRead for HookedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        into: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = into.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, into))?;
        self.run_hook_after_transfer(HookPoint::ClientRead, into.filled().len() - before);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for HookedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        text: &[u8],
    ) -> Poll<io::Result<usize>> {
        let length = ready!(Pin::new(&mut self.stream).poll_write(cx, text))?;
        self.run_hook_after_transfer(HookPoint::ClientWritten, length);
        Poll::Ready(Ok(length))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, parts)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}

struct HookedFile {
    file: Disk,
    path: PathBuf,
    shared: Arc<Shared>,
}

impl Read for HookedFile {
    fn read(&mut self, into: &mut [u8]) -> io::Result<usize> {
        self.file.read(into)
    }
}

impl Write for HookedFile {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let written = self.file.write(bytes);
        if self.path.ends_with("journal") {
            self.shared.run_hook(HookPoint::JournalWritten);
        }
        written
    }

    fn flush(&mut self) -> io::Result<()> {
        self.file.flush()
    }
}

impl Seek for HookedFile {
    fn seek(&mut self, to: SeekFrom) -> io::Result<u64> {
        self.file.seek(to)
    }
}

impl File for HookedFile {
    fn set_len(&self, length: u64) -> io::Result<()> {
        File::set_len(&self.file, length)
    }
}
