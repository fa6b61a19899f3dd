//! An HTTP/1 connection to discovery.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::HOST;
use hyper::{Method, Request, Response};
use hyper_util::rt::TokioIo;
use runtime::{Runtime, Stream, Task};

use super::error::DiscoveryError;

/// A connection to discovery. Dropping it closes the connection.
pub(super) struct RequestChannel<R: Runtime> {
    runtime: R,
    address: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
    task: R::Task,
}

impl<R: Runtime> RequestChannel<R> {
    /// Opens a connection; `timeout` bounds the time until it is established.
    pub(super) async fn open(
        runtime: &R,
        address: SocketAddr,
        timeout: Duration,
    ) -> Result<Self, DiscoveryError> {
        let stream = runtime.timeout(timeout, runtime.connect(address)).await??;
        drop(stream.set_nodelay());
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
        let task = runtime.spawn(async move { drop(connection.await) });
        Ok(RequestChannel {
            runtime: runtime.clone(),
            address,
            sender,
            task,
        })
    }

    /// Sends the only request of the channel; `timeout` bounds the time until the head of the response is complete.
    pub(super) async fn send(
        &mut self,
        method: Method,
        path: &str,
        body: Bytes,
        timeout: Duration,
    ) -> Result<Response<Incoming>, DiscoveryError> {
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header(HOST, self.address.to_string())
            .body(Full::new(body))?;
        let response = self.sender.send_request(request);
        Ok(self.runtime.timeout(timeout, response).await??)
    }
}

impl<R: Runtime> Drop for RequestChannel<R> {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Reads the body of a response. A body of more than `max_bytes` bytes is an error.
pub(super) async fn collect_body(
    body: Incoming,
    max_bytes: usize,
) -> Result<Bytes, DiscoveryError> {
    match Limited::new(body, max_bytes).collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) => Err(match error.downcast::<hyper::Error>() {
            Ok(error) => DiscoveryError::Http(*error),
            Err(_) => DiscoveryError::ResponseTooLong,
        }),
    }
}
