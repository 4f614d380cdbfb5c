//! The verbs of an operator: what a site shows, and what can be changed.

use std::process::ExitCode;

use appliance::{Client, SiteView};
use steering::{Change, Verdict};

use crate::command::{ConsoleArgs, IntentArgs, SiteAt};
use crate::{Ended, Failure};

/// The verb asks for a confirmation, or somebody else was first.
const NOT_NOW: u8 = 3;

fn who() -> String {
    std::env::var("USER").unwrap_or_else(|_| "operator".into())
}

fn client(at: &SiteAt) -> Result<Client, Failure> {
    Ok(Client::connect(&at.state.join("appliance.sock"), &who())?)
}

fn view(at: &SiteAt) -> Result<SiteView, Failure> {
    Ok(client(at)?.view()?)
}

fn json(value: &impl serde::Serialize) -> Ended {
    output::outln!("{}", serde_json::to_string_pretty(value)?);
    Ok(ExitCode::SUCCESS)
}

pub fn console(args: &ConsoleArgs) -> Ended {
    let socket = args.state.join("appliance.sock");
    if args.once {
        let view = view(&SiteAt { state: args.state.clone(), json: args.json })?;
        if args.json {
            return json(&view);
        }
        output::out!("{}", console::text(&view));
        return Ok(ExitCode::SUCCESS);
    }
    console::run(&socket, &who())?;
    Ok(ExitCode::SUCCESS)
}

pub fn status(at: &SiteAt) -> Ended {
    let view = view(at)?;
    if at.json {
        return json(&view);
    }
    output::out!("{}", console::text(&view));
    Ok(ExitCode::SUCCESS)
}

pub fn nodes(at: &SiteAt) -> Ended {
    let view = view(at)?;
    if at.json {
        return json(&view.nodes);
    }
    output::out!("{}", console::nodes_text(&view));
    Ok(ExitCode::SUCCESS)
}

pub fn volumes(at: &SiteAt) -> Ended {
    let view = view(at)?;
    if at.json {
        return json(&view.volumes);
    }
    output::out!("{}", console::volumes_text(&view));
    Ok(ExitCode::SUCCESS)
}

pub fn requests(at: &SiteAt, most: usize) -> Ended {
    let mut view = view(at)?;
    view.gateways.iter_mut().for_each(|g| g.requests.truncate(most));
    if at.json {
        let all: Vec<_> = view.gateways.iter().map(|g| (&g.name, &g.requests)).collect();
        return json(&all);
    }
    output::out!("{}", console::requests_text(&view));
    Ok(ExitCode::SUCCESS)
}

pub fn why(request: &str, at: &SiteAt) -> Ended {
    output::outln!("{}", console::why(&view(at)?, request));
    Ok(ExitCode::SUCCESS)
}

pub fn named(change: impl FnOnce(String) -> Change, args: &IntentArgs) -> Ended {
    intent(change(args.name.clone()), &args.at, args.confirm)
}

pub fn intent(change: Change, at: &SiteAt, confirmed: bool) -> Ended {
    let from = format!("shell {}", std::process::id());
    let verdict = client(at)?.intent(change.clone(), &who(), &from, None, confirmed)?;
    if at.json {
        output::outln!("{}", serde_json::to_string(&verdict)?);
    } else {
        output::outln!("{}", console::verdict_text(&change, &verdict));
    }
    Ok(match verdict {
        v if v.is_done() => ExitCode::SUCCESS,
        Verdict::Unknown { .. } => ExitCode::from(crate::USAGE),
        Verdict::NotStored { .. } => ExitCode::FAILURE,
        _ => ExitCode::from(NOT_NOW),
    })
}

pub fn log(at: &SiteAt, most: usize) -> Ended {
    let entries = client(at)?.log(most)?;
    if at.json {
        return json(&entries);
    }
    output::outln!("{:>8} {:20} {:12} {:16} {:28} before", "revision", "when", "who", "from", "change");
    for e in entries {
        let when = console::when(e.t);
        output::outln!(
            "{:>8} {when:20} {:12} {:16} {:28} {}",
            e.revision.0,
            e.by,
            e.from,
            e.change.to_string(),
            e.before
        );
    }
    Ok(ExitCode::SUCCESS)
}

pub fn revive(at: &SiteAt) -> Ended {
    client(at)?.ask(appliance::wire::Question::Revive)?;
    output::outln!("what was given up is started again");
    Ok(ExitCode::SUCCESS)
}

pub fn stop(at: &SiteAt) -> Ended {
    client(at)?.ask(appliance::wire::Question::Stop)?;
    output::outln!("the site stops: gateways answer what they took, then nodes leave");
    Ok(ExitCode::SUCCESS)
}
