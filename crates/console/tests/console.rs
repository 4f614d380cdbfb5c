//! The console at 80 by 24, without a terminal.

use appliance::wire::Update;
use appliance::{Event, NodeView, SiteView, VolumeView};
use console::{App, Ask, Page, draw};
use crossterm::event::{KeyCode, KeyEvent, KeyModifiers};
use ratatui::Terminal;
use ratatui::backend::TestBackend;
use steering::{Change, Mark, Revision, Source, State, Verdict};

fn node(name: &str) -> NodeView {
    NodeView {
        name: name.into(),
        shard: 3,
        state: State::On,
        source: Source::List,
        drained: None,
        out: 4,
        bound: 6.5,
        l: 0.8,
        waiting: 2,
        sent: 100,
        served: 96,
        unserved: 0,
        links: 2,
        silent: false,
        cold: true,
        latency: 2500,
        follows: 2,
    }
}

fn app() -> App {
    let volume = VolumeView {
        name: "vol7".into(),
        plan: "standard".into(),
        rate: 10.0,
        reserve: 5.0,
        limit: 0.0,
        open: 3,
        taken: 50,
        served: 40,
        refused: 9,
        failed: 1,
        units: 70.0,
        held: None,
    };
    let mut view = SiteView { name: "shop".into(), now: 1_796_000_000_000_000, ..SiteView::default() };
    view.nodes = vec![node("node1"), node("node2"), node("other")];
    view.volumes = vec![volume];
    view.events = vec![Event { t: 1_796_000_000_000_000, what: "gw1 is started".into() }];
    view.versions.insert("node node2".into(), Revision(7));
    let mut app = App::new(false);
    app.update(Update::Snapshot(Box::new(view)));
    app
}

fn screen(app: &App) -> String {
    let mut terminal = Terminal::new(TestBackend::new(80, 24)).unwrap();
    terminal.draw(|frame| draw(frame, app)).unwrap();
    let buffer = terminal.backend().buffer().clone();
    let row = |y| (0..80).map(|x| buffer[(x, y)].symbol()).collect::<String>();
    (0..24).map(row).collect::<Vec<_>>().join("\n")
}

fn press(app: &mut App, keys: &str) -> Option<Ask> {
    let mut asked = None;
    for c in keys.chars() {
        let code = match c {
            '\n' => KeyCode::Enter,
            '\t' => KeyCode::Tab,
            '\u{1b}' => KeyCode::Esc,
            c => KeyCode::Char(c),
        };
        asked = app.key(KeyEvent::new(code, KeyModifiers::NONE)).or(asked);
    }
    asked
}

#[test]
fn each_page_shows_its_rows_at_80_by_24() {
    let mut app = app();
    let cases = [
        ("1", "node1"),
        ("2", "vol7"),
        ("3", "age ms"),
        ("4", "reason"),
        ("5", "gw1 is started"),
        ("6", ":drain"),
    ];
    for (key, word) in cases {
        press(&mut app, key);
        let screen = screen(&app);
        assert!(screen.contains(word), "{word}:\n{screen}");
        assert!(screen.contains("shop"), "{screen}");
    }
    press(&mut app, "1");
    assert!(screen(&app).contains("cold"));
}

#[test]
fn a_command_is_completed_and_asked_with_the_version_that_was_seen() {
    let mut app = app();
    press(&mut app, ":dr\t");
    assert_eq!(app.typed, Some((':', "drain ".into())));
    press(&mut app, "n\t");
    assert_eq!(app.typed, Some((':', "drain node".into())), "as far as both go");
    assert!(app.message.contains("node1") && app.message.contains("node2"));
    let asked = press(&mut app, "2\n");
    assert_eq!(asked, Some(Ask::Intent(Change::Drain("node2".into()), Revision(7), false)));
}

#[test]
fn a_change_that_asks_for_a_confirmation_is_carried_out_by_y_and_by_nothing_else() {
    let change = Change::Drain("node1".into());
    for (key, asked) in [("y", true), ("n", false), ("\n", false)] {
        let mut app = app();
        app.verdict(change.clone(), &Verdict::Confirm { refused: "all of vol7 will be refused".into() });
        assert!(screen(&app).contains("will be refused"));
        let got = press(&mut app, key);
        assert_eq!(got.is_some(), asked, "{key:?}");
        assert!(!asked || got == Some(Ask::Intent(change.clone(), Revision(0), true)));
    }
}

#[test]
fn a_wrong_command_is_told_and_asks_nothing() {
    let mut app = app();
    for (line, word) in [(":dance\n", "is no command"), (":drain\n", "needs"), (":hold a b\n", "too much")] {
        assert_eq!(press(&mut app, line), None);
        assert!(app.message.contains(word), "{}", app.message);
    }
}

#[test]
fn it_says_so_when_the_appliance_is_lost_asks_nothing_then_and_comes_back() {
    let mut app = app();
    app.lost("the connection broke");
    assert!(screen(&app).contains("LOST the appliance"));
    assert_eq!(press(&mut app, ":drain node1\n"), None);
    assert!(app.message.contains("NOT asked"), "{}", app.message);
    let view = app.view.clone();
    app.update(Update::Snapshot(Box::new(view)));
    assert!(!screen(&app).contains("LOST"));
}

#[test]
fn a_filter_leaves_the_lines_that_fit_and_esc_shows_all() {
    let mut app = app();
    press(&mut app, "/other\n");
    let filtered = screen(&app);
    assert!(filtered.contains("other") && !filtered.contains("node1"), "{filtered}");
    press(&mut app, "\u{1b}");
    assert!(screen(&app).contains("node1"));
}

#[test]
fn a_drain_shows_who_drained_it() {
    let mut app = app();
    let mut view = app.view.clone();
    view.nodes[0].state = State::Draining;
    view.nodes[0].source = Source::Operator;
    view.nodes[0].drained = Some(Mark { t: 1, by: "anna".into(), from: "console 1".into() });
    app.update(Update::Snapshot(Box::new(view)));
    assert!(screen(&app).contains("draining by anna"));
    assert_eq!(app.page, Page::Nodes);
}
