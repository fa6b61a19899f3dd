//! A relay in the test's own process, on real sockets and files, whose system calls the test at named points: what the
//! test does there comes between two lines of the relay, every time. Nothing of it is in what the platform starts.

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
    Address, BootTime, File, Listener, OsListener, OsRuntime, OsStream, OsTask, PendingInput,
    Runtime, Signal, Signals, Stream,
};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::sync::{mpsc, oneshot};

/// Where the relay is, just after it did so.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Point {
    /// It looked what waits on a client's connection, and found nothing.
    ClientLooked,
    /// It looked what waits on a connection of its own, and found nothing.
    HostLooked,
    /// It read bytes from a client's connection.
    ClientRead,
    /// It wrote bytes to a client's connection.
    ClientWrote,
    /// It wrote to its journal.
    Kept,
}

type Hook = Box<dyn FnMut(Point) + Send>;

struct Shared {
    variables: Vec<(String, String)>,
    hook: Mutex<Option<Hook>>,
    log: Mutex<Disk>,
    signals: Mutex<Option<mpsc::UnboundedReceiver<Signal>>>,
}

impl Shared {
    fn at(&self, point: Point) {
        // Taken out meanwhile, as what the test does there may bring the relay to a point.
        let hook = self.hook.lock().unwrap().take();
        if let Some(mut hook) = hook {
            hook(point);
            self.hook.lock().unwrap().get_or_insert(hook);
        }
    }
}

/// A relay that runs in a thread of the test.
pub struct Inside {
    shared: Arc<Shared>,
    signals: mpsc::UnboundedSender<Signal>,
    kill: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<Option<Result<(), String>>>>,
}

impl Inside {
    /// Starts one with these variables, a log, and signals that have come before it reads its first.
    pub fn start(variables: Vec<(String, String)>, log: Disk, first: &[Signal]) -> Inside {
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
        let stepped = Stepped(shared.clone());
        let thread = std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build();
            let runtime = runtime.expect("a runtime");
            tokio::task::LocalSet::new().block_on(&runtime, async {
                tokio::select! {
                    biased;
                    Ok(()) = killed => None,
                    ended = relay::run(stepped, None) => Some(ended.map_err(|error| error.to_string())),
                }
            })
        });
        Inside {
            shared,
            signals,
            kill: Some(kill),
            thread: Some(thread),
        }
    }

    /// What is done from now on at each point.
    pub fn at_points(&self, hook: impl FnMut(Point) + Send + 'static) {
        *self.shared.hook.lock().unwrap() = Some(Box::new(hook));
    }

    pub fn signal(&self, signal: Signal) {
        self.signals.send(signal).expect("it runs");
    }

    /// Waits for its end.
    pub fn end(mut self) -> Result<(), String> {
        let thread = self.thread.take().expect("runs");
        super::until("the relay to end", || thread.is_finished().then_some(()));
        thread.join().expect("no panic").expect("not killed")
    }
}

impl Drop for Inside {
    fn drop(&mut self) {
        // One that has ended by itself hears nothing.
        let _ = self.kill.take().map(|kill| kill.send(()));
        let _ = self.thread.take().map(JoinHandle::join);
    }
}

/// The machine, with points.
#[derive(Clone)]
struct Stepped(Arc<Shared>);

impl Runtime for Stepped {
    type Task = OsTask;
    type Stream = SteppedStream;
    type Listener = SteppedListener;
    type File = SteppedFile;
    type RandomAccessFile = Disk;
    type Signals = SteppedSignals;
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

    async fn connect(&self, to: impl Into<Address>) -> io::Result<SteppedStream> {
        let stream = OsRuntime.connect(to).await?;
        Ok(SteppedStream {
            stream,
            shared: self.0.clone(),
            looked: Point::HostLooked,
        })
    }

    async fn listen(&self, at: impl Into<Address>) -> io::Result<SteppedListener> {
        Ok(SteppedListener(OsRuntime.listen(at).await?, self.0.clone()))
    }

    fn inherited_listener(&self, descriptor: i32) -> io::Result<SteppedListener> {
        Ok(SteppedListener(
            OsRuntime.inherited_listener(descriptor)?,
            self.0.clone(),
        ))
    }

    fn lock(&self, path: &Path) -> io::Result<Option<Disk>> {
        OsRuntime.lock(path)
    }

    fn open(&self, path: &Path) -> io::Result<SteppedFile> {
        Ok(SteppedFile {
            file: OsRuntime.open(path)?,
            path: path.into(),
            shared: self.0.clone(),
        })
    }

    fn create(&self, path: &Path) -> io::Result<SteppedFile> {
        Ok(SteppedFile {
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

    fn signals(&self) -> io::Result<SteppedSignals> {
        Ok(SteppedSignals(
            self.0
                .signals
                .lock()
                .unwrap()
                .take()
                .expect("asked for once"),
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

struct SteppedSignals(mpsc::UnboundedReceiver<Signal>);

impl Signals for SteppedSignals {
    async fn next(&mut self) -> Signal {
        match self.0.recv().await {
            Some(signal) => signal,
            None => std::future::pending().await,
        }
    }
}

struct SteppedListener(OsListener, Arc<Shared>);

impl Listener for SteppedListener {
    type Stream = SteppedStream;

    async fn accept(&self) -> io::Result<SteppedStream> {
        let stream = self.0.accept().await?;
        Ok(SteppedStream {
            stream,
            shared: self.1.clone(),
            looked: Point::ClientLooked,
        })
    }
}

struct SteppedStream {
    stream: OsStream,
    shared: Arc<Shared>,
    looked: Point,
}

impl SteppedStream {
    /// The relay has read or written this number of bytes.
    fn transferred(&self, point: Point, length: usize) {
        if self.looked == Point::ClientLooked && length > 0 {
            self.shared.at(point);
        }
    }
}

impl Stream for SteppedStream {
    fn set_nodelay(&self) -> io::Result<()> {
        self.stream.set_nodelay()
    }

    fn readable(&self) -> impl Future<Output = io::Result<()>> {
        self.stream.readable()
    }

    fn try_read_buf(&self, into: &mut BytesMut) -> io::Result<usize> {
        let length = self.stream.try_read_buf(into)?;
        self.transferred(Point::ClientRead, length);
        Ok(length)
    }

    fn try_peek_buf(&self, into: &mut BytesMut) -> io::Result<usize> {
        self.stream.try_peek_buf(into)
    }

    fn pending_input(&self) -> PendingInput {
        let waiting = self.stream.pending_input();
        if waiting == PendingInput::Empty {
            self.shared.at(self.looked);
        }
        waiting
    }
}

impl AsyncRead for SteppedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        into: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = into.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, into))?;
        self.transferred(Point::ClientRead, into.filled().len() - before);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for SteppedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        text: &[u8],
    ) -> Poll<io::Result<usize>> {
        let length = ready!(Pin::new(&mut self.stream).poll_write(cx, text))?;
        self.transferred(Point::ClientWrote, length);
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

struct SteppedFile {
    file: Disk,
    path: PathBuf,
    shared: Arc<Shared>,
}

impl Read for SteppedFile {
    fn read(&mut self, into: &mut [u8]) -> io::Result<usize> {
        self.file.read(into)
    }
}

impl Write for SteppedFile {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let written = self.file.write(bytes);
        if self.path.ends_with("journal") {
            self.shared.at(Point::Kept);
        }
        written
    }

    fn flush(&mut self) -> io::Result<()> {
        self.file.flush()
    }
}

impl Seek for SteppedFile {
    fn seek(&mut self, to: SeekFrom) -> io::Result<u64> {
        self.file.seek(to)
    }
}

impl File for SteppedFile {
    fn set_len(&self, length: u64) -> io::Result<()> {
        File::set_len(&self.file, length)
    }
}
