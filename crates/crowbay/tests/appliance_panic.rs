//! What becomes of an appliance when its gateway, or its supervisor, panics. Only builds with debug assertions look for the file that asks for
//! the panic.
#![cfg(debug_assertions)]

mod appliance_site;

use appliance::SiteView;
use judge::{Day, judge};

use appliance_site::{Load, Stage, pid};

/// Guards against a gateway whose engine is gone: it ended with exit code 0, as if it had been told to, or went on
/// and served nobody.
#[test]
fn a_gateway_whose_engine_panics_is_started_anew_counted_and_shown() {
    let stage = Stage::with_panic_at("engine", 2, 1);
    let mut client = stage.client();
    let view = stage.all_up(&mut client);
    let load = Load::start_reads(&stage, &view, 150.0);
    std::fs::write(stage.trigger(), "").unwrap();
    let restarts = |v: &SiteView| v.processes.iter().find(|p| p.name == "gw1").unwrap().restarts;
    stage.until(&mut client, "it is started anew", |v| restarts(v) == 1);
    let view = stage.all_up(&mut client);
    let shown = view.events.iter().any(|e| e.what.contains("gw1 ended (exit status: 101)"));
    assert!(shown, "{:#?}", view.events);
    let served = |v: &SiteView| v.gateways[0].status.as_ref().map_or(0, |s| s.served);
    stage.until(&mut client, "it serves again", |v| served(v) > 0);
    assert_eq!(restarts(&client.view().unwrap()), 1, "of one panic");
    load.end();
    let report = judge(&Day::read(&stage.state()).unwrap());
    assert!(report.kept(), "{:#?}", report.rules);
}

/// Guards against a supervisor that is still there and looks after nobody.
#[test]
fn a_supervisor_that_panics_ends_with_a_non_zero_code_and_the_next_one_adopts_the_site() {
    let mut stage = Stage::with_panic_at("supervisor", 2, 1);
    let mut client = stage.client();
    let before = stage.all_up(&mut client);
    std::fs::write(stage.trigger(), "").unwrap();
    let status = stage.supervisor.take().unwrap().wait().unwrap();
    assert_eq!(status.code(), Some(101), "{status}");
    stage.start();
    let mut client = stage.client();
    let after = stage.all_up(&mut client);
    assert_eq!(pid(&before, "gw1"), pid(&after, "gw1"), "the gateway has served on");
}
