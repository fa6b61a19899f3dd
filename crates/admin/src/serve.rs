//! The listener. It limits the resources that clients may use: connections, time without a complete request, and
//! requests per second.

use std::cell::{Cell, RefCell};
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use axum::body::Body;
use axum::http::header::DATE;
use axum::http::HeaderValue;
use axum::response::IntoResponse;
use axum::Router;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use runtime::{log, Listener, Runtime, Stream};
use tower::ServiceExt;

use crate::problem::Problem;

/// Time after which a connection without a complete request is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum size of a request's head, in bytes.
const MAX_REQUEST_HEAD_BYTES: usize = 16 << 10;
/// Delay before the next accept after a failed accept or a connection over the limit.
const ACCEPT_DELAY: Duration = Duration::from_millis(20);
/// Maximum burst, as seconds of the permitted rate.
const BURST_S: f64 = 2.0;

/// Limits of the listener.
pub struct ServeLimits {
    /// Maximum number of open connections.
    pub connections: usize,
    /// Maximum sustained rate of requests.
    pub requests_per_second: f64,
}

/// A token bucket that limits the rate of requests.
struct RequestRateLimiter {
    requests_per_second: f64,
    available: f64,
    refilled_at: Instant,
}

impl RequestRateLimiter {
    fn new(requests_per_second: f64, now: Instant) -> Self {
        RequestRateLimiter {
            requests_per_second,
            available: BURST_S * requests_per_second,
            refilled_at: now,
        }
    }

    /// Takes a token for a request. Returns false if none is available.
    fn try_acquire(&mut self, now: Instant) -> bool {
        let elapsed = now.saturating_duration_since(self.refilled_at);
        let refilled = self.available + elapsed.as_secs_f64() * self.requests_per_second;
        self.available = refilled.min(BURST_S * self.requests_per_second);
        self.refilled_at = now;
        if self.available < 1.0 {
            return false;
        }
        self.available -= 1.0;
        true
    }
}

/// Accepts connections and serves the API's routes on them; never returns.
pub async fn serve<R: Runtime>(
    runtime: R,
    listener: R::Listener,
    router: Router,
    limits: ServeLimits,
) {
    let open_connections = Rc::new(Cell::new(0));
    let limiter = RequestRateLimiter::new(limits.requests_per_second, runtime.now());
    let limiter = Rc::new(RefCell::new(limiter));
    loop {
        let stream = match listener.accept().await {
            Ok(stream) => stream,
            Err(error) => {
                log!(runtime, "admin: accept_failed error={error}");
                runtime.sleep(ACCEPT_DELAY).await;
                continue;
            }
        };
        if open_connections.get() >= limits.connections {
            drop(stream);
            // Limits the load from a client that opens connections in a fast loop.
            runtime.sleep(ACCEPT_DELAY).await;
            continue;
        }
        open_connections.set(open_connections.get() + 1);
        let connection_runtime = runtime.clone();
        let router = router.clone();
        let limiter = limiter.clone();
        let open_connections = open_connections.clone();
        runtime.spawn(async move {
            serve_connection(&connection_runtime, stream, router, limiter).await;
            open_connections.set(open_connections.get() - 1);
        });
    }
}

async fn serve_connection<R: Runtime>(
    runtime: &R,
    stream: R::Stream,
    router: Router,
    limiter: Rc<RefCell<RequestRateLimiter>>,
) {
    if stream.set_nodelay().is_err() {
        return;
    }
    // When the last response was ready, or the connection was accepted.
    let last_active_at = Rc::new(Cell::new(runtime.now()));
    let service = service_fn(|request: Request<Incoming>| {
        let router = router.clone();
        let last_active_at = last_active_at.clone();
        let permitted = limiter.borrow_mut().try_acquire(runtime.now());
        async move {
            let mut response: Response<Body> = if permitted {
                router
                    .oneshot(request)
                    .await
                    .unwrap_or_else(|never| match never {})
            } else {
                Problem::too_many_requests().into_response()
            };
            let date = httpdate::fmt_http_date(std::time::UNIX_EPOCH + runtime.unix_time());
            if let Ok(date) = HeaderValue::from_str(&date) {
                response.headers_mut().insert(DATE, date);
            }
            last_active_at.set(runtime.now());
            Ok::<_, std::convert::Infallible>(response)
        }
    });
    let mut protocol = http1::Builder::new();
    protocol
        .max_buf_size(MAX_REQUEST_HEAD_BYTES)
        .auto_date_header(false)
        .half_close(false);
    let mut served = pin!(protocol.serve_connection(TokioIo::new(stream), service));
    loop {
        let idle_until = last_active_at.get() + IDLE_TIMEOUT;
        tokio::select! {
            biased;
            // An error means that the client closed the connection or sent invalid HTTP.
            _ = &mut served => return,
            // A request may have been answered since the timer was set.
            () = runtime.sleep_until(idle_until) => {
                if runtime.now() >= last_active_at.get() + IDLE_TIMEOUT {
                    return;
                }
            }
        }
    }
}
