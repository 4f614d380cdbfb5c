//! The site file that a day writes.

use std::net::SocketAddr;

use planelab::{Day, DayError, DayOptions, Size, play, site_file};

fn listen(size: &Size) -> Vec<SocketAddr> {
    (0..size.machine_count() as u16).map(|n| SocketAddr::from(([127, 0, 0, 1], 9001 + n))).collect()
}

#[test]
fn the_settings_take_the_site_file_of_every_size() {
    for size in [Size::full(), Size::pair(), Size::small()] {
        let text = site_file(&size, &listen(&size));
        let site =
            settings::Site::parse(&text).unwrap_or_else(|problems| panic!("{}: {problems:?}", size.name));
        let control = site.control.expect("a control plane");
        assert_eq!(control.machine.len(), size.machine_count());
        assert_eq!(
            control.machine.iter().filter(|m| m.writer).count(),
            size.machines.len(),
            "one writer a region"
        );
    }
}

#[test]
fn the_full_size_is_the_fleets() {
    let full = Size::full();
    assert_eq!((full.machine_count(), full.members(), full.regions().count()), (16, 3600, 5));
    assert_eq!((full.nodes, full.shards), (21_000, 7000));
}

#[test]
fn words_of_days_and_sizes_are_read() {
    for day in Day::ALL {
        assert_eq!(day.word().parse::<Day>().expect("a day"), day);
    }
    assert!("sunday".parse::<Day>().is_err());
    assert_eq!("full".parse::<Size>().expect("a size"), Size::full());
    assert!("huge".parse::<Size>().is_err());
}

#[test]
fn a_size_that_cannot_be_and_a_folder_that_was_played_into_are_turned_down() {
    let folder = tempfile::tempdir().expect("a folder");
    let size = Size { zone: (301, 0), ..Size::small() };
    let options = DayOptions::new("no-such-program".into(), folder.path().into(), size);
    assert!(matches!(play(&options), Err(DayError::Option(_))));
    let options = DayOptions { size: Size::small(), ..options };
    assert!(matches!(play(&options), Err(DayError::Start(..))));
    let error = play(&options).expect_err("the folder has records in it");
    assert!(matches!(&error, DayError::Option(what) if what.contains("is there already")), "{error}");
}
