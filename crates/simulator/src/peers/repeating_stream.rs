//! The connection of a host that sends some of its responses twice.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::task::{ready, Context, Poll};
use std::time::Duration;

use bytes::BytesMut;
use runtime::{PeerState, PendingInput, Runtime, Stream};
use tokio::io::{AsyncRead, AsyncWrite, AsyncWriteExt, ReadBuf};

use super::Numbered;
use crate::rng::SimulationRng;

/// Delays of a copy after its response, in milliseconds.
const DELAYS_AFTER_RESPONSE_MS: [u64; 3] = [0, 5, 60];
/// Delay of a copy after the next request has arrived.
const DELAY_AFTER_REQUEST: Duration = Duration::from_millis(2);

/// When a copy is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CopyTiming {
    /// This long after the response.
    AfterResponse(Duration),
    /// [`DELAY_AFTER_REQUEST`] after the next request.
    AfterNextRequest,
}

impl CopyTiming {
    pub(super) fn draw(rng: &mut SimulationRng) -> Self {
        if rng.percent(25) {
            return CopyTiming::AfterNextRequest;
        }
        CopyTiming::AfterResponse(Duration::from_millis(*rng.pick(&DELAYS_AFTER_RESPONSE_MS)))
    }
}

/// A response that is to be sent once more.
struct PendingCopy {
    text: Vec<u8>,
    /// Completes when the copy is due; `None` until the next request arrives.
    due: Option<Pin<Box<dyn Future<Output = ()>>>>,
    /// `due` has completed.
    is_due: bool,
}

/// A stream that sends copies of responses while its reader waits.
pub(super) struct RepeatingStream<R: Runtime> {
    runtime: R,
    stream: R::Stream,
    copy: Option<PendingCopy>,
    /// A response was scheduled to be sent twice.
    has_repeated: bool,
}

impl<R: Runtime> RepeatingStream<R> {
    pub(super) fn new(runtime: R, stream: R::Stream) -> Self {
        RepeatingStream {
            runtime,
            stream,
            copy: None,
            has_repeated: false,
        }
    }

    /// Whether a response of the connection was scheduled to be sent twice. The reader cannot tell which response belongs to
    /// a later request.
    pub(super) fn has_repeated(&self) -> bool {
        self.has_repeated
    }

    /// Writes a response, and schedules a copy of it.
    ///
    /// # Errors
    ///
    /// Those of the stream.
    pub(super) async fn write_twice(&mut self, text: &[u8], timing: CopyTiming) -> io::Result<()> {
        self.stream.write_all(text).await?;
        self.has_repeated = true;
        let due = match timing {
            CopyTiming::AfterResponse(delay) => Some(self.after(delay)),
            CopyTiming::AfterNextRequest => None,
        };
        self.copy = Some(PendingCopy {
            text: text.to_vec(),
            due,
            is_due: false,
        });
        Ok(())
    }

    fn after(&self, delay: Duration) -> Pin<Box<dyn Future<Output = ()>>> {
        let runtime = self.runtime.clone();
        Box::pin(async move { runtime.sleep(delay).await })
    }

    /// Sends the copy if it is due.
    fn poll_copy(&mut self, cx: &mut Context<'_>) {
        let Some(copy) = &mut self.copy else { return };
        if !copy.is_due {
            let Some(due) = &mut copy.due else { return };
            if due.as_mut().poll(cx).is_pending() {
                return;
            }
            copy.is_due = true;
        }
        while !copy.text.is_empty() {
            match Pin::new(&mut self.stream).poll_write(cx, &copy.text) {
                Poll::Pending => return,
                Poll::Ready(Ok(written @ 1..)) => drop(copy.text.drain(..written)),
                Poll::Ready(_) => break,
            }
        }
        self.copy = None;
    }
}

// No field is pinned structurally.
impl<R: Runtime> Unpin for RepeatingStream<R> {}

impl<R: Runtime> AsyncRead for RepeatingStream<R> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.poll_copy(cx);
        let filled_before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buffer))?;
        let has_request = buffer.filled().len() > filled_before;
        let due = self.after(DELAY_AFTER_REQUEST);
        if let Some(copy) = self.copy.as_mut().filter(|_| has_request) {
            copy.due.get_or_insert(due);
        }
        Poll::Ready(Ok(()))
    }
}

impl<R: Runtime> AsyncWrite for RepeatingStream<R> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

impl<R: Runtime> Stream for RepeatingStream<R> {
    fn set_nodelay(&self) -> io::Result<()> {
        self.stream.set_nodelay()
    }

    fn readable(&self) -> impl Future<Output = io::Result<()>> {
        self.stream.readable()
    }

    fn try_read_buf(&self, buffer: &mut BytesMut) -> io::Result<usize> {
        self.stream.try_read_buf(buffer)
    }

    fn try_peek_buf(&self, buffer: &mut BytesMut) -> io::Result<usize> {
        self.stream.try_peek_buf(buffer)
    }

    fn pending_input(&self) -> PendingInput {
        self.stream.pending_input()
    }

    fn pending_len(&self, max: usize) -> usize {
        self.stream.pending_len(max)
    }

    fn peer_state(&self) -> PeerState {
        self.stream.peer_state()
    }
}

impl<R: Runtime> Numbered for RepeatingStream<R>
where
    R::Stream: Numbered,
{
    fn number(&self) -> u64 {
        self.stream.number()
    }
}
