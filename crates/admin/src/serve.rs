//! The listener. It bounds what an administrator may take of the process: connections, the time of one without a
//! whole request, and requests a second. Nothing here waits for the relay but within a request.

use std::cell::{Cell, RefCell};
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

/// A connection on which no request has become whole for so long is closed.
const IDLE: Duration = Duration::from_secs(10);
/// The longest head of a request, in bytes.
const LONGEST_HEAD: usize = 16 << 10;
/// After a connection that could not be accepted, or past the most, the next is taken so much later.
const REST: Duration = Duration::from_millis(20);

/// Requests that may come: so many a second, twice as many at once.
struct Pace {
    per_s: f64,
    tokens: f64,
    at: Instant,
}

impl Pace {
    fn take(&mut self, now: Instant) -> bool {
        let passed = now.saturating_duration_since(self.at).as_secs_f64();
        (self.tokens, self.at) = (
            (self.tokens + passed * self.per_s).min(2.0 * self.per_s),
            now,
        );
        let room = self.tokens >= 1.0;
        self.tokens -= if room { 1.0 } else { 0.0 };
        room
    }
}

/// Serves the API's routes for good.
pub async fn serve<R: Runtime>(
    runtime: R,
    listener: R::Listener,
    router: Router,
    connections: usize,
    requests_per_second: f64,
) {
    let open = Rc::new(Cell::new(0));
    let per_s = requests_per_second;
    let pace = Rc::new(RefCell::new(Pace {
        per_s,
        tokens: 2.0 * per_s,
        at: runtime.now(),
    }));
    loop {
        let stream = match listener.accept().await {
            Ok(stream) => stream,
            Err(error) => {
                log!(runtime, "admin: accept_failed error={error}");
                runtime.sleep(REST).await;
                continue;
            }
        };
        if open.get() >= connections {
            drop(stream);
            // Guards the process against a client that opens connections at full speed.
            runtime.sleep(REST).await;
            continue;
        }
        open.set(open.get() + 1);
        let (own, router, pace, open) =
            (runtime.clone(), router.clone(), pace.clone(), open.clone());
        runtime.spawn(async move {
            connection(&own, stream, router, pace).await;
            open.set(open.get() - 1);
        });
    }
}

async fn connection<R: Runtime>(
    runtime: &R,
    stream: R::Stream,
    router: Router,
    pace: Rc<RefCell<Pace>>,
) {
    if stream.set_nodelay().is_err() {
        return;
    }
    // When the last request was answered, or the connection began.
    let last = Rc::new(Cell::new(runtime.now()));
    let service = service_fn(|request: Request<Incoming>| {
        let (router, last) = (router.clone(), last.clone());
        let room = pace.borrow_mut().take(runtime.now());
        async move {
            let mut response: Response<Body> = if room {
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
            last.set(runtime.now());
            Ok::<_, std::convert::Infallible>(response)
        }
    });
    let mut library = http1::Builder::new();
    library
        .max_buf_size(LONGEST_HEAD)
        .auto_date_header(false)
        .half_close(false);
    let mut served = std::pin::pin!(library.serve_connection(TokioIo::new(stream), service));
    loop {
        let until = last.get() + IDLE;
        tokio::select! {
            biased;
            // A client that breaks off or sends what can't be read has its connection closed.
            _ = &mut served => return,
            () = runtime.sleep_until(until) => if runtime.now() >= last.get() + IDLE {
                return;
            },
        }
    }
}
