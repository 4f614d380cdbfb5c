//! The stand-ins and drivers of the review's cases. Usage: standins CASE ROOT CASE_FOLDER TEMPORARY_FOLDER

mod common;
mod late_link;
mod nvme_client;
mod pipeline;
mod platform;
mod stray_data;

use std::path::PathBuf;

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let folder = |n: usize| PathBuf::from(args.get(n).map_or("", String::as_str));
    let (root, case, temporary) = (folder(2), folder(3), folder(4));
    let ended = common::Record::create(&case.join("record.txt")).and_then(|record| {
        let ended = match args.get(1).map(String::as_str) {
            Some("late-link") => late_link::run(&root, &temporary, &record),
            Some("stray-data") => stray_data::run(&root, &temporary, &record),
            Some("pipeline") => pipeline::run(&root, &temporary, &record),
            _ => Err("unknown case".into()),
        };
        if let Err(why) = &ended {
            record.line(format!("the case could not run: {why}"));
        }
        ended
    });
    std::process::exit(ended.unwrap_or_else(|why| {
        eprintln!("the case could not run: {why}");
        common::COULD_NOT_RUN
    }));
}
