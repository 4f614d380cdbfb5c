//! The command line inside the console.

use appliance::SiteView;
use steering::Change;

/// What a line asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Line {
    /// A change; confirmed or not.
    Intent(Change, bool),
    /// Why a request waits or ended.
    Why(String),
    /// Start again what was given up.
    Revive,
    /// Stop the site.
    Stop,
    /// Leave the console.
    Quit,
}

/// What is wrong with a line.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LineError {
    /// No such verb.
    #[error("'{0}' is no command; there are {list}", list = VERBS.join(", "))]
    Verb(String),
    /// Something is missing.
    #[error("{0} needs {1}")]
    Missing(&'static str, &'static str),
    /// Too much.
    #[error("'{0}' is too much for {1}")]
    Extra(String, String),
}

/// The verbs.
pub const VERBS: [&str; 11] =
    ["drain", "hold", "note", "pause", "quit", "release", "resume", "revive", "stop", "undrain", "why"];

/// Reads a line. A change may be followed by `!`, which confirms it.
///
/// # Errors
/// What is wrong with it.
pub fn parse(line: &str) -> Result<Line, LineError> {
    let line = line.trim();
    let (line, confirmed) = match line.strip_suffix('!') {
        Some(rest) if !line.starts_with("note") => (rest.trim_end(), true),
        _ => (line, false),
    };
    let (verb, rest) = line.split_once(char::is_whitespace).unwrap_or((line, ""));
    let rest = rest.trim();
    let name = |verb: &'static str, what: &'static str| match rest.split_once(char::is_whitespace) {
        Some((_, extra)) => Err(LineError::Extra(extra.trim().to_owned(), verb.to_owned())),
        None if rest.is_empty() => Err(LineError::Missing(verb, what)),
        None => Ok(rest.to_owned()),
    };
    let alone = |line: Line| match rest {
        "" => Ok(line),
        extra => Err(LineError::Extra(extra.to_owned(), verb.to_owned())),
    };
    let change = |change| Ok(Line::Intent(change, confirmed));
    match verb {
        "drain" => change(Change::Drain(name("drain", "the name of a node")?)),
        "undrain" => change(Change::Undrain(name("undrain", "the name of a node")?)),
        "hold" => change(Change::Hold(name("hold", "the name of a volume")?)),
        "release" => change(Change::Release(name("release", "the name of a volume")?)),
        "pause" => alone(Line::Intent(Change::Pause, confirmed)),
        "resume" => alone(Line::Intent(Change::Resume, confirmed)),
        "note" if rest.is_empty() => Err(LineError::Missing("note", "a text")),
        "note" => change(Change::Note(rest.to_owned())),
        "why" => Ok(Line::Why(name("why", "the number of a request, as GATEWAY/NUMBER")?)),
        "revive" => alone(Line::Revive),
        "stop" => alone(Line::Stop),
        "quit" | "q" => alone(Line::Quit),
        other => Err(LineError::Verb(other.to_owned())),
    }
}

/// What a line may go on with: verbs, then names of nodes, volumes or requests.
pub fn complete(line: &str, view: &SiteView) -> Vec<String> {
    let Some((verb, rest)) = line.split_once(' ') else {
        return VERBS.iter().filter(|v| v.starts_with(line)).map(|v| (*v).to_owned()).collect();
    };
    let names: Vec<String> = match verb {
        "drain" | "undrain" => view.nodes.iter().map(|n| n.name.clone()).collect(),
        "hold" | "release" => view.volumes.iter().map(|v| v.name.clone()).collect(),
        "why" => {
            let all = view.gateways.iter().flat_map(|g| g.requests.iter().map(move |r| (g, r)));
            all.map(|(g, r)| format!("{}/{}", g.name, r.id)).collect()
        }
        _ => Vec::new(),
    };
    names.into_iter().filter(|n| n.starts_with(rest)).map(|n| format!("{verb} {n}")).collect()
}
