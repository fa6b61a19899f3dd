use super::*;

use membership::{DiscoveryMode, DiscoverySettings};
use policy::types::AttemptOutcome;
use runtime::OsRuntime;
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

use crate::test_support::run_local;

const HOST_ID: HostId = 1;
const CALL_TIMEOUT: Duration = Duration::from_secs(30);
const OK_RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
const ERROR_RESPONSE: &[u8] = b"HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n";
const LIMITED_RESPONSE: &[u8] =
    b"HTTP/1.1 429 Limited\r\nX-Backoff-Ms: 20\r\nContent-Length: 0\r\n\r\n";
const BUSY_RESPONSE: &[u8] = b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n";

fn call_to(address: SocketAddr, key: Option<&str>, body: &[u8]) -> Call {
    Call {
        id: 1,
        attempt: 0,
        host: HOST_ID,
        route: RouteKey {
            destination: 1,
            host: None,
        },
        address,
        name: "9b1f03aa5c7e2d41".into(),
        key: key.map(String::from),
        body: Bytes::copy_from_slice(body),
        repeatability: Repeatability::Repeatable,
        confirmation: Confirmation::MayWait,
        timeout: CALL_TIMEOUT,
        message_deadline: Instant::now() + CALL_TIMEOUT,
        latest_start: None,
        start: AttemptStart::new(Rc::new(NoopRecorder)),
    }
}

/// Discards the starts of attempts, as most of these tests do not check them.
struct NoopRecorder;

impl AttemptRecorder for NoopRecorder {
    fn record_start(&self) -> std::io::Result<()> {
        Ok(())
    }

    fn retract_start(&self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Creates the host connections of a relay that may call the host [`HOST_ID`].
fn host_connections(max_idle: usize) -> HostConnections<OsRuntime> {
    let mut members = HostMembership::new(
        &DiscoverySettings {
            mode: DiscoveryMode::Push,
            replicas: 1,
            drain_grace: Duration::from_secs(2),
            seed: 1,
        },
        None,
    );
    members.set_ready(HOST_ID);
    members.confirm();
    let timeout = Duration::from_secs(5);
    HostConnections::new(
        OsRuntime,
        Rc::new(RefCell::new(members)),
        timeout,
        timeout,
        max_idle,
        Rc::default(),
    )
}

async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("bind listener");
    let address = listener.local_addr().expect("listener address");
    (listener, address)
}

async fn accept(listener: &TcpListener) -> TcpStream {
    listener.accept().await.expect("accept connection").0
}

/// Makes a call and returns once its connection is idle or closed.
async fn make_call(hosts: &HostConnections<OsRuntime>, call: Call) -> CompletedCall {
    let (inputs, mut events) = mpsc::channel(8);
    let (_cancel, cancelled) = oneshot::channel();
    hosts.call(call, cancelled, inputs).await;
    while let Some(event) = events.recv().await {
        if let RelayEvent::CallCompleted(completed) = event {
            return completed;
        }
    }
    panic!("call reported no outcome");
}

fn encoded_size(call: &Call) -> usize {
    request::build(call, CALL_TIMEOUT)
        .expect("valid request")
        .size as usize
}

/// Accepts a connection and asserts that no byte arrives on it.
async fn assert_nothing_was_written(listener: &TcpListener) {
    let mut stream = accept(listener).await;
    let read = timeout(Duration::from_millis(50), stream.read(&mut [0])).await;
    assert!(
        !matches!(read, Ok(Ok(1..))),
        "a byte of the request was written"
    );
}

/// Counts how often the start of an attempt is recorded and retracted.
#[derive(Default)]
struct CountingRecorder {
    fails: bool,
    recorded: Cell<u32>,
    retracted: Cell<u32>,
}

impl CountingRecorder {
    fn counts(&self) -> (u32, u32) {
        (self.recorded.get(), self.retracted.get())
    }
}

impl AttemptRecorder for CountingRecorder {
    fn record_start(&self) -> std::io::Result<()> {
        if self.fails {
            return Err(std::io::ErrorKind::StorageFull.into());
        }
        self.recorded.set(self.recorded.get() + 1);
        Ok(())
    }

    fn retract_start(&self) -> std::io::Result<()> {
        self.retracted.set(self.retracted.get() + 1);
        Ok(())
    }
}

fn recorded_call(address: SocketAddr, recorder: &Rc<CountingRecorder>, body: &[u8]) -> Call {
    Call {
        start: AttemptStart::new(recorder.clone()),
        ..call_to(address, None, body)
    }
}

#[test]
fn refused_connection_records_no_start() {
    run_local(async {
        let (listener, address) = listen().await;
        drop(listener);
        let recorder = Rc::new(CountingRecorder::default());
        let hosts = host_connections(1);
        let completed = make_call(&hosts, recorded_call(address, &recorder, b"x")).await;
        assert_eq!(completed.outcome, AttemptOutcome::ConnectFailed);
        assert_eq!(recorder.counts(), (0, 0));
    });
}

#[test]
fn start_is_recorded_once_and_retracted_if_the_request_is_incomplete() {
    run_local(async {
        for (body_size, expected) in [(1, (1, 0)), (32 << 20, (1, 1))] {
            let (listener, address) = listen().await;
            let recorder = Rc::new(CountingRecorder::default());
            let hosts = host_connections(1);
            let call = recorded_call(address, &recorder, &vec![7; body_size]);
            let peer = async {
                let mut stream = accept(&listener).await;
                stream
                    .read_exact(&mut [0; 10])
                    .await
                    .expect("read start of request");
                assert_eq!(
                    recorder.counts().0,
                    1,
                    "start is recorded before the first byte"
                );
            };
            let _ = tokio::join!(make_call(&hosts, call), peer);
            assert_eq!(recorder.counts(), expected, "{body_size} bytes");
        }
    });
}

#[test]
fn attempt_whose_start_cannot_be_recorded_writes_nothing() {
    run_local(async {
        let (listener, address) = listen().await;
        let recorder = Rc::new(CountingRecorder {
            fails: true,
            ..CountingRecorder::default()
        });
        let hosts = host_connections(1);
        let completed = make_call(&hosts, recorded_call(address, &recorder, b"x")).await;
        assert_eq!(completed.outcome, AttemptOutcome::Obsolete);
        assert_nothing_was_written(&listener).await;
    });
}

/// If the computed size were too large, calls that were executed would count as not executed and be sent again.
#[test]
fn computed_request_size_equals_the_bytes_written() {
    run_local(async {
        for (key, body) in [
            (None, &b""[..]),
            (Some("5c0f6e1a"), b"body"),
            (None, &[7; 65536]),
        ] {
            let (listener, address) = listen().await;
            let call = call_to(address, key, body);
            let size = encoded_size(&call);
            let hosts = host_connections(1);
            let peer = async {
                let mut stream = accept(&listener).await;
                let mut request = vec![0; size];
                stream
                    .read_exact(&mut request)
                    .await
                    .expect("read complete request");
                stream
                    .write_all(OK_RESPONSE)
                    .await
                    .expect("response written");
                assert!(request.ends_with(body));
                let mut excess = [0];
                let excess = timeout(Duration::from_millis(100), stream.read(&mut excess)).await;
                assert!(excess.is_err(), "{excess:?}");
            };
            let (completed, ()) = tokio::join!(make_call(&hosts, call), peer);
            assert_eq!(completed.outcome, AttemptOutcome::Delivered);
        }
    });
}

#[test]
fn call_after_its_latest_start_is_not_written() {
    run_local(async {
        let (listener, address) = listen().await;
        let hosts = host_connections(1);
        let call = Call {
            latest_start: Instant::now().checked_sub(Duration::from_millis(1)),
            ..call_to(address, Some("k"), b"x")
        };
        let completed = make_call(&hosts, call).await;
        assert_eq!(
            completed.outcome,
            AttemptOutcome::Obsolete,
            "call must be reported as not executed"
        );
        assert_nothing_was_written(&listener).await;
    });
}

/// The host is announced as draining when the call has a connection but has not written any byte.
#[test]
fn call_to_a_host_that_began_draining_is_not_written() {
    for reuses_connection in [false, true] {
        run_local(async move {
            let (listener, address) = listen().await;
            let hosts = host_connections(1);
            if reuses_connection {
                let opened =
                    Connection::open(&OsRuntime, address, Rc::default(), Rc::default()).await;
                let mut connection = opened.expect("connection opened");
                connection.sender.ready().await.expect("connection ready");
                hosts.return_to_pool(HOST_ID, connection);
            }
            // Same as the event loop when a host drains, except that idle connections stay open.
            hosts.members.borrow_mut().set_unavailable(HOST_ID);
            let completed = make_call(&hosts, call_to(address, Some("k"), b"x")).await;
            assert_eq!(
                (completed.outcome, completed.opened_connection),
                (AttemptOutcome::NotStarted, !reuses_connection)
            );
            assert_nothing_was_written(&listener).await;
        });
    }
}

#[test]
fn connection_lost_before_the_last_request_byte_counts_as_connect_failure() {
    run_local(async {
        let (listener, address) = listen().await;
        // Exceeds the sockets' buffers, so that the last byte cannot have been written.
        let call = call_to(address, None, &vec![7; 32 << 20]);
        let hosts = host_connections(1);
        let peer = async {
            let mut stream = accept(&listener).await;
            stream
                .read_exact(&mut [0; 1000])
                .await
                .expect("read start of request");
        };
        let (completed, ()) = tokio::join!(make_call(&hosts, call), peer);
        assert_eq!(completed.outcome, AttemptOutcome::ConnectFailed);
    });
}

/// When the duplicate of a response arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum DuplicateTiming {
    WithTheResponse,
    WhileIdle,
    /// Too late for the HTTP library to detect it before the next call starts.
    JustBeforeTheNextRequest,
}

#[test]
fn duplicate_response_does_not_answer_the_next_call() {
    for timing in [
        DuplicateTiming::WithTheResponse,
        DuplicateTiming::WhileIdle,
        DuplicateTiming::JustBeforeTheNextRequest,
    ] {
        run_local(call_after_duplicate_response(timing));
    }
}

async fn call_after_duplicate_response(timing: DuplicateTiming) {
    let (listener, address) = listen().await;
    let hosts = host_connections(4);
    let call = || call_to(address, None, b"x");
    let size = encoded_size(&call());

    let peer = async {
        let mut stream = accept(&listener).await;
        stream
            .read_exact(&mut vec![0; size])
            .await
            .expect("read request");
        let response = match timing {
            DuplicateTiming::WithTheResponse => [OK_RESPONSE, OK_RESPONSE].concat(),
            _ => OK_RESPONSE.to_vec(),
        };
        stream.write_all(&response).await.expect("response written");
        stream
    };
    let (completed, stream) = tokio::join!(make_call(&hosts, call()), peer);
    assert_eq!(completed.outcome, AttemptOutcome::Delivered);

    if timing != DuplicateTiming::WithTheResponse {
        SockRef::from(&stream)
            .send(OK_RESPONSE)
            .expect("response written");
    }
    if timing == DuplicateTiming::WhileIdle {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }

    let peer = async {
        let mut stream = accept(&listener).await;
        stream
            .read_exact(&mut vec![0; size])
            .await
            .expect("read request");
        stream
            .write_all(BUSY_RESPONSE)
            .await
            .expect("response written");
    };
    let both = async { tokio::join!(make_call(&hosts, call()), peer) };
    let (completed, ()) = timeout(Duration::from_secs(60), both)
        .await
        .expect("call on a new connection completes");
    assert_eq!(
        completed.outcome,
        AttemptOutcome::Rejected { retry_after: 0 },
        "{timing:?}"
    );
}

/// A host that answers the first call of a connection, sends a copy of that answer `copy_after` the last byte of the second
/// request, and the true answer to it `answer_after` that.
async fn copy_behind_the_next_request(
    listener: &TcpListener,
    size: usize,
    answers: [&[u8]; 2],
    answer_after: Duration,
) {
    let mut stream = accept(listener).await;
    let mut request = vec![0; size];
    stream
        .read_exact(&mut request)
        .await
        .expect("read first request");
    // Longer than the copy takes, as the work of a host.
    tokio::time::sleep(Duration::from_millis(10)).await;
    stream.write_all(answers[0]).await.expect("answer written");
    stream
        .read_exact(&mut request)
        .await
        .expect("read second request");
    tokio::time::sleep(Duration::from_millis(2)).await;
    stream.write_all(answers[0]).await.expect("copy written");
    tokio::time::sleep(answer_after).await;
    // The relay may have closed the connection.
    drop(stream.write_all(answers[1]).await);
}

/// Makes two calls on one connection, of which the second seems to get the answer to the first, and returns its outcome.
async fn outcome_of_call_behind_a_copy(answers: [&'static [u8]; 2]) -> AttemptOutcome {
    outcome_of_call_answered_late(answers, Duration::from_millis(80)).await
}

/// Like [`outcome_of_call_behind_a_copy`]; the true answer comes `answer_after` the copy.
async fn outcome_of_call_answered_late(
    answers: [&'static [u8]; 2],
    answer_after: Duration,
) -> AttemptOutcome {
    let (listener, address) = listen().await;
    let hosts = host_connections(4);
    let call = || call_to(address, None, b"x");
    let size = encoded_size(&call());
    let peer = copy_behind_the_next_request(&listener, size, answers, answer_after);
    let calls = async {
        make_call(&hosts, call()).await;
        make_call(&hosts, call()).await
    };
    let (completed, ()) = tokio::join!(calls, peer);
    assert!(!completed.opened_connection, "the connection was reused");
    assert_eq!(
        hosts.close_counts().get(CloseReason::SurplusResponse),
        1,
        "the shifted connection is closed"
    );
    completed.outcome
}

#[test]
fn copy_of_a_delivery_does_not_deliver_a_rejected_call() {
    run_local(async {
        let outcome = outcome_of_call_behind_a_copy([OK_RESPONSE, BUSY_RESPONSE]).await;
        assert_eq!(outcome, AttemptOutcome::ConnectionLost);
    });
}

/// Guards against a true answer that is dropped because it comes later than the doubt lasts.
#[test]
fn copy_of_a_delivery_does_not_deliver_a_call_that_fails_late() {
    run_local(async {
        let late = Duration::from_millis(600);
        for answer in [ERROR_RESPONSE, BUSY_RESPONSE] {
            let outcome = outcome_of_call_answered_late([OK_RESPONSE, answer], late).await;
            assert_eq!(outcome, AttemptOutcome::ConnectionLost);
        }
    });
}

/// Long enough for each answer, and of as many digits when a part of it has passed.
const SHORT_CALL_TIMEOUT: Duration = Duration::from_millis(600);

/// How a host answers the call behind a copy, and the outcome of that call.
const ANSWERS_BEHIND_A_COPY: [(Option<&[u8]>, AttemptOutcome); 4] = [
    (Some(ERROR_RESPONSE), AttemptOutcome::Error),
    (
        Some(BUSY_RESPONSE),
        AttemptOutcome::Rejected { retry_after: 0 },
    ),
    (
        Some(LIMITED_RESPONSE),
        AttemptOutcome::Rejected {
            retry_after: 20_000,
        },
    ),
    (None, AttemptOutcome::Timeout),
];

/// Serves a connection: answers its first call, sends a copy of that answer `copy_after` it, and answers the next call with
/// `answer`; with `None`, never. Each answer takes `work`. The first call of another connection is answered with `answer`.
async fn serve_with_copy(
    listener: &TcpListener,
    size: usize,
    copy_after: Duration,
    work: Duration,
    answer: Option<&[u8]>,
) {
    let mut first = accept(listener).await;
    let mut request = vec![0; size];
    first.read_exact(&mut request).await.expect("read request");
    tokio::time::sleep(work).await;
    first.write_all(OK_RESPONSE).await.expect("answer written");
    let copy = async {
        tokio::time::sleep(copy_after).await;
        drop(first.write_all(OK_RESPONSE).await);
        let mut request = vec![0; size];
        let has_next = first.read_exact(&mut request).await.is_ok();
        has_next.then_some(&mut first)
    };
    let next = async { accept(listener).await };
    tokio::pin!(copy, next);
    let mut second;
    let stream = tokio::select! {
        Some(reused) = &mut copy => reused,
        accepted = &mut next => {
            second = accepted;
            second.read_exact(&mut request).await.expect("read request");
            &mut second
        }
    };
    tokio::time::sleep(work).await;
    if let Some(answer) = answer {
        stream.write_all(answer).await.expect("answer written");
    }
    // Open until the relay closes it.
    drop(stream.read(&mut [0]).await);
}

/// Makes a call, and another one as soon as the first is reported; returns the outcome of the second.
async fn outcome_of_call_right_behind(
    copy_after: Duration,
    work: Duration,
    answer: Option<&[u8]>,
) -> AttemptOutcome {
    let (listener, address) = listen().await;
    let hosts = host_connections(4);
    let call = || Call {
        timeout: SHORT_CALL_TIMEOUT,
        ..call_to(address, None, b"x")
    };
    let encoded = request::build(&call(), SHORT_CALL_TIMEOUT).expect("valid request");
    let size = encoded.size as usize;
    let (inputs, mut events) = mpsc::channel(8);
    let (_cancel, cancelled) = oneshot::channel();
    let first = hosts.call(call(), cancelled, inputs);
    let second = async {
        while let Some(event) = events.recv().await {
            if matches!(event, RelayEvent::CallCompleted(_)) {
                return make_call(&hosts, call()).await;
            }
        }
        panic!("call reported no outcome");
    };
    let calls = async { tokio::join!(first, second).1 };
    let peer = serve_with_copy(&listener, size, copy_after, work, answer);
    tokio::select! {
        completed = calls => completed.outcome,
        () = async { peer.await; std::future::pending().await } => unreachable!(),
    }
}

/// Guards against a connection that is used again before a copy behind its last answer has come.
#[test]
fn copy_right_behind_an_answer_is_not_taken_for_the_answer_to_the_next_call() {
    let milliseconds = Duration::from_millis;
    let threads = ANSWERS_BEHIND_A_COPY.map(|(answer, expected)| {
        std::thread::spawn(move || {
            for copy_after in [1, 5, 20].map(milliseconds) {
                for work in [3, 30, 200].map(milliseconds) {
                    run_local(async move {
                        let outcome = outcome_of_call_right_behind(copy_after, work, answer).await;
                        assert_eq!(outcome, expected, "{copy_after:?} {work:?}");
                    });
                }
            }
        })
    });
    for thread in threads {
        thread.join().expect("each call has its own outcome");
    }
}

#[test]
fn copy_of_a_rejection_does_not_free_an_executed_call_for_a_retry() {
    run_local(async {
        let outcome = outcome_of_call_behind_a_copy([BUSY_RESPONSE, OK_RESPONSE]).await;
        assert_eq!(outcome, AttemptOutcome::ConnectionLost);
    });
}

#[test]
fn copy_of_the_same_status_leaves_the_outcome_as_it_is() {
    run_local(async {
        let outcome = outcome_of_call_behind_a_copy([OK_RESPONSE, OK_RESPONSE]).await;
        assert_eq!(outcome, AttemptOutcome::Delivered);
        let outcome = outcome_of_call_behind_a_copy([BUSY_RESPONSE, BUSY_RESPONSE]).await;
        assert_eq!(outcome, AttemptOutcome::Rejected { retry_after: 0 });
    });
}

#[test]
fn wait_requested_behind_a_copy_is_honoured() {
    const WAIT_RESPONSE: &[u8] =
        b"HTTP/1.1 429 Slow\r\nX-Backoff-Ms: 5000\r\nContent-Length: 0\r\n\r\n";
    run_local(async {
        let (listener, address) = listen().await;
        let hosts = host_connections(4);
        let call = || call_to(address, None, b"x");
        let size = encoded_size(&call());
        let answers = [OK_RESPONSE, WAIT_RESPONSE];
        let answer_after = Duration::from_millis(20);
        let peer = copy_behind_the_next_request(&listener, size, answers, answer_after);
        let calls = async {
            make_call(&hosts, call()).await;
            make_call(&hosts, call()).await;
            make_call(&hosts, call()).await
        };
        let (completed, ()) = tokio::join!(calls, peer);
        assert_eq!(completed.outcome, AttemptOutcome::Obsolete);
        assert_nothing_was_written(&listener).await;
    });
}

/// The first connection has carried a rejection, whose copy could make an executed call look as if it never ran.
#[test]
fn call_that_may_not_run_twice_gets_a_new_connection_after_a_rejection() {
    run_local(async {
        let (listener, address) = listen().await;
        let hosts = host_connections(4);
        let call = || Call {
            repeatability: Repeatability::NotRepeatable,
            ..call_to(address, None, b"x")
        };
        let size = encoded_size(&call());
        let peer = async {
            for answer in [BUSY_RESPONSE, OK_RESPONSE] {
                let mut stream = accept(&listener).await;
                let mut request = vec![0; size];
                stream.read_exact(&mut request).await.expect("read request");
                stream.write_all(answer).await.expect("answer written");
            }
        };
        let calls = async {
            make_call(&hosts, call()).await;
            make_call(&hosts, call()).await
        };
        let (completed, ()) = tokio::join!(calls, peer);
        assert!(completed.opened_connection);
        assert_eq!(completed.outcome, AttemptOutcome::Delivered);
    });
}

/// At its connection limit, a host may reject a connection before it has read anything.
#[test]
fn rejection_of_a_new_connection_is_no_surplus_response() {
    run_local(async {
        let (listener, address) = listen().await;
        let hosts = host_connections(4);
        let call = || call_to(address, None, b"x");
        let size = encoded_size(&call());
        let peer = async {
            let mut rejected = accept(&listener).await;
            rejected.write_all(BUSY_RESPONSE).await.expect("written");
            drop(rejected);
            let mut stream = accept(&listener).await;
            let mut request = vec![0; size];
            for _ in 0..2 {
                stream.read_exact(&mut request).await.expect("read request");
                stream.write_all(OK_RESPONSE).await.expect("written");
            }
        };
        let calls = async {
            make_call(&hosts, call()).await;
            make_call(&hosts, call()).await;
            make_call(&hosts, call()).await
        };
        let (completed, ()) = tokio::join!(calls, peer);
        assert_eq!(completed.outcome, AttemptOutcome::Delivered);
        assert!(!completed.opened_connection, "the connection is reused");
        assert_eq!(hosts.close_counts().get(CloseReason::SurplusResponse), 0);
    });
}
