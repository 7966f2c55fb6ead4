//! All faults of a set are reported at once, and damaged artefacts are refused.

use proptest::collection::vec;
use proptest::prelude::any;
use proptest::prelude::prop;
use proptest::prop_assert;
use proptest::proptest;

use mustardtiller_config::Artefact;
use mustardtiller_config::ArtefactErrorKind;
use mustardtiller_config::Configuration;
use mustardtiller_config::Source;
use mustardtiller_config::build;
use mustardtiller_config::check;
use mustardtiller_config::diff;

const GOOD: &str = "
[fleet f]
revision = 3
[place a]
[place b]
[path a.b]
from = a
to = b
delay_us = 3000
[caller c]
share = 2
[service s]
hosts = s s.example
weigh = cost
[kind s.browse]
service = s
idempotent = yes
deadline_ms = 100
[kind s.order]
service = s
methods = POST
path = /order
deadline_ms = 100
token = needed
weigh = latency
[upstream s-1]
service = s
place = a
address = 127.0.0.1:1
link = 127.0.0.1:2
slots = 4
";

fn good() -> mustardtiller_config::ObjectSet {
    check(&[Source::new("good.ini", GOOD)]).expect("the set has no faults")
}

#[test]
fn every_fault_is_reported_at_once() {
    let text = "
stray = 1
[fleet f]
revision = none
[fleet g]
revision = 1
[place a]
regoin = x
[place a]
[path p]
from = a
to = c
delay_us = -4
[servce s]
[service s]
hosts = one
weigh = speed
[service t]
hosts = one
[kind s.x]
service = s
methods = GET FETCH
path = order
hedge_percent = 5
deadline_ms = 0
[kind s.y]
service = u
deadline_ms = 5
deadline_ms = 6
[upstream s-1]
service = s
place = d
address = localhost:80
link = 127.0.0.1:2
slots = 0
[upstream s-2]
service = s
place = a
address = 127.0.0.1:1
link = 127.0.0.1:2
slots = 4
[kind a b c]
no value
";
    let faults = check(&[Source::new("set.ini", text)]).expect_err("the set has faults");
    let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
    insta::assert_snapshot!(lines.join("\n"));
}

#[test]
fn a_cold_start_is_stated_whole_and_survives_encoding() {
    let service = |keys: &str| {
        let text = format!("{GOOD}[service d]\n{keys}");
        check(&[Source::new("cold.ini", text)])
    };
    let cold = "discovered = yes\ncold_start_ms = 3000\ncold_per_s = 13\n";
    let set = service(cold).expect("the set has no faults");
    let stated = set.services.iter().find_map(|service| service.cold);
    let stated = stated.expect("the cold start is stated");
    assert_eq!((stated.length_ms, stated.rate.as_milli()), (3_000, 13_000));
    let artefact = build(&set).expect("the set fits the size limit");
    let configuration = Configuration::assemble(&artefact).expect("all parts are present");
    let read = configuration.service(&"d".into()).expect("the service");
    assert_eq!(read.cold, Some(stated));
    for keys in [
        "discovered = yes\ncold_start_ms = 3000\n",
        "discovered = yes\ncold_per_s = 13\n",
        "discovered = yes\ncold_start_ms = 0\ncold_per_s = 13\n",
        "discovered = yes\ncold_start_ms = 3000\ncold_per_s = 0\n",
    ] {
        let faults = service(keys).expect_err("the set has faults");
        assert_eq!(faults.len(), 1, "{keys}: {faults:?}");
    }
    let alone = cold.replace("discovered = yes\n", "");
    let faults = service(&alone).expect_err("the set has faults");
    assert!(
        faults
            .iter()
            .any(|fault| fault.problem.contains("register"))
    );
}

#[test]
fn an_empty_set_has_no_fleet() {
    let faults = check(&[Source::new("empty.ini", "")]).expect_err("the set has faults");
    assert!(faults[0].problem.contains("no fleet"));
}

#[test]
fn a_built_artefact_decodes_to_the_same_set() {
    let set = good();
    let artefact = build(&set).expect("the set fits the size limit");
    let configuration = Configuration::assemble(&artefact).expect("all parts are present");
    assert_eq!(configuration.fleet, set.fleet);
    let service = configuration
        .service(&set.services[0].name)
        .expect("the service is configured");
    assert_eq!(**service, set.services[0]);
    assert_eq!(
        build(&set).expect("the set fits the size limit").version(),
        artefact.version()
    );
}

#[test]
fn kinds_match_the_longest_path() {
    let set = good();
    let name = |method, path| {
        set.services[0]
            .kind_of(method, path)
            .map(|k| k.name.to_string())
    };
    assert_eq!(name("GET", "/x").as_deref(), Some("s.browse"));
    assert_eq!(name("POST", "/order").as_deref(), Some("s.order"));
    assert_eq!(name("POST", "/order/7").as_deref(), Some("s.order"));
    assert_eq!(name("POST", "/orders"), None);
}

#[test]
fn a_diff_lists_changes_and_consequences() {
    let text = GOOD
        .replace("slots = 4", "slots = 6")
        .replace("[caller c]\nshare = 2\n", "")
        .replace("[upstream s-1]", "[upstream s-9]")
        .replace("weigh = cost\n", "");
    let new = check(&[Source::new("new.ini", text)]).expect("the set has no faults");
    insta::assert_snapshot!(diff(&good(), &new).join("\n"));
    assert!(diff(&good(), &good()).is_empty());
}

#[test]
fn a_part_that_does_not_match_its_digest_is_refused() {
    let built = build(&good()).expect("the set fits the size limit");
    let mut artefact =
        Artefact::from_manifest(built.manifest_bytes.clone()).expect("the manifest is valid");
    let digest = artefact.missing()[0];
    let error = artefact
        .add_part(digest, b"else".to_vec())
        .expect_err("the content does not match the digest");
    assert_eq!(error.kind(), ArtefactErrorKind::Mismatch);
    let error = Configuration::assemble(&artefact).expect_err("parts are missing");
    assert_eq!(error.kind(), ArtefactErrorKind::Missing);
}

proptest! {
    #[test]
    fn arbitrary_text_does_not_panic(text in "[a-z\\[\\] =\\n\\r;#0-9.:-]{0,300}") {
        let _ = check(&[Source::new("any.ini", text)]);
    }

    #[test]
    fn arbitrary_manifest_does_not_panic(bytes in vec(any::<u8>(), 0..400)) {
        if let Ok(artefact) = Artefact::from_manifest(bytes) {
            let _ = Configuration::assemble(&artefact);
        }
    }

    #[test]
    fn a_changed_manifest_has_another_version(
        index in any::<prop::sample::Index>(),
        flip in 1_u8..=255,
    ) {
        let built = build(&good()).expect("the set fits the size limit");
        let mut bytes = built.manifest_bytes.clone();
        let at = index.index(bytes.len());
        bytes[at] ^= flip;
        if let Ok(changed) = Artefact::from_manifest(bytes) {
            prop_assert!(changed.version() != built.version());
        }
    }
}
