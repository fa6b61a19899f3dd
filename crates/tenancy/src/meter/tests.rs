use super::*;

const NOW: Micros = 5_000_000;

fn taken(meter: &mut Meter, now: Micros, rate: RateLimit) -> Result<(), Micros> {
    meter.room(now, rate).inspect(|()| meter.take(now, rate))
}

#[test]
fn a_burst_goes_and_then_one_at_each_interval() {
    let (mut meter, rate) = (
        Meter::default(),
        RateLimit {
            per_second: 10.0,
            burst: 3.0,
        },
    );
    for _ in 0..3 {
        assert_eq!(taken(&mut meter, NOW, rate), Ok(()));
    }
    assert_eq!(taken(&mut meter, NOW, rate), Err(100_000));
    assert_eq!(taken(&mut meter, NOW + 99_999, rate), Err(1));
    assert_eq!(taken(&mut meter, NOW + 100_000, rate), Ok(()));
    assert_eq!(taken(&mut meter, NOW + 100_000, rate), Err(100_000));
}

#[test]
fn a_rate_that_is_cut_leaves_a_debt_of_one_bucket_at_most() {
    let mut meter = Meter::default();
    for _ in 0..100 {
        assert_eq!(
            taken(
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
    let less = RateLimit {
        per_second: 1.0,
        burst: 2.0,
    };
    meter.change(NOW, less);
    assert_eq!(taken(&mut meter, NOW, less), Err(1_000_000));
    assert_eq!(taken(&mut meter, NOW + 1_000_000, less), Ok(()));
}

#[test]
fn what_passes_in_a_span_is_the_burst_and_the_rate_times_the_span() {
    let (mut meter, rate) = (
        Meter::default(),
        RateLimit {
            per_second: 37.0,
            burst: 5.0,
        },
    );
    let passed = (0..10_000)
        .filter(|ms| taken(&mut meter, NOW + ms * 1000, rate).is_ok())
        .count();
    assert!((374..=375).contains(&passed), "{passed}");
}
