//! A usual day, sixty times as fast.

use crate::error::DayError;
use crate::stage::Stage;

/// Usual changes for a while.
pub(crate) fn ordinary(stage: &mut Stage<'_>) -> Result<(), DayError> {
    let span = stage.begin("ordinary")?;
    let traffic = stage.traffic()?;
    stage.pass(stage.options.ordinary)?;
    traffic.stop()?;
    stage.until_level()?;
    stage.end(span)
}
