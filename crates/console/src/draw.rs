//! The screen.

use appliance::SiteView;
use ratatui::Frame;
use ratatui::layout::{Constraint, Layout, Rect};
use ratatui::style::{Color, Modifier, Style};
use ratatui::text::{Line, Span};
use ratatui::widgets::{Paragraph, Sparkline, Wrap};
use steering::{Phase, State};

use crate::app::{App, Page};
use crate::fleet::fleet_lines;
use crate::text::{head, marks, state, when};

const HELP: &str = "\
1 to 6, Tab, arrows   pages: nodes, volumes, requests, refusals, events, help
Up, Down, PgUp, PgDn  scroll          Home  to the top
/text Enter           only lines with the text; Esc shows all again
s                     sort the requests: age, volume, class, attempts
:                     a command; Tab completes it
q, Ctrl-C             leave the console; the site goes on

:drain NODE           send nothing new to a node      :undrain NODE
:hold VOLUME          take nothing new of a volume    :release VOLUME
:pause  :resume       take nothing new at all, take it again
:why GATEWAY/NUMBER   why a request waits, or how it ended
:note TEXT            leave a note for whoever looks next
:revive               start again what ended too often
:stop                 stop the site in order
A change that will have requests refused asks first; '!' after it confirms it at once.

out: attempts out   bound: the law's bound on them   L: latency over aim, 1 is wanted
cold: it warms up after a start   silent: no word from it for too long";

/// Draws the console.
pub fn draw(frame: &mut Frame<'_>, app: &App) {
    let area = frame.area();
    let rows = Layout::vertical([
        Constraint::Length(1),
        Constraint::Length(1),
        Constraint::Length(3),
        Constraint::Min(3),
        Constraint::Length(2),
        Constraint::Length(1),
    ])
    .split(area);
    top(frame, app, rows[0], rows[1]);
    sparks(frame, app, rows[2]);
    page(frame, app, rows[3]);
    let alarm = !app.connected || app.confirm.is_some();
    let said = Paragraph::new(app.message.as_str()).wrap(Wrap { trim: true });
    frame.render_widget(said.style(style(app, alarm.then_some(Color::Yellow), alarm)), rows[4]);
    let typed = match &app.typed {
        Some((kind, text)) => format!("{kind}{text}_"),
        None if !app.filter.is_empty() => format!("only lines with '{}' (Esc: all)", app.filter),
        None => "1-6 pages  : command  / filter  ? help  q leave".into(),
    };
    frame.render_widget(Paragraph::new(typed), rows[5]);
}

fn style(app: &App, colour: Option<Color>, strong: bool) -> Style {
    let style = if strong { Style::new().add_modifier(Modifier::BOLD) } else { Style::new() };
    match colour.filter(|_| app.colours) {
        Some(colour) => style.fg(colour),
        None => style,
    }
}

fn top(frame: &mut Frame<'_>, app: &App, first: Rect, second: Rect) {
    let (text, colour) = if app.connected {
        (head(&app.view), Color::Green)
    } else {
        (
            format!("LOST the appliance; what is shown is of {}. Trying again ...", when(app.view.now)),
            Color::Red,
        )
    };
    frame.render_widget(Paragraph::new(text).style(style(app, Some(colour), true)), first);
    let mut tabs = Vec::new();
    for (n, page) in Page::ALL.iter().enumerate() {
        let here = *page == app.page;
        let word = if here {
            format!("[{} {}]", n + 1, page.title())
        } else {
            format!(" {} {} ", n + 1, page.title())
        };
        tabs.push(Span::styled(word, style(app, here.then_some(Color::Cyan), here)));
        tabs.push(Span::raw(" "));
    }
    frame.render_widget(Paragraph::new(Line::from(tabs)), second);
}

fn sparks(frame: &mut Frame<'_>, app: &App, area: Rect) {
    let halves = Layout::horizontal([Constraint::Percentage(50), Constraint::Percentage(50)]).split(area);
    for (points, word, colour, area) in [
        (&app.served, "served", Color::Green, halves[0]),
        (&app.unserved, "refused, failed", Color::Yellow, halves[1]),
    ] {
        let rows = Layout::vertical([Constraint::Length(1), Constraint::Min(1)]).split(area);
        // Four intervals make a second.
        let rate: u64 = points.iter().rev().take(4).sum();
        frame.render_widget(Paragraph::new(format!("{word} {rate}/s")), rows[0]);
        let width = usize::from(rows[1].width);
        let data: Vec<u64> = points.iter().skip(points.len().saturating_sub(width)).copied().collect();
        frame.render_widget(Sparkline::default().data(&data).style(style(app, Some(colour), false)), rows[1]);
    }
}

fn page(frame: &mut Frame<'_>, app: &App, area: Rect) {
    let (title, rows) = match app.page {
        Page::Nodes => nodes(app),
        Page::Volumes => volumes(&app.view),
        Page::Requests => requests(app),
        Page::Refusals => refusals(&app.view),
        Page::Events => events(&app.view),
        Page::Help => (String::new(), HELP.lines().map(|l| (l.to_owned(), None)).collect()),
    };
    let fits = |text: &str| app.filter.is_empty() || text.contains(&app.filter);
    let rows: Vec<(String, Option<Color>)> = rows.into_iter().filter(|r| fits(&r.0)).collect();
    let height = usize::from(area.height).saturating_sub(1);
    let from = app.scroll.min(rows.len().saturating_sub(height));
    let mut lines = vec![Line::from(Span::styled(title, style(app, None, true)))];
    for (text, colour) in rows.iter().skip(from).take(height) {
        lines.push(Line::from(Span::styled(text.clone(), style(app, *colour, false))));
    }
    frame.render_widget(Paragraph::new(lines), area);
}

type Rows = (String, Vec<(String, Option<Color>)>);

fn nodes(app: &App) -> Rows {
    let head = format!(
        "{:10} {:>2} {:17} {:>4} {:>5} {:>5} {:>4} {:>7} {:>7}  marks",
        "node", "sh", "state", "out", "bound", "L", "wait", "served", "last ms"
    );
    let row = |n: &appliance::NodeView| {
        let text = format!(
            "{:10} {:>2} {:17} {:>4} {:>5.1} {:>5.2} {:>4} {:>7} {:>7.1}  {}",
            n.name,
            n.shard,
            state(n),
            n.out,
            n.bound,
            n.l,
            n.waiting,
            n.served,
            n.latency as f64 / 1000.0,
            marks(n)
        );
        let colour = match (n.state, n.silent) {
            (State::Gone, _) | (_, true) => Some(Color::Red),
            (State::Draining, _) => Some(Color::Yellow),
            _ => None,
        };
        (text, colour)
    };
    let mut rows: Vec<_> = app.view.nodes.iter().map(row).collect();
    rows.push((String::new(), None));
    for p in &app.view.processes {
        let phase = format!("{:?}", p.phase).to_lowercase();
        let text = format!(
            "{:10} {:7} {phase:9} restarts {}",
            p.name,
            format!("{:?}", p.kind).to_lowercase(),
            p.restarts
        );
        let colour = match p.phase {
            Phase::Up => None,
            Phase::GivenUp => Some(Color::Red),
            _ => Some(Color::Yellow),
        };
        rows.push((text, colour));
        let status = app.view.gateways.iter().find(|g| g.name == p.name).and_then(|g| g.status.as_ref());
        rows.extend(status.iter().flat_map(|s| fleet_lines(s)).map(|line| (format!("  {line}"), None)));
    }
    (head, rows)
}

fn volumes(view: &SiteView) -> Rows {
    let head = format!(
        "{:10} {:9} {:>7} {:>7} {:>5} {:>8} {:>8} {:>7} {:>6}  held",
        "volume", "plan", "reserve", "limit", "open", "taken", "served", "refused", "failed"
    );
    let row = |v: &appliance::VolumeView| {
        let held = v.held.as_ref().map_or(String::new(), |m| format!("by {}", m.by));
        let text = format!(
            "{:10} {:9} {:>7} {:>7} {:>5} {:>8} {:>8} {:>7} {:>6}  {held}",
            v.name, v.plan, v.reserve, v.limit, v.open, v.taken, v.served, v.refused, v.failed
        );
        (text, v.held.as_ref().map(|_| Color::Yellow))
    };
    (head, view.volumes.iter().map(row).collect())
}

fn requests(app: &App) -> Rows {
    let head = format!(
        "{:14} {:>8} {:10} {:5} {:15} {:>3}  at   (s sorts)",
        "request", "age ms", "volume", "op", "class", "try"
    );
    let mut all: Vec<_> =
        app.view.gateways.iter().flat_map(|g| g.requests.iter().map(move |r| (g, r))).collect();
    match app.sort {
        0 => all.sort_by_key(|(_, r)| -r.age),
        1 => all.sort_by(|a, b| (&a.1.volume, -a.1.age).cmp(&(&b.1.volume, -b.1.age))),
        2 => all.sort_by(|a, b| (&a.1.class, -a.1.age).cmp(&(&b.1.class, -b.1.age))),
        _ => all.sort_by_key(|(_, r)| (std::cmp::Reverse(r.attempts), -r.age)),
    }
    let row = |(g, r): (&appliance::GatewayView, &gateway::RequestStatus)| {
        let at = if r.nodes.is_empty() { "held".to_owned() } else { r.nodes.join(" ") };
        let id = format!("{}/{}", g.name, r.id);
        let ms = r.age as f64 / 1000.0;
        (format!("{id:14} {ms:>8.1} {:10} {:5} {:15} {:>3}  {at}", r.volume, r.op, r.class, r.attempts), None)
    };
    (head, all.into_iter().map(row).collect())
}

fn refusals(view: &SiteView) -> Rows {
    let mut rows = Vec::new();
    let mut reasons = std::collections::BTreeMap::new();
    for (reason, count) in view.gateways.iter().filter_map(|g| g.status.as_ref()).flat_map(|s| &s.reasons) {
        *reasons.entry(reason.as_str()).or_insert(0) += count;
    }
    for (reason, count) in reasons {
        rows.push((format!("{count:>9}  {reason}"), Some(Color::Yellow)));
    }
    rows.push((String::new(), None));
    let mut ended: Vec<_> = view.gateways.iter().flat_map(|g| g.ended.iter().map(move |e| (g, e))).collect();
    ended.sort_by_key(|(_, e)| -e.at);
    for (g, e) in ended {
        let how = match e.refused {
            Some(advice) => format!("refused, back in {} ms", advice / 1000),
            None => "FAILED".into(),
        };
        let (id, time) = (format!("{}/{}", g.name, e.id), when(e.at));
        rows.push((format!("{} {id:12} {:9} {:5} {how:24} {}", &time[11..], e.volume, e.op, e.reason), None));
    }
    ("    count  reason; then the last, newest first".into(), rows)
}

fn events(view: &SiteView) -> Rows {
    let mut rows: Vec<(String, Option<Color>)> =
        view.events.iter().rev().map(|e| (format!("{} {}", &when(e.t)[11..], e.what), None)).collect();
    for note in view.notes.iter().rev() {
        rows.insert(
            0,
            (format!("{} note of {}: {}", when(note.mark.t), note.mark.by, note.text), Some(Color::Cyan)),
        );
    }
    ("notes and events, newest first".into(), rows)
}
