//! Operations that no volume can carry out: they are turned down as a typed error, whatever front end submits
//! them.

mod common;

use bytes::Bytes;
use common::*;
use proptest::prelude::*;
use storage_core::*;

const VOLUME_BLOCKS: u64 = 1 << 20;
const BLOCK_SIZE: usize = 4096;

fn submit(action: Action) -> (Result<(), InvalidOperation>, Vec<Effect>) {
    let mut core = core();
    let mut effects = Vec::new();
    let operation = Operation { action, ..operation(1, Opcode::Flush, 0, 0, Bytes::new()) };
    let result = core.submit(1000, operation, &mut effects);
    assert_eq!(core.open_operations(), usize::from(result.is_ok()));
    (result, effects)
}

/// Guards against slicing a write's data by its blocks although it is shorter, which ended the engine.
#[test]
fn write_whose_data_is_not_as_long_as_its_blocks_is_turned_down() {
    for length in [0, 1, 512, BLOCK_SIZE - 1, BLOCK_SIZE + 1, 2 * BLOCK_SIZE] {
        let (result, effects) =
            submit(Action::Write { slba: 7, blocks: 1, data: Bytes::from(vec![1; length]) });
        let expected = BLOCK_SIZE as u64;
        assert_eq!(result, Err(InvalidOperation::DataLength { bytes: length, expected }));
        assert!(effects.is_empty(), "nothing is sent and nothing is answered");
    }
}

#[test]
fn blocks_past_the_end_of_the_volume_are_turned_down() {
    for (slba, blocks) in [(VOLUME_BLOCKS, 1), (VOLUME_BLOCKS - 1, 2), (u64::MAX, 1), (0, u32::MAX)] {
        let (result, effects) = submit(Action::Read { slba, blocks });
        assert_eq!(result, Err(InvalidOperation::OutOfRange { slba, blocks, size: VOLUME_BLOCKS }));
        assert!(effects.is_empty());
    }
    assert_eq!(submit(Action::Read { slba: 0, blocks: 0 }).0, Err(InvalidOperation::NoBlocks));
}

#[test]
fn unknown_volume_is_turned_down() {
    let mut core = core();
    let unknown = Operation { nsid: 9, ..operation(1, Opcode::Flush, 0, 0, Bytes::new()) };
    assert_eq!(core.submit(1000, unknown, &mut Vec::new()), Err(InvalidOperation::UnknownVolume(9)));
}

/// Block numbers near the start, near the end and far past the end of the volume.
fn drawn_slba() -> impl Strategy<Value = u64> {
    prop_oneof![0..64u64, VOLUME_BLOCKS - 64..VOLUME_BLOCKS + 64, any::<u64>()]
}

fn drawn_action() -> impl Strategy<Value = Action> {
    let read = (drawn_slba(), prop_oneof![0..64u32, any::<u32>()])
        .prop_map(|(slba, blocks)| Action::Read { slba, blocks });
    let length = prop_oneof![(0..20usize).prop_map(|blocks| blocks * BLOCK_SIZE), 0..3 * BLOCK_SIZE,];
    let write = (drawn_slba(), 0..20u32, length).prop_map(|(slba, blocks, length)| Action::Write {
        slba,
        blocks,
        data: Bytes::from(vec![7; length]),
    });
    prop_oneof![read, write, Just(Action::Flush)]
}

/// Whether a volume can carry an action out, worked out without the product's check.
fn is_valid(action: &Action) -> bool {
    let fits = |slba: u64, blocks: u32| {
        blocks > 0 && u128::from(slba) + u128::from(blocks) <= u128::from(VOLUME_BLOCKS)
    };
    match action {
        Action::Read { slba, blocks } => fits(*slba, *blocks),
        Action::Write { slba, blocks, data } => {
            fits(*slba, *blocks) && data.len() == *blocks as usize * BLOCK_SIZE
        }
        Action::Flush => true,
    }
}

proptest! {
    /// What is accepted has all of its data in its attempts; what is not has no effect.
    #[test]
    fn operations_are_accepted_if_and_only_if_they_are_valid(action in drawn_action()) {
        let (result, effects) = submit(action.clone());
        prop_assert_eq!(result.is_ok(), is_valid(&action), "{:?}", result);
        let sends = effects.iter().filter_map(|effect| match effect {
            Effect::Send(send) => Some(send),
            _ => None,
        });
        for send in sends {
            prop_assert!(result.is_ok());
            let data = if send.opcode == Opcode::Write { send.bytes as usize } else { 0 };
            prop_assert_eq!(send.data.len(), data);
        }
    }
}
