//! A host that sends some of its answers a second time, at a chosen instant, and records what truly happened to each call.

use std::collections::BTreeMap;
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::ops::RangeInclusive;
use std::sync::mpsc::{channel, Receiver};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use rand_xoshiro::rand_core::{Rng, SeedableRng};
use rand_xoshiro::SplitMix64;

use super::{bind, head, header};

/// When the second copy of an answer is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CopyTiming {
    /// In the same write as the answer.
    WithAnswer,
    /// This long after the answer.
    AfterAnswer(Duration),
    /// This long after the last byte of the next request on the connection.
    AfterNextRequest(Duration),
}

/// How a host answers.
#[derive(Clone, Debug)]
pub struct Behavior {
    /// Percentage of the answers that are sent twice.
    pub copy_percent: u64,
    /// One of these is drawn for each copy.
    pub copy_timings: Vec<CopyTiming>,
    /// Time from the last byte of a request to its answer; one of these is drawn for each call.
    pub answer_times: Vec<RangeInclusive<u64>>,
    /// Percentage of the calls that are rejected with status 503.
    pub reject_percent: u64,
}

/// What truly happened to a call.
#[derive(Clone, Debug)]
pub struct TrueCall {
    pub id: String,
    pub received_at: Instant,
    /// The status that was written for this call, and when; `None` if the call was not answered.
    pub answer: Option<(u16, Instant)>,
    /// When the relay closed the connection, if it did so before the answer.
    pub closed_at: Option<Instant>,
}

impl TrueCall {
    /// Whether the call was delivered, or may have been.
    pub fn may_have_executed(&self) -> bool {
        self.answer.is_none_or(|(status, _)| status != 503)
    }

    pub fn is_delivered(&self) -> bool {
        self.answer.is_some_and(|(status, _)| status == 200)
    }

    /// Whether the call was out at an instant.
    pub fn is_out_at(&self, at: Instant) -> bool {
        let answered_at = self.answer.map(|(_, at)| at);
        let ended_at = answered_at.into_iter().chain(self.closed_at).min();
        self.received_at < at && ended_at.is_none_or(|ended_at| ended_at > at)
    }
}

/// The host.
#[derive(Clone)]
pub struct RepeatingHost {
    pub address: SocketAddr,
    pub calls: Arc<Mutex<Vec<TrueCall>>>,
    /// Number of connections that were accepted.
    pub connections: Arc<Mutex<usize>>,
    behavior: Arc<Behavior>,
    random: Arc<Mutex<SplitMix64>>,
}

impl RepeatingHost {
    pub fn start(behavior: Behavior, seed: u64) -> RepeatingHost {
        let listener = bind();
        let host = RepeatingHost {
            address: listener.local_addr().expect("bound"),
            calls: Arc::default(),
            connections: Arc::default(),
            behavior: Arc::new(behavior),
            random: Arc::new(Mutex::new(SplitMix64::seed_from_u64(seed))),
        };
        let peer = host.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                *peer.connections.lock().unwrap() += 1;
                let peer = peer.clone();
                thread::spawn(move || peer.serve(stream));
            }
        });
        host
    }

    /// The calls, by message.
    pub fn calls_by_message(&self) -> BTreeMap<String, Vec<TrueCall>> {
        let mut by_message: BTreeMap<String, Vec<TrueCall>> = BTreeMap::new();
        for call in self.calls.lock().unwrap().iter() {
            by_message
                .entry(call.id.clone())
                .or_default()
                .push(call.clone());
        }
        by_message
    }

    fn below(&self, count: u64) -> u64 {
        self.random.lock().unwrap().next_u64() % count
    }

    fn serve(&self, stream: TcpStream) -> Option<()> {
        stream.set_nodelay(true).ok()?;
        let requests = self.read_requests(stream.try_clone().ok()?);
        let writer = Arc::new(Mutex::new(stream));
        let mut copy_after_request = None;
        while let Ok(call) = requests.recv() {
            if let Some((delay, copy)) = copy_after_request.take() {
                thread::sleep(delay);
                send(&writer, copy)?;
            }
            copy_after_request = self.answer(call, &writer)?;
        }
        None
    }

    /// Answers a call, and returns the copy to send after the next request, if any.
    fn answer(
        &self,
        call: usize,
        writer: &Arc<Mutex<TcpStream>>,
    ) -> Option<Option<(Duration, &'static str)>> {
        let times = &self.behavior.answer_times;
        let times = &times[self.below(times.len() as u64) as usize];
        let span = times.end() - times.start() + 1;
        thread::sleep(Duration::from_millis(times.start() + self.below(span)));
        let (status, text) = if self.below(100) < self.behavior.reject_percent {
            (503, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
        } else {
            (200, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        };
        let timings = &self.behavior.copy_timings;
        let timing = timings[self.below(timings.len() as u64) as usize];
        let is_copied = self.below(100) < self.behavior.copy_percent;
        {
            // Recorded before the relay can react to the answer.
            let mut calls = self.calls.lock().unwrap();
            if calls[call].closed_at.is_some() {
                return None;
            }
            calls[call].answer = Some((status, Instant::now()));
        }
        if is_copied && timing == CopyTiming::WithAnswer {
            writer
                .lock()
                .unwrap()
                .write_all([text, text].concat().as_bytes())
                .ok()?;
            return Some(None);
        }
        send(writer, text)?;
        Some(match timing {
            CopyTiming::AfterNextRequest(delay) if is_copied => Some((delay, text)),
            CopyTiming::AfterAnswer(delay) if is_copied => {
                let writer = writer.clone();
                thread::spawn(move || {
                    thread::sleep(delay);
                    send(&writer, text)
                });
                None
            }
            _ => None,
        })
    }

    /// Reads requests in a thread of its own, which notices at once that the relay has closed the connection. The channel
    /// delivers the number of each call.
    fn read_requests(&self, stream: TcpStream) -> Receiver<usize> {
        let (sender, receiver) = channel();
        let host = self.clone();
        thread::spawn(move || {
            let mut reader = BufReader::new(stream);
            let mut last = None;
            while let Some(id) = read_request(&mut reader) {
                let mut calls = host.calls.lock().unwrap();
                calls.push(TrueCall {
                    id,
                    received_at: Instant::now(),
                    answer: None,
                    closed_at: None,
                });
                last = Some(calls.len() - 1);
                drop(calls);
                if sender.send(last.expect("a call")).is_err() {
                    return;
                }
            }
            let mut calls = host.calls.lock().unwrap();
            if let Some(call) = last.map(|last| &mut calls[last]) {
                call.closed_at = call.answer.is_none().then(Instant::now);
            }
        });
        receiver
    }
}

/// Reads a request and returns the id of its message; `None` if the connection has ended.
fn read_request(reader: &mut BufReader<TcpStream>) -> Option<String> {
    let (_, headers) = head(reader)?;
    let mut body = vec![0; header(&headers, "content-length")?.parse().ok()?];
    reader.read_exact(&mut body).ok()?;
    header(&headers, "x-trace-id")
}

fn send(writer: &Mutex<TcpStream>, text: &str) -> Option<()> {
    writer.lock().unwrap().write_all(text.as_bytes()).ok()
}
