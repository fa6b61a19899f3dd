//! Settings shared by several test files.

/// Settings with every key that the parser treats in an unusual way, and an unknown key.
pub const SETTINGS: &str = r#"{"services":[{"aim":2000000,"giveUp":24000000,"effect":"dedup","keyScope":"zone",
"window":6000000,"worth":1.5,"lateWorth":0.5,"fifoByKey":true},{"aim":1,"giveUp":2,"effect":"fragile"}],
"familyInfo":{"callsOut":8,"kindApart":[false,true],"perCall":[1,4],"late":"halving","toll":[0.5]},
"limits":{"mostHeld":100,"maxAttempts":12,"retryAfter":true,"maxRetryAfter":7,"probes":true},
"rules":{"coldFrom":0.19,"cold":10,"overloadFactor":2.0,"overloadFor":15,"turnGap":9},
"discovery":"ask","siblings":2,"weightSource":"rough","stats":{"fields":["x1","qps","x0"]},
"tenants":[{"quotaPerS":15.0}],"tick":5000,"somethingNew":{"x":[1]}}"#;
