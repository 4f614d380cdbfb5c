//! Panics that a process test asks for. Builds without debug assertions, such as releases, have none.

/// A place at which a test may ask for a panic: with `CROWBAY_TEST_PANIC=POINT:FILE` in the environment, the
/// process panics here once FILE exists. It removes the file, so that of several processes one panics, once.
/// In a build without debug assertions this does nothing.
#[inline]
pub fn test_point(name: &str) {
    #[cfg(debug_assertions)]
    trigger::check(name);
    #[cfg(not(debug_assertions))]
    let _ = name;
}

#[cfg(debug_assertions)]
mod trigger {
    use std::path::PathBuf;
    use std::sync::LazyLock;

    struct Trigger {
        point: String,
        file: PathBuf,
    }

    static TRIGGER: LazyLock<Option<Trigger>> = LazyLock::new(|| {
        let text = std::env::var("CROWBAY_TEST_PANIC").ok()?;
        let (point, file) = text.split_once(':')?;
        Some(Trigger { point: point.to_owned(), file: PathBuf::from(file) })
    });

    pub(super) fn check(name: &str) {
        let Some(trigger) = TRIGGER.as_ref().filter(|trigger| trigger.point == name) else { return };
        if std::fs::remove_file(&trigger.file).is_ok() {
            panic!("asked for by a test at {name}");
        }
    }
}
