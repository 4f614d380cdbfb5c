use super::*;
use proptest::prelude::*;

#[derive(Clone, Debug)]
enum Step {
    Copy(usize),
    Share(usize),
    Append(usize, usize),
    Advance(usize),
    Take(usize),
    Truncate(usize),
    Write(usize),
}

fn step() -> impl Strategy<Value = Step> {
    let size = || prop_oneof![0..100usize, MIN_SHARED_BYTES - 1..MIN_SHARED_BYTES + 2, 0..20_000usize];
    prop_oneof![
        size().prop_map(Step::Copy),
        size().prop_map(Step::Share),
        (size(), size()).prop_map(|(a, b)| Step::Append(a, b)),
        size().prop_map(Step::Advance),
        size().prop_map(Step::Take),
        size().prop_map(Step::Truncate),
        size().prop_map(Step::Write),
    ]
}

proptest! {
    #[test]
    fn bytes_are_returned_in_the_order_they_were_appended(steps in proptest::collection::vec(step(), 1..40)) {
        let (mut list, mut expected, mut out) = (GatherList::new(), Vec::new(), Vec::new());
        let mut last_byte = 0u8;
        let mut next_bytes = |len: usize| -> Vec<u8> {
            (0..len).map(|_| { last_byte = last_byte.wrapping_mul(31).wrapping_add(7); last_byte }).collect()
        };
        for step in steps {
            match step {
                Step::Copy(n) => { let b = next_bytes(n); list.append_copy(&b); expected.extend(b); }
                Step::Share(n) => { let b = next_bytes(n); list.append_shared(&b.clone().into()); expected.extend(b); }
                Step::Append(a, b) => {
                    let mut other = GatherList::new();
                    let (a, b) = (next_bytes(a), next_bytes(b));
                    other.append_shared(&a.clone().into());
                    other.append_copy(&b);
                    list.append(other);
                    expected.extend(a);
                    expected.extend(b);
                }
                Step::Advance(n) => {
                    let n = n.min(expected.len());
                    out.extend(expected.drain(..n));
                    list.advance(n);
                }
                Step::Truncate(n) => {
                    expected.truncate(n);
                    list.truncate(n);
                    prop_assert_eq!(list.len(), expected.len());
                }
                Step::Take(n) => {
                    let piece = list.take(n);
                    prop_assert!(piece.len() <= n);
                    prop_assert_eq!(&piece[..], &expected[..piece.len()]);
                    out.extend(expected.drain(..piece.len()));
                }
                Step::Write(n) => {
                    let mut slices = [IoSlice::new(&[]); 8];
                    let count = list.slices(&mut slices);
                    let seen: Vec<u8> = slices[..count].iter().flat_map(|s| s.to_vec()).collect();
                    let n = n.min(seen.len());
                    prop_assert_eq!(&seen[..n], &expected[..n]);
                    out.extend(expected.drain(..n));
                    list.advance(n);
                }
            }
            prop_assert_eq!(list.len(), expected.len());
            prop_assert_eq!(list.is_empty(), expected.is_empty());
        }
        let mut rest = Vec::new();
        while !list.is_empty() {
            rest.extend(list.take(1000));
        }
        prop_assert_eq!(rest, expected);
    }
}
