//! The key by which repeats of a request are recognized.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// The key of a request: equal for a request and its repeats at any gateway, in any process and version.
///
/// XXH3 (64 bits) of the volume, the key or first block, the class and the units, little endian. The
/// function is fixed, as gateways of different versions must agree on it. Two different requests share a
/// key by chance once in 2^64. Two requests for the same blocks of the same class always share it, so
/// the second is taken for a repeat of the first if the first ended unserved within the window. Errors
/// are therefore only towards *repeat*.
pub fn request_key(volume: u32, key: u64, class: u8, units: u32) -> u64 {
    let mut bytes = [0; 17];
    bytes[..4].copy_from_slice(&volume.to_le_bytes());
    bytes[4..12].copy_from_slice(&key.to_le_bytes());
    bytes[12] = class;
    bytes[13..].copy_from_slice(&units.to_le_bytes());
    xxh3_64(&bytes)
}

/// The key of a request of a host: the same at every gateway that the host uses, and different from that
/// of another host's request for the same blocks.
///
/// XXH3 (64 bits) of the host's name, with the request's [`request_key`] as the seed.
pub fn host_request_key(host: &str, key: u64) -> u64 {
    xxh3_64_with_seed(host.as_bytes(), key)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_key_is_stable_across_processes_and_distinguishes_requests() {
        assert_eq!(request_key(1, 2, 3, 4), request_key(1, 2, 3, 4));
        // A change of the function must fail this test: gateways of two versions would no longer agree.
        assert_eq!(request_key(1, 4096, 0, 8), EXPECTED_KEY);
        let keys = [
            request_key(1, 2, 3, 4),
            request_key(2, 2, 3, 4),
            request_key(1, 3, 3, 4),
            request_key(1, 2, 4, 4),
            request_key(1, 2, 3, 5),
        ];
        for (i, a) in keys.iter().enumerate() {
            assert!(keys[i + 1..].iter().all(|b| a != b), "{keys:?}");
        }
    }

    #[test]
    fn requests_of_two_hosts_for_the_same_blocks_have_different_keys() {
        let key = request_key(1, 4096, 0, 8);
        assert_eq!(host_request_key("nqn.a", key), host_request_key("nqn.a", key));
        assert_ne!(host_request_key("nqn.a", key), host_request_key("nqn.b", key));
        assert_ne!(host_request_key("nqn.a", key), host_request_key("nqn.a", key + 1));
        assert_eq!(host_request_key("nqn.a", key), EXPECTED_HOST_KEY);
    }

    const EXPECTED_KEY: u64 = 7_475_634_194_794_638_259;
    const EXPECTED_HOST_KEY: u64 = 7_498_595_048_485_242_740;
}
