//! How final answers become statuses (docs/nvme.md has the table).

use bytes::Bytes;
use nvme::{Completion, Status, StatusCode};
use storage_core::{Answer, Micros};

/// The Command Retry Delay (1 to 3) nearest not under an advice; the longest where all are under it; 0 for none.
pub fn advice_index(advice: Micros, delays: &[u16; 3]) -> u8 {
    if advice <= 0 {
        return 0;
    }
    let span = |n: usize| Micros::from(delays[n]) * 100_000;
    let fits = (0..3).filter(|&n| span(n) >= advice).min_by_key(|&n| span(n));
    let longest = (0..3).max_by_key(|&n| span(n)).unwrap_or(0);
    fits.unwrap_or(longest) as u8 + 1
}

/// The completion of a final answer. Dword 0 of a refusal carries the advice in milliseconds, rounded up.
pub fn told(answer: Answer, delays: &[u16; 3]) -> Completion {
    match answer {
        Answer::Served(data) => Completion { status: Status::SUCCESS, dw0: 0, dw1: 0, data },
        Answer::Refused { come_back } => {
            let status = match advice_index(come_back, delays) {
                0 => Status::passing(StatusCode::CommandInterrupted),
                n => Status::after(StatusCode::CommandInterrupted, n),
            };
            let ms = u32::try_from((come_back.max(0) + 999) / 1000).unwrap_or(u32::MAX);
            Completion { status, dw0: ms, dw1: 0, data: Bytes::new() }
        }
        Answer::Failed => Completion::of(Status::permanent(StatusCode::InternalError)),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_delay_is_the_nearest_not_under_the_advice() {
        let delays = [1, 5, 20];
        let cases = [(0, 0), (1, 1), (100_000, 1), (100_001, 2), (500_000, 2), (600_000, 3), (9_000_000, 3)];
        for (advice, index) in cases {
            assert_eq!(advice_index(advice, &delays), index, "{advice}");
        }
        assert_eq!(advice_index(300_000, &[20, 4, 9]), 2, "the delays need not rise");
    }

    #[test]
    fn a_failure_promises_nothing_and_is_not_to_be_repeated_blindly() {
        let failed = told(Answer::Failed, &[1, 5, 20]);
        assert_eq!(failed.status, Status::permanent(StatusCode::InternalError));
        let refused = told(Answer::Refused { come_back: 250_400 }, &[1, 5, 20]);
        assert_eq!((refused.status, refused.dw0), (Status::after(StatusCode::CommandInterrupted, 2), 251));
    }
}
