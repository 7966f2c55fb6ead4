//! Prints tables that compare the daemon's choice of an upstream with baselines.
//!
//! With `--variants`, they include the daemon's policy with other parameters.

use mustardtiller::core::Policy;
use mustardtiller::core::Preference;
use mustardtiller_standin::LabPolicy;
use mustardtiller_standin::Scenario;
use mustardtiller_standin::results_table;
use mustardtiller_standin::run_scenario;

fn main() {
    let forge = Scenario::forge();
    let doormats = Scenario::doormats();
    let failing = Scenario {
        name: "forge katalog, one fails fast, 60%",
        failing: true,
        load_percent: 60,
        ..forge
    };
    let steady = Scenario {
        name: "forge katalog, steady, 85%",
        varying_speed: false,
        ..forge
    };
    for (scenario, weigh) in [
        (forge, Preference::Latency),
        (steady, Preference::Latency),
        (doormats, Preference::Cost),
        (failing, Preference::Latency),
    ] {
        let mut results: Vec<_> = LabPolicy::all(weigh)
            .into_iter()
            .map(|policy| run_scenario(&scenario, policy))
            .collect();
        if std::env::args().any(|argument| argument == "--variants") {
            for draws in [1, 2, 3, 5] {
                let policy = Policy {
                    draws,
                    weigh,
                    ..Policy::default()
                };
                results.push(run_scenario(&scenario, LabPolicy::Daemon(policy)));
            }
            for half_life_micros in [5_000, 20_000, 200_000] {
                let policy = Policy {
                    half_life_micros,
                    weigh,
                    ..Policy::default()
                };
                let mut result = run_scenario(&scenario, LabPolicy::Daemon(policy));
                result.policy = format!("{}, half-life {half_life_micros} us", result.policy);
                results.push(result);
            }
        }
        println!("{}", results_table(scenario.name, &results));
    }
}
