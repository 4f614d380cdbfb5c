//! The console on a terminal and on the appliance's socket.

use std::io;
use std::path::{Path, PathBuf};
use std::sync::mpsc::{self, Receiver, Sender};
use std::time::{Duration, Instant};

use appliance::wire::{Question, Update};
use appliance::{Client, ClientError};
use crossterm::event::{self, Event, KeyEventKind};
use steering::{Change, Verdict};

use crate::app::{App, Ask};
use crate::draw::draw;

/// Pause before a lost appliance is tried again.
const AGAIN: Duration = Duration::from_millis(300);
/// How often the screen is drawn at most, and keys are looked for.
const FRAME: Duration = Duration::from_millis(50);

/// Why the console ended.
#[derive(Debug, thiserror::Error)]
pub enum ConsoleError {
    /// The terminal.
    #[error("the terminal: {0}; the console needs one, 'crowbay status' does not")]
    Terminal(#[from] io::Error),
    /// An appliance of another version.
    #[error(transparent)]
    Client(#[from] ClientError),
}

/// What the socket's thread tells the console.
enum Told {
    Update(Update),
    Verdict(Change, Verdict),
    Lost(String),
    /// No use trying again.
    Never(ClientError),
}

/// Runs the console until its operator leaves.
///
/// # Errors
/// The terminal, or an appliance of another version.
pub fn run(socket: &Path, who: &str) -> Result<(), ConsoleError> {
    let (asks, to_socket) = mpsc::channel();
    let (to_console, told) = mpsc::channel();
    let (path, name) = (PathBuf::from(socket), who.to_owned());
    std::thread::spawn(move || talk(&path, &name, &to_socket, &to_console));
    let mut terminal = ratatui::try_init()?;
    let done = watch(&mut terminal, &asks, &told);
    ratatui::restore();
    done
}

fn watch(
    terminal: &mut ratatui::DefaultTerminal,
    asks: &Sender<Ask>,
    told: &Receiver<Told>,
) -> Result<(), ConsoleError> {
    // https://no-color.org: any value but an empty one.
    let mut app = App::new(std::env::var_os("NO_COLOR").is_none_or(|v| v.is_empty()));
    app.lost("looking for the appliance ...");
    while !app.over {
        terminal.draw(|frame| draw(frame, &app))?;
        let end = Instant::now() + FRAME;
        while event::poll(end.saturating_duration_since(Instant::now()))? {
            if let Event::Key(key) = event::read()?
                && key.kind == KeyEventKind::Press
                && let Some(ask) = app.key(key)
            {
                let _ = asks.send(ask); // The thread that takes it ends with this console.
            }
            if Instant::now() >= end {
                break;
            }
        }
        while let Ok(told) = told.try_recv() {
            match told {
                Told::Update(update) => app.update(update),
                Told::Verdict(change, verdict) => app.verdict(change, &verdict),
                Told::Lost(why) => app.lost(&why),
                Told::Never(error) => return Err(error.into()),
            }
        }
    }
    Ok(())
}

/// Holds a connection to the appliance, and comes back when it is lost.
fn talk(path: &Path, who: &str, asks: &Receiver<Ask>, console: &Sender<Told>) {
    loop {
        let lost = match Client::connect(path, who) {
            Ok(mut client) => follow(&mut client, who, asks, console),
            Err(error @ ClientError::Version { .. }) => {
                let _ = console.send(Told::Never(error));
                return;
            }
            Err(error) => error,
        };
        if console.send(Told::Lost(lost.to_string())).is_err() {
            return;
        }
        std::thread::sleep(AGAIN);
    }
}

fn follow(client: &mut Client, who: &str, asks: &Receiver<Ask>, console: &Sender<Told>) -> ClientError {
    let from = format!("console {}", std::process::id());
    let mut step = || -> Result<(), ClientError> {
        client.ask(Question::Subscribe)?;
        loop {
            while let Ok(ask) = asks.try_recv() {
                match ask {
                    Ask::Intent(change, seen, confirmed) => {
                        let verdict = client.intent(change.clone(), who, &from, Some(seen), confirmed)?;
                        let _ = console.send(Told::Verdict(change, verdict)); // The console may have ended.
                    }
                    Ask::Revive => drop(client.ask(Question::Revive)?),
                    Ask::Stop => drop(client.ask(Question::Stop)?),
                }
            }
            if let Some(update) = client.update(Duration::from_millis(20))? {
                let _ = console.send(Told::Update(update)); // The console may have ended.
            }
        }
    };
    match step() {
        Ok(()) => unreachable!("the loop ends only with an error"),
        Err(error) => error,
    }
}
