//! Well-formed messages with odd contents: a sound MessagePack body of which some values are replaced by others of
//! their types, most of them from the ends.
#![allow(dead_code)] // Included by the tests of several packages.

use rand::Rng;
use rand::rngs::StdRng;
use rmpv::Value;

/// How often a list is repeated, at most.
const MAX_COPIES: usize = 300;
/// Longest string or binary value that is drawn, in bytes.
const MAX_BYTES: usize = 5000;

/// A sound body with one to three of its values replaced.
pub fn altered(rng: &mut StdRng, body: &[u8]) -> Vec<u8> {
    let mut value = rmpv::decode::read_value(&mut &body[..]).expect("a sound body");
    for _ in 0..rng.random_range(1..4) {
        let mut at = rng.random_range(0..count(&value));
        replace(rng, &mut value, &mut at);
    }
    let mut bytes = Vec::new();
    rmpv::encode::write_value(&mut bytes, &value).expect("a vector takes all");
    bytes
}

/// Counts the value itself and all values in it.
fn count(value: &Value) -> usize {
    1 + match value {
        Value::Array(items) => items.iter().map(count).sum(),
        Value::Map(entries) => entries.iter().map(|(_, value)| count(value)).sum::<usize>(),
        _ => 0,
    }
}

/// Replaces the value at a position, counted from this one in depth; returns whether it was found.
fn replace(rng: &mut StdRng, value: &mut Value, at: &mut usize) -> bool {
    if *at == 0 {
        *value = odd(rng, value);
        return true;
    }
    *at -= 1;
    match value {
        Value::Array(items) => items.iter_mut().any(|item| replace(rng, item, at)),
        Value::Map(entries) => entries.iter_mut().any(|(_, item)| replace(rng, item, at)),
        _ => false,
    }
}

/// Another value, mostly of the same type.
fn odd(rng: &mut StdRng, value: &Value) -> Value {
    match value {
        Value::Integer(number) => integer(rng, number.as_i64().unwrap_or(i64::MAX)),
        Value::Boolean(flag) => Value::Boolean(!flag),
        Value::F32(_) | Value::F64(_) => Value::F64(float(rng)),
        Value::String(_) => Value::from("x".repeat(rng.random_range(0..MAX_BYTES))),
        Value::Binary(_) => Value::Binary(drawn_bytes(rng)),
        Value::Array(items) => Value::Array(list(rng, items)),
        Value::Map(entries) => {
            let mut entries = entries.clone();
            if !entries.is_empty() {
                entries.remove(rng.random_range(0..entries.len()));
            }
            Value::Map(entries)
        }
        Value::Nil | Value::Ext(..) => integer(rng, 0),
    }
}

fn integer(rng: &mut StdRng, usual: i64) -> Value {
    let ends =
        [0, 1, -1, i64::MIN, i64::MIN + 1, i64::MAX - 1, i64::MAX, i64::from(u32::MAX), 1 << 31, 0xffff, 255];
    match rng.random_range(0..6) {
        0 => Value::from(usual.wrapping_add(rng.random_range(-2..3))),
        1 => Value::from(u64::MAX - rng.random_range(0..2)),
        2 => Value::from(rng.random::<u64>()),
        3 => Value::from(rng.random::<u32>()),
        _ => Value::from(ends[rng.random_range(0..ends.len())]),
    }
}

fn float(rng: &mut StdRng) -> f64 {
    let ends =
        [0.0, -0.0, -1.0, f64::NAN, f64::INFINITY, f64::NEG_INFINITY, f64::MAX, f64::MIN_POSITIVE, 1e18];
    ends[rng.random_range(0..ends.len())]
}

fn drawn_bytes(rng: &mut StdRng) -> Vec<u8> {
    let mut bytes = vec![0; rng.random_range(0..MAX_BYTES)];
    rng.fill(&mut bytes[..]);
    bytes
}

/// No items, fewer, in another order, or many times.
fn list(rng: &mut StdRng, items: &[Value]) -> Vec<Value> {
    let mut items = items.to_vec();
    match rng.random_range(0..4) {
        0 => items.clear(),
        1 => drop(items.pop()),
        2 => items.reverse(),
        _ if items.len() < MAX_COPIES => {
            let copies = rng.random_range(2..MAX_COPIES / items.len().max(1) + 3);
            items = std::iter::repeat_n(items, copies).flatten().collect();
        }
        _ => {}
    }
    items
}
