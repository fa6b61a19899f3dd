use super::*;

const NOW: Micros = 5_000_000;

fn admit(meter: &mut Meter, now: Micros, rate: RateLimit) -> Result<(), Micros> {
    meter
        .check(now, rate)
        .inspect(|()| meter.consume(now, rate))
}

#[test]
fn burst_is_admitted_then_one_message_per_interval() {
    let (mut meter, rate) = (
        Meter::default(),
        RateLimit {
            per_second: 10.0,
            burst: 3.0,
        },
    );
    for _ in 0..3 {
        assert_eq!(admit(&mut meter, NOW, rate), Ok(()));
    }
    assert_eq!(admit(&mut meter, NOW, rate), Err(100_000));
    assert_eq!(admit(&mut meter, NOW + 99_999, rate), Err(1));
    assert_eq!(admit(&mut meter, NOW + 100_000, rate), Ok(()));
    assert_eq!(admit(&mut meter, NOW + 100_000, rate), Err(100_000));
}

#[test]
fn lowered_rate_delays_by_one_bucket_at_most() {
    let mut meter = Meter::default();
    for _ in 0..100 {
        assert_eq!(
            admit(
                &mut meter,
                NOW,
                RateLimit {
                    per_second: 1.0,
                    burst: 100.0
                }
            ),
            Ok(())
        );
    }
    let lower_rate = RateLimit {
        per_second: 1.0,
        burst: 2.0,
    };
    meter.change_rate(NOW, lower_rate);
    assert_eq!(admit(&mut meter, NOW, lower_rate), Err(1_000_000));
    assert_eq!(admit(&mut meter, NOW + 1_000_000, lower_rate), Ok(()));
}

#[test]
fn admitted_messages_are_burst_plus_rate_times_duration() {
    let (mut meter, rate) = (
        Meter::default(),
        RateLimit {
            per_second: 37.0,
            burst: 5.0,
        },
    );
    let admitted = (0..10_000)
        .filter(|ms| admit(&mut meter, NOW + ms * 1000, rate).is_ok())
        .count();
    assert!((374..=375).contains(&admitted), "{admitted}");
}
