//! How much a tenant has handed in against its rate.

use policy::types::{Micros, RateLimit};

const SECOND: f64 = 1_000_000.0;

/// A meter by the generic cell rate algorithm (ITU-T I.371, virtual scheduling): one moment is all its state.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Meter {
    /// When the bucket will be full again, in microseconds; fractions matter at high rates.
    full_at: f64,
}

impl Meter {
    /// Whether the rate has room for one message; if not, how long until it has.
    pub fn room(&self, now: Micros, rate: RateLimit) -> Result<(), Micros> {
        let early =
            self.full_at.max(now as f64) + SECOND / rate.per_second - now as f64 - depth(rate);
        // Half a microsecond for rounding.
        if early > 0.5 {
            Err(early.ceil() as Micros)
        } else {
            Ok(())
        }
    }

    /// Counts one message.
    pub fn take(&mut self, now: Micros, rate: RateLimit) {
        self.full_at = self.full_at.max(now as f64) + SECOND / rate.per_second;
    }

    /// When all that was taken is made good, in microseconds.
    pub fn full_at(&self) -> Micros {
        self.full_at.ceil() as Micros
    }

    /// Goes on from what another process knew.
    pub fn resume(&mut self, full_at: Micros) {
        self.full_at = full_at as f64;
    }

    /// The rate is another from now on: what was taken by the old one leaves a debt of one bucket at most.
    pub fn change(&mut self, now: Micros, rate: RateLimit) {
        self.full_at = self.full_at.min(now as f64 + depth(rate));
    }
}

/// How long an empty bucket takes to fill, in microseconds.
fn depth(rate: RateLimit) -> f64 {
    SECOND / rate.per_second * rate.burst.max(1.0)
}

#[cfg(test)]
mod tests {
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
}
