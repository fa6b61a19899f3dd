//! The simulator's wire: frames and settings text to interface types and back.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde_json::Value;

use policy::types::*;
use policy::DeliveryPolicy;
use tenancy::Shares;

/// Bytes of a batch header: the length, then the clock.
pub const HEADER: usize = 12;
const ROSTERS: usize = 16;
const ALL_PEERS: u16 = u16::MAX;
const HINT_VALID: u8 = 1;
const HANDED_IN_AGAIN: u8 = 2;

fn bad<T>(what: impl Into<String>, place: impl Into<String>) -> Result<T, InputError> {
    Err(InputError {
        problem: what.into(),
        location: place.into(),
    })
}

/// Splits a batch header into the payload's length and the clock.
pub fn header(bytes: &[u8; HEADER]) -> (usize, Micros) {
    let mut reader = Reader { bytes, at: 0 };
    let length = reader.u32().unwrap_or(0);
    (length as usize, reader.u64().unwrap_or(0))
}

struct Reader<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl<'a> Reader<'a> {
    fn take(&mut self, n: usize) -> Result<&'a [u8], InputError> {
        match self
            .at
            .checked_add(n)
            .and_then(|end| self.bytes.get(self.at..end))
        {
            Some(part) => {
                self.at += n;
                Ok(part)
            }
            None => bad(
                format!("record wants {n} bytes more than the frame holds"),
                self.place(),
            ),
        }
    }

    fn place(&self) -> String {
        format!("byte {} of the frame", self.at)
    }

    fn array<const N: usize>(&mut self) -> Result<[u8; N], InputError> {
        let mut out = [0; N];
        out.copy_from_slice(self.take(N)?);
        Ok(out)
    }

    fn u8(&mut self) -> Result<u8, InputError> {
        Ok(self.array::<1>()?[0])
    }

    fn u16(&mut self) -> Result<u16, InputError> {
        self.array().map(u16::from_le_bytes)
    }

    fn u32(&mut self) -> Result<u32, InputError> {
        self.array().map(u32::from_le_bytes)
    }

    fn u64(&mut self) -> Result<u64, InputError> {
        self.array().map(u64::from_le_bytes)
    }

    fn f32(&mut self) -> Result<f32, InputError> {
        self.array().map(f32::from_le_bytes)
    }

    fn report(&mut self) -> Result<Vec<f32>, InputError> {
        let n = self.u8()?;
        (0..n).map(|_| self.f32()).collect()
    }

    fn outcome(&mut self) -> Result<u16, InputError> {
        let at = self.place();
        match self.u16()? {
            code @ 0..=7 => Ok(code),
            code => bad(format!("unknown outcome {code}"), at),
        }
    }

    fn entry(&mut self) -> Result<HostEntry, InputError> {
        let weight = self.f32()?;
        let kind = self.u8()?;
        let zone = self.u8()?;
        let at = self.place();
        let listing = match self.u8()? {
            0 => HostState::Removed,
            1 => HostState::Ready,
            2 => HostState::Draining,
            code => return bad(format!("unknown host state {code}"), at),
        };
        let destination = self.u16()?;
        let host = self.u32()?;
        self.u64()?;
        Ok(HostEntry {
            host,
            destination,
            kind,
            zone,
            state: listing,
            weight,
        })
    }
}

fn outcome(code: u16, remark_ms: u32) -> AttemptOutcome {
    match code {
        0 => AttemptOutcome::Delivered,
        1 => AttemptOutcome::Error,
        2 => AttemptOutcome::Rejected {
            retry_after: Micros::from(remark_ms) * 1000,
        },
        3 => AttemptOutcome::Timeout,
        4 => AttemptOutcome::ConnectFailed,
        5 => AttemptOutcome::Reset,
        6 => AttemptOutcome::Cancelled,
        _ => AttemptOutcome::Obsolete,
    }
}

/// Reads the settings text.
pub fn settings(text: &[u8]) -> Result<Settings, InputError> {
    let root: Value = match serde_json::from_slice(text) {
        Ok(value) => value,
        Err(error) => {
            return bad(
                format!("settings are not JSON ({error})"),
                "the settings text",
            )
        }
    };
    if !root.is_object() {
        return bad("settings are not an object", "the settings text");
    }
    let need = |path: &str| -> Result<f64, InputError> {
        match root
            .pointer(path)
            .and_then(Value::as_f64)
            .filter(|v| v.is_finite() && *v >= 0.0)
        {
            Some(value) => Ok(value),
            None => bad("settings lack a number", path),
        }
    };
    let positive = |path: &str| match need(path)? {
        value if value >= 1.0 => Ok(value),
        _ => bad("settings want a number of 1 or more", path),
    };
    let or_zero = |path: &str| number(&root, path).unwrap_or(0.0);
    let list = |path: &str| {
        root.pointer(path)
            .and_then(Value::as_array)
            .cloned()
            .unwrap_or_default()
    };
    let flag = |path: &str| root.pointer(path).and_then(Value::as_bool).unwrap_or(false);
    let text_at = |path: &str| root.pointer(path).and_then(Value::as_str).unwrap_or("");

    let mut classes = Vec::new();
    for (index, class) in list("/services").iter().enumerate() {
        classes.push(class_of(class, &format!("/services/{index}"))?);
    }
    if classes.is_empty() {
        return bad("settings name no class", "/services");
    }
    let apart = list("/familyInfo/kindApart");
    let per_call = list("/familyInfo/perCall");
    let kinds = (0..apart.len().max(per_call.len()))
        .map(|i| DestinationKind {
            has_host_routes: apart.get(i).and_then(Value::as_bool).unwrap_or(false),
            max_messages_per_call: per_call.get(i).and_then(Value::as_u64).unwrap_or(1).max(1)
                as usize,
        })
        .collect();
    let tells_waits = flag("/limits/retryAfter");
    let siblings = need("/siblings")? as usize;
    if siblings == 0 || or_zero("/ordinal") as usize >= siblings {
        return bad("settings count fewer relays than there are", "/siblings");
    }
    Ok(Settings {
        classes,
        kinds,
        tenants: list("/tenants")
            .iter()
            .map(|t| Tenant {
                quota_per_second: number(t, "/quotaPerS").unwrap_or(f64::INFINITY),
                share: number(t, "/share").unwrap_or(1.0),
            })
            .collect(),
        over_quota_value: number(&root, "/overShareWorth").unwrap_or(1.0),
        decay: match text_at("/familyInfo/late") {
            "halving" => ValueDecay::Halving,
            _ => ValueDecay::Linear,
        },
        zone_fees: list("/familyInfo/toll")
            .iter()
            .map(|v| v.as_f64().unwrap_or(0.0))
            .collect(),
        cross_zone_fee: or_zero("/fees/crossZone"),
        max_calls: need("/familyInfo/callsOut")? as usize,
        max_queued: need("/limits/mostHeld")? as usize,
        max_queued_bytes: 0,
        max_attempts: positive("/limits/maxAttempts")? as usize,
        max_retry_after: if tells_waits {
            or_zero("/limits/maxRetryAfter") as Micros
        } else {
            0
        },
        can_cancel: flag("/limits/cancelling"),
        can_probe: flag("/limits/probes"),
        polls_discovery: text_at("/discovery") == "ask",
        replicas: siblings,
        zone: or_zero("/myZone") as u8,
        weight_source: match text_at("/weightSource") {
            "nominal" => WeightSource::Nominal,
            "rough" => WeightSource::Rough,
            _ => WeightSource::Absent,
        },
        report_fields: list("/stats/fields")
            .iter()
            .map(|v| match v.as_str().unwrap_or("") {
                "x0" => ReportField::AllowanceLeft,
                "x1" => ReportField::LimitPerSecond,
                _ => ReportField::Other,
            })
            .collect(),
        rules: PlatformRules {
            max_poll_interval: or_zero("/rules/askWithin") as Micros,
            initial_capacity_share: need("/rules/coldFrom")?,
            warm_up: need("/rules/cold")? as Micros,
            overload_factor: need("/rules/overloadFactor")?,
            overload_duration: need("/rules/overloadFor")? as Micros,
            ordering_delay: or_zero("/rules/turnGap") as Micros,
        },
        tick: or_zero("/tick") as Micros,
    })
}

fn number(value: &Value, path: &str) -> Option<f64> {
    value
        .pointer(path)
        .and_then(Value::as_f64)
        .filter(|v| v.is_finite() && *v >= 0.0)
}

fn class_of(class: &Value, place: &str) -> Result<Class, InputError> {
    let need = |key: &str| match number(class, key) {
        Some(value) => Ok(value),
        None => bad("settings lack a number", format!("{place}{key}")),
    };
    let effect = match class.pointer("/effect").and_then(Value::as_str) {
        Some("retryable") => Idempotency::Idempotent,
        Some("dedup") => Idempotency::Keyed {
            window: need("/window")? as Micros,
            zone_only: class.pointer("/keyScope").and_then(Value::as_str) != Some("all"),
        },
        Some("fragile") => Idempotency::NonIdempotent,
        _ => return bad("settings lack a known effect", format!("{place}/effect")),
    };
    let positive = |key: &str| match need(key)? {
        value if value >= 1.0 => Ok(value as Micros),
        _ => bad(
            "settings want a number of 1 or more",
            format!("{place}{key}"),
        ),
    };
    Ok(Class {
        latency_objective: need("/aim")? as Micros,
        objective_stretch: number(class, "/aimStretch").unwrap_or(0.0),
        time_to_live: positive("/giveUp")?,
        idempotency: effect,
        value: number(class, "/worth").unwrap_or(1.0),
        late_value: number(class, "/lateWorth").unwrap_or(0.0),
        is_ordered: class
            .pointer("/fifoByKey")
            .and_then(Value::as_bool)
            .unwrap_or(false),
    })
}

enum Record {
    Begin(u64, Box<Settings>),
    Exit,
    Event(Event),
}

/// Hosts the instances of one process; they share nothing but the process.
#[derive(Default)]
pub struct Adapter {
    relays: BTreeMap<u16, DeliveryPolicy>,
    rosters: [Option<Arc<Vec<HostEntry>>>; ROSTERS],
}

impl Adapter {
    /// Takes the payload of one batch and gives the whole reply, header included.
    pub fn round(&mut self, now: Micros, payload: &[u8]) -> Result<Vec<u8>, InputError> {
        let mut reader = Reader {
            bytes: payload,
            at: 0,
        };
        let mut pending: BTreeMap<u16, Vec<Event>> = BTreeMap::new();
        while reader.at < payload.len() {
            let Some((relay, record)) = self.record(&mut reader)? else {
                continue;
            };
            match record {
                Record::Begin(seed, settings) => {
                    let shares = Box::new(Shares::of(&settings));
                    self.relays.insert(
                        relay,
                        DeliveryPolicy::with_scheduler(*settings, seed, shares),
                    );
                    pending.insert(relay, Vec::new());
                }
                Record::Exit => {
                    self.relays.remove(&relay);
                    pending.remove(&relay);
                }
                Record::Event(event) => pending.entry(relay).or_default().push(event),
            }
        }
        let mut body = Vec::new();
        let mut count = 0u32;
        let mut actions = Vec::new();
        for (number, events) in pending {
            if let Some(relay) = self.relays.get_mut(&number) {
                relay.handle(now, events, &mut actions);
                for action in actions.drain(..) {
                    encode(number, &action, &mut body);
                    count += 1;
                }
            }
        }
        let mut reply = Vec::with_capacity(body.len() + 8);
        reply.extend(count.to_le_bytes());
        reply.extend((body.len() as u32).to_le_bytes());
        reply.extend(body);
        Ok(reply)
    }

    fn record(&mut self, r: &mut Reader<'_>) -> Result<Option<(u16, Record)>, InputError> {
        let place = r.place();
        let code = r.u8()?;
        if code == 10 {
            let slot = r.u32()? as usize;
            if slot >= ROSTERS {
                return bad(format!("roster number {slot} is out of range"), place);
            }
            let n = r.u32()?;
            let mut entries = Vec::new();
            for _ in 0..n {
                entries.push(r.entry()?);
            }
            self.rosters[slot] = Some(Arc::new(entries));
            return Ok(None);
        }
        if code > 10 {
            return bad(format!("unknown event code {code}"), place);
        }
        let relay = r.u16()?;
        let event = match code {
            0 => {
                let seed = r.u64()?;
                let n = r.u32()? as usize;
                let text = r.take(n)?;
                return Ok(Some((
                    relay,
                    Record::Begin(seed, Box::new(settings(text)?)),
                )));
            }
            9 => return Ok(Some((relay, Record::Exit))),
            1 => {
                r.u64()?;
                let slot = r.u32()? as usize;
                let how = r.u8()?;
                match how {
                    1 => Event::DiscoveryFailed,
                    0 | 2 | 3 => match self.rosters.get(slot).and_then(Option::as_ref) {
                        Some(roster) => Event::HostsUpdated {
                            is_full: how != 3,
                            cached: how == 0,
                            entries: roster.as_ref().clone(),
                        },
                        None => return bad(format!("roster {slot} was never sent"), place),
                    },
                    _ => return bad(format!("unknown list kind {how}"), place),
                }
            }
            2 => {
                let id = r.u64()?;
                let key = Some(r.u64()?).filter(|k| *k != 0);
                let class = r.u16()?;
                let cell = r.f32()?;
                let due = r.u64()?;
                let effort = r.u32()?;
                let tenant = r.u16()?;
                let bits = r.u8()?;
                if cell.fract() != 0.0 || !(0.0..=f32::from(u16::MAX)).contains(&cell) {
                    return bad(format!("{cell} is no destination"), place);
                }
                Event::MessageReceived(Message {
                    id,
                    class,
                    destination: cell as u16,
                    deadline: due,
                    ordering_key: key,
                    expected_work: (bits & HINT_VALID != 0).then_some(Micros::from(effort)),
                    tenant,
                    is_resubmitted: bits & HANDED_IN_AGAIN != 0,
                    size: 0,
                })
            }
            3 => {
                let id = r.u64()?;
                r.take(9)?;
                Event::ResponseStarted { id }
            }
            4 => {
                let (id, attempt, host) = (r.u64()?, r.u8()?, r.u32()?);
                let rc = r.outcome()?;
                let elapsed = Micros::from(r.u32()?);
                let over = r.u8()? != 0;
                let outcome = outcome(rc, r.u32()?);
                Event::AttemptEnded(AttemptEnd {
                    id,
                    attempt,
                    host,
                    outcome,
                    elapsed,
                    is_final: over,
                    load_report: r.report()?,
                })
            }
            5 => Event::MessageWithdrawn(r.u64()?),
            6 => Event::TimerFired(r.u64()?),
            7 => {
                let host = r.u32()?;
                let outcome = outcome(r.outcome()?, 0);
                let elapsed = Micros::from(r.u32()?);
                Event::ProbeEnded {
                    host,
                    outcome,
                    elapsed,
                    load_report: r.report()?,
                }
            }
            _ => {
                let from = r.u16()?;
                let n = r.u16()? as usize;
                Event::PeerMessage {
                    from,
                    content: r.take(n)?.to_vec(),
                }
            }
        };
        Ok(Some((relay, Record::Event(event))))
    }
}

fn span(value: Micros) -> [u8; 4] {
    // Spans read as negative count as expired at once.
    (value.min(i32::MAX as Micros) as u32).to_le_bytes()
}

fn counted(content: &[u8], out: &mut Vec<u8>) {
    let n = content.len().min(usize::from(u16::MAX));
    out.extend((n as u16).to_le_bytes());
    out.extend(&content[..n]);
}

/// Writes one action's record.
pub fn encode(relay: u16, action: &Action, out: &mut Vec<u8>) {
    let mut start = |code: u8| {
        out.push(code);
        out.extend(relay.to_le_bytes());
    };
    match action {
        Action::Send { id, host, timeout } => {
            start(3);
            out.extend(id.to_le_bytes());
            out.extend(host.to_le_bytes());
            out.extend(span(*timeout));
        }
        Action::Probe(host) => {
            start(2);
            out.extend(host.to_le_bytes());
        }
        Action::SetTimer { delay, token } => {
            start(0);
            out.extend(span(*delay));
            out.extend(token.to_le_bytes());
        }
        Action::Reject { id, retry_after } => {
            start(5);
            out.extend(id.to_le_bytes());
            out.extend(span(*retry_after));
        }
        Action::Fail(id) => {
            start(10);
            out.extend(id.to_le_bytes());
        }
        Action::Cancel { id, attempt } => {
            start(4);
            out.extend(id.to_le_bytes());
            out.push(*attempt);
        }
        Action::CloseIdleConnections(host) => {
            start(11);
            out.extend(host.to_le_bytes());
        }
        Action::Subscribe(on) => {
            start(8);
            out.push(u8::from(*on));
        }
        Action::PollDiscovery => start(6),
        Action::SendToPeers { to, content } => {
            start(9);
            out.extend(to.unwrap_or(ALL_PEERS).to_le_bytes());
            counted(content, out);
        }
        Action::Log(text) => {
            start(7);
            counted(text.as_bytes(), out);
        }
        Action::Abort(text) => {
            start(1);
            counted(text.as_bytes(), out);
        }
    }
}
