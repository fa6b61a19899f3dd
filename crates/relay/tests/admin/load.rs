//! Hostile administrators and flooding tenants do not delay messages of others.

use super::*;

/// Neither valid nor malformed requests of an administrator delay messages.
#[test]
fn hostile_administrator_does_not_delay_messages() {
    let host = Host::new(|_, _| ok());
    let (mut test_bed, address) = new_with_tenants(vec![up("a", &host, 1)], "", "connections = 8");
    test_bed.operator = test_bed
        .operator
        .take()
        .map(|text| text.replace("= 10000\n", "= 50\n"));
    test_bed.start();
    let api = Api::new(&address, Some(&token("root")));
    let delays = |test_bed: &mut TestBed, many: usize| -> Vec<Duration> {
        let mut all = Vec::new();
        let mut client = test_bed.client();
        for _ in 0..many {
            let id = test_bed.id();
            let start = Instant::now();
            client.send(&request(&id, "update", 1, 9000, b"x"));
            assert_eq!(client.line(), "+OK");
            all.push(start.elapsed());
            thread::sleep(Duration::from_millis(2));
        }
        all.sort();
        all
    };
    let calm = delays(&mut test_bed, 200);
    let stop = Arc::new(AtomicBool::new(false));
    let refused = Arc::new(Mutex::new(BTreeMap::<u16, u64>::new()));
    let mut threads = Vec::new();
    for kind in 0..6 {
        let (address, stop, refused, api) =
            (address.clone(), stop.clone(), refused.clone(), api.clone());
        threads.push(thread::spawn(move || {
            while !stop.load(Ordering::SeqCst) {
                if kind < 3 {
                    // Requests at full speed.
                    if let Some(answer) = api.try_send("GET", "/v1/tenants", &[], "") {
                        *refused.lock().unwrap().entry(answer.status).or_default() += 1;
                    }
                    continue;
                }
                let Ok(mut stream) = TcpStream::connect(&address) else {
                    continue;
                };
                drop(stream.set_read_timeout(Some(Duration::from_millis(300))));
                let head = "POST /v1/tenants HTTP/1.1\r\nHost: x\r\nContent-Length: 4000000000\r\n";
                let sent = match kind {
                    // An endless body, an endless head, and a head sent one byte at a time.
                    3 => stream.write_all(format!("{head}\r\n{}", "x".repeat(1 << 20)).as_bytes()),
                    4 => stream.write_all(format!("{head}X: {}", "y".repeat(1 << 20)).as_bytes()),
                    _ => head.bytes().take(20).try_for_each(|byte| {
                        thread::sleep(Duration::from_millis(5));
                        stream.write_all(&[byte])
                    }),
                };
                drop(sent);
                drop(stream.read(&mut [0; 100]));
            }
        }));
    }
    let busy = delays(&mut test_bed, 600);
    stop.store(true, Ordering::SeqCst);
    threads
        .into_iter()
        .for_each(|thread| thread.join().expect("done"));
    let refused = refused.lock().unwrap();
    let at = |all: &[Duration], share: f64| all[(all.len() as f64 * share) as usize];
    println!(
        "p50 {:?} and {:?}, p99 {:?} and {:?}; {refused:?}",
        at(&calm, 0.5),
        at(&busy, 0.5),
        at(&calm, 0.99),
        at(&busy, 0.99)
    );
    assert!(
        refused.get(&429).is_some_and(|count| *count > 100),
        "{refused:?}"
    );
    // A round takes 5 ms. The relay's own delay is measured, on a machine that other processes share.
    assert!(
        at(&busy, 0.5) < at(&calm, 0.5) + Duration::from_millis(10),
        "{busy:?}"
    );
    // The API serves well-behaved clients after the hostile ones have disconnected.
    wait_until("a successful response", || {
        (api.get("/v1/tenants").status == 200).then_some(())
    });
}

#[test]
fn flood_over_1000_connections_does_not_starve_another_tenant() {
    let host = Host::new(|_, _| HostResponse::Delayed(20, ok_text()));
    let (mut test_bed, api) = started(vec![up("a", &host, 1)], "");
    test_bed.kill();
    test_bed.config["limits"]["sockets"] = 2300.into();
    test_bed.start();
    assert_eq!(api.create("flood", json!({})).status, 201);
    let stop = Arc::new(AtomicBool::new(false));
    let asked = Arc::new(Mutex::new(0u64));
    let listen = test_bed.listen;
    let threads: Vec<_> = (0..10)
        .map(|thread| {
            let (stop, asked) = (stop.clone(), asked.clone());
            thread::spawn(move || {
                let open = || TcpStream::connect(listen).expect("connects");
                let mut streams: Vec<TcpStream> = (0..100).map(|_| open()).collect();
                let mut number = 0;
                while !stop.load(Ordering::SeqCst) {
                    for stream in &mut streams {
                        number += 1;
                        let id = format!("f{thread}-{number}");
                        drop(stream.write_all(&request_for("flood", &id, "update", 1, 2000, b"x")));
                    }
                    for stream in &mut streams {
                        let mut answer = [0; 64];
                        if !matches!(stream.read(&mut answer), Ok(1..)) {
                            *stream = open();
                        }
                    }
                    *asked.lock().unwrap() += 100;
                }
            })
        })
        .collect();
    wait_until("3000 requests of the flood", || {
        (*asked.lock().unwrap() > 3000).then_some(())
    });
    let mut ids = BTreeSet::new();
    for _ in 0..100 {
        let (id, answer) = test_bed.enqueue_for("acme", "update", 1, 9000);
        assert_eq!(answer, "+OK");
        ids.insert(id);
        thread::sleep(Duration::from_millis(10));
    }
    wait_until("all to be delivered", || {
        ids.retain(|id| host.calls_of(id).is_empty());
        ids.is_empty().then_some(())
    });
    stop.store(true, Ordering::SeqCst);
    threads
        .into_iter()
        .for_each(|thread| thread.join().expect("done"));
    let (acme, flood) = (api.usage("acme"), api.usage("flood"));
    println!("flood: {} asked, {flood}", asked.lock().unwrap());
    assert_eq!(
        (acme["refused"].as_u64(), acme["failed"].as_u64()),
        (Some(0), Some(0))
    );
    assert!(flood["refused"].as_u64() > Some(1000), "{flood}");
}
