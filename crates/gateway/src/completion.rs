//! NVMe completions of final answers (docs/nvme.md has the table).

use bytes::Bytes;
use nvme::{Completion, Status, StatusCode};
use storage_core::{Answer, Micros};

/// The index (1 to 3) of the shortest Command Retry Delay that is at least `advice`, or of the longest if all
/// are shorter; 0 if there is no advice.
pub fn retry_delay_index(advice: Micros, delays: &[u16; 3]) -> u8 {
    if advice <= 0 {
        return 0;
    }
    let duration = |n: usize| Micros::from(delays[n]) * 100_000;
    let shortest_sufficient = (0..3).filter(|&n| duration(n) >= advice).min_by_key(|&n| duration(n));
    let longest = (0..3).max_by_key(|&n| duration(n)).unwrap_or(0);
    shortest_sufficient.unwrap_or(longest) as u8 + 1
}

/// The completion of a final answer. Dword 0 of a refusal carries the advised delay in milliseconds, rounded
/// up.
pub fn completion_of(answer: Answer, delays: &[u16; 3]) -> Completion {
    match answer {
        Answer::Served(data) => Completion { status: Status::SUCCESS, dw0: 0, dw1: 0, data },
        Answer::Refused { retry_after } => {
            let status = match retry_delay_index(retry_after, delays) {
                0 => Status::passing(StatusCode::CommandInterrupted),
                n => Status::after(StatusCode::CommandInterrupted, n),
            };
            let ms = u32::try_from((retry_after.max(0) + 999) / 1000).unwrap_or(u32::MAX);
            Completion { status, dw0: ms, dw1: 0, data: Bytes::new() }
        }
        Answer::Failed => Completion::of(Status::permanent(StatusCode::InternalError)),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_shortest_delay_that_covers_the_advice_is_chosen() {
        let delays = [1, 5, 20];
        let cases = [(0, 0), (1, 1), (100_000, 1), (100_001, 2), (500_000, 2), (600_000, 3), (9_000_000, 3)];
        for (advice, index) in cases {
            assert_eq!(retry_delay_index(advice, &delays), index, "{advice}");
        }
        assert_eq!(retry_delay_index(300_000, &[20, 4, 9]), 2, "the delays need not be in ascending order");
    }

    #[test]
    fn a_failure_must_not_be_retried_and_a_refusal_carries_its_delay() {
        let failed = completion_of(Answer::Failed, &[1, 5, 20]);
        assert_eq!(failed.status, Status::permanent(StatusCode::InternalError));
        let refused = completion_of(Answer::Refused { retry_after: 250_400 }, &[1, 5, 20]);
        assert_eq!((refused.status, refused.dw0), (Status::after(StatusCode::CommandInterrupted, 2), 251));
    }
}
