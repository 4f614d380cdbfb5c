//! The console's state: keys and updates in, requests out.

use std::collections::VecDeque;

use appliance::SiteView;
use appliance::wire::Update;
use crossterm::event::{KeyCode, KeyEvent, KeyModifiers};
use steering::{Change, Revision, Verdict};

use crate::line::{Line, complete, parse};
use crate::text::{verdict_text, why};

/// Points of a sparkline kept.
const POINTS: usize = 60;

/// A page.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[allow(missing_docs)]
pub enum Page {
    Nodes,
    Volumes,
    Requests,
    Refusals,
    Events,
    Help,
}

impl Page {
    /// All of them, in the order of their keys.
    pub const ALL: [Page; 6] =
        [Page::Nodes, Page::Volumes, Page::Requests, Page::Refusals, Page::Events, Page::Help];

    /// Its title.
    pub fn title(self) -> &'static str {
        match self {
            Page::Nodes => "nodes",
            Page::Volumes => "volumes",
            Page::Requests => "requests",
            Page::Refusals => "refusals",
            Page::Events => "events",
            Page::Help => "help",
        }
    }
}

/// What the console asks of the appliance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ask {
    /// A change, with its subject's version as it was seen.
    Intent(Change, Revision, bool),
    /// Start again what was given up.
    Revive,
    /// Stop the site.
    Stop,
}

/// The console.
#[derive(Debug)]
pub struct App {
    /// What is seen.
    pub view: SiteView,
    /// Whether the appliance is there.
    pub connected: bool,
    /// The page.
    pub page: Page,
    /// Lines with this only.
    pub filter: String,
    /// A line that is being typed: after ':' a command, after '/' a filter.
    pub typed: Option<(char, String)>,
    /// What there is to say.
    pub message: String,
    /// First line shown.
    pub scroll: usize,
    /// How the requests are sorted: 0 age, 1 volume, 2 class, 3 attempts.
    pub sort: usize,
    /// A change that waits for a confirmation.
    pub confirm: Option<Change>,
    /// It is over.
    pub over: bool,
    /// Colours are used.
    pub colours: bool,
    /// Served and unserved in each interval, oldest first.
    pub served: VecDeque<u64>,
    /// Refused or failed in each interval.
    pub unserved: VecDeque<u64>,
    last: Option<(u64, u64)>,
}

impl App {
    /// A console that has seen nothing yet.
    pub fn new(colours: bool) -> Self {
        App {
            view: SiteView::default(),
            connected: false,
            page: Page::Nodes,
            filter: String::new(),
            typed: None,
            message: "? shows the keys".into(),
            scroll: 0,
            sort: 0,
            confirm: None,
            over: false,
            colours,
            served: VecDeque::new(),
            unserved: VecDeque::new(),
            last: None,
        }
    }

    /// The appliance told something.
    pub fn update(&mut self, update: Update) {
        self.connected = true;
        match update {
            Update::Snapshot(view) => {
                self.view = *view;
                self.count();
            }
            Update::Site(site) => {
                let (gateways, events) =
                    (std::mem::take(&mut self.view.gateways), std::mem::take(&mut self.view.events));
                self.view = SiteView { gateways, events, ..*site };
                self.count();
            }
            Update::Gateway(gateway) => {
                match self.view.gateways.iter_mut().find(|g| g.name == gateway.name) {
                    Some(known) => *known = *gateway,
                    None => self.view.gateways.push(*gateway),
                }
            }
            Update::Event(event) => {
                self.view.events.push(event);
                let more = self.view.events.len().saturating_sub(200);
                self.view.events.drain(..more);
            }
        }
    }

    fn count(&mut self) {
        let served: u64 = self.view.volumes.iter().map(|v| v.served).sum();
        let unserved: u64 = self.view.volumes.iter().map(|v| v.refused + v.failed).sum();
        if let Some((s, u)) = self.last {
            // A gateway that was started again counts from 0.
            self.served.push_back(served.saturating_sub(s));
            self.unserved.push_back(unserved.saturating_sub(u));
            for points in [&mut self.served, &mut self.unserved] {
                while points.len() > POINTS {
                    points.pop_front();
                }
            }
        }
        self.last = Some((served, unserved));
    }

    /// The appliance is gone; what is seen is old.
    pub fn lost(&mut self, why: &str) {
        self.connected = false;
        self.message = why.to_owned();
    }

    /// What became of a change.
    pub fn verdict(&mut self, change: Change, verdict: &Verdict) {
        self.message = verdict_text(&change, verdict);
        if matches!(verdict, Verdict::Confirm { .. }) {
            self.message.push_str(" with y");
            self.confirm = Some(change);
        }
    }

    fn ask(&mut self, change: Change, confirmed: bool) -> Option<Ask> {
        if !self.connected {
            self.message = format!("{change}: NOT asked, the appliance is not there");
            return None;
        }
        let seen = self.view.versions.get(&change.subject()).copied().unwrap_or_default();
        self.message = format!("{change}: asked");
        Some(Ask::Intent(change, seen, confirmed))
    }

    /// A key was pressed.
    pub fn key(&mut self, key: KeyEvent) -> Option<Ask> {
        if key.code == KeyCode::Char('c') && key.modifiers.contains(KeyModifiers::CONTROL) {
            self.over = true;
            return None;
        }
        if let Some(change) = self.confirm.take() {
            if key.code == KeyCode::Char('y') {
                return self.ask(change, true);
            }
            self.message = format!("{change}: left as it was");
            return None;
        }
        match self.typed.take() {
            Some((kind, text)) => self.typing(kind, text, key.code),
            None => {
                self.plain(key.code);
                None
            }
        }
    }

    fn plain(&mut self, key: KeyCode) {
        match key {
            KeyCode::Char('q') => self.over = true,
            KeyCode::Char(':') => self.typed = Some((':', String::new())),
            KeyCode::Char('/') => self.typed = Some(('/', String::new())),
            KeyCode::Char('?') | KeyCode::F(1) => self.go(Page::Help),
            KeyCode::Char('s') => self.sort = (self.sort + 1) % 4,
            KeyCode::Char(c @ '1'..='6') => self.go(Page::ALL[c as usize - '1' as usize]),
            KeyCode::Tab | KeyCode::Right => self.step(1),
            KeyCode::BackTab | KeyCode::Left => self.step(Page::ALL.len() - 1),
            KeyCode::Down => self.scroll += 1,
            KeyCode::Up => self.scroll = self.scroll.saturating_sub(1),
            KeyCode::PageDown => self.scroll += 10,
            KeyCode::PageUp => self.scroll = self.scroll.saturating_sub(10),
            KeyCode::Home => self.scroll = 0,
            KeyCode::Esc => self.filter.clear(),
            _ => {}
        }
    }

    fn go(&mut self, page: Page) {
        (self.page, self.scroll) = (page, 0);
    }

    fn step(&mut self, by: usize) {
        let at = Page::ALL.iter().position(|p| *p == self.page).unwrap_or(0);
        self.go(Page::ALL[(at + by) % Page::ALL.len()]);
    }

    fn typing(&mut self, kind: char, mut text: String, key: KeyCode) -> Option<Ask> {
        match key {
            KeyCode::Esc => return None,
            KeyCode::Enter if kind == '/' => {
                (self.filter, self.scroll) = (text, 0);
                return None;
            }
            KeyCode::Enter => return self.line(&text),
            KeyCode::Backspace => {
                text.pop()?;
            }
            KeyCode::Tab if kind == ':' => {
                let ways = complete(&text, &self.view);
                if let Some(common) = common(&ways) {
                    text = common;
                }
                match &ways[..] {
                    [] => self.message = "nothing fits".into(),
                    [one] if !one.contains(' ') => text.push(' '),
                    [_] => {}
                    more => self.message = more.join("  "),
                }
            }
            KeyCode::Char(c) => text.push(c),
            _ => {}
        }
        self.typed = Some((kind, text));
        None
    }

    fn line(&mut self, text: &str) -> Option<Ask> {
        match parse(text) {
            Ok(Line::Intent(change, confirmed)) => return self.ask(change, confirmed),
            Ok(Line::Why(request)) => self.message = why(&self.view, &request),
            Ok(Line::Revive) => return Some(Ask::Revive),
            Ok(Line::Stop) => return Some(Ask::Stop),
            Ok(Line::Quit) => self.over = true,
            Err(e) => self.message = e.to_string(),
        }
        None
    }
}

/// What all have in common at their beginning.
fn common(ways: &[String]) -> Option<String> {
    let first = ways.first()?;
    let shared = |other: &String| first.chars().zip(other.chars()).take_while(|(a, b)| a == b).count();
    let count = ways.iter().map(shared).min()?;
    Some(first.chars().take(count).collect())
}
