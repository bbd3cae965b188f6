//! Tests that decoding arbitrary bytes from outside returns a value or an error.

use bulrushtrestle_core::key::{Fingerprint, Incarnation, OrganisationId, RouterId, TargetId};
use bulrushtrestle_core::message::{FRAME_BYTES_MAX, Frame, Part};
use bulrushtrestle_core::once::message::{ClaimBatch, Step, StepKind};
use bulrushtrestle_core::quarantine::message::{Entry, QuarantinePart};
use bulrushtrestle_core::record::{RECORD_BYTES_MAX, Record};
use bulrushtrestle_core::time::Time;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

fn frame() -> Frame {
    let entry = Entry {
        fingerprint: Fingerprint(7),
        crashed: vec![TargetId(1), TargetId(2)],
        cleared: vec![TargetId(1)],
        quarantined: true,
        expires: Time(9),
    };
    Frame {
        from: RouterId(1),
        incarnation: Incarnation(2),
        sequence: 3,
        parts: vec![
            Part::Quarantine(QuarantinePart::Entries(vec![entry])),
            Part::Quarantine(QuarantinePart::Ask(Fingerprint(7))),
        ],
    }
}

fn record() -> Record {
    Record::Claims(ClaimBatch {
        router: RouterId(1),
        incarnation: Incarnation(2),
        steps: vec![Step {
            kind: StepKind::Claim,
            organisation: OrganisationId(3),
            key: uuid::Uuid::from_u128(4),
            number: 5,
        }],
    })
}

/// Changes some bytes and truncates the result to `keep` bytes.
fn mutate(mut bytes: Vec<u8>, changes: &[(usize, u8)], keep: usize) -> Vec<u8> {
    for &(at, byte) in changes {
        let at = at % bytes.len();
        bytes[at] = byte;
    }
    bytes.truncate(keep);
    bytes
}

/// Reports whether a frame has no more parts than its encoding has bytes.
fn fits_in_bytes(parts: usize, bytes: usize) -> bool {
    parts <= bytes
}

proptest! {
    #![proptest_config(Config {
        cases: 4_000,
        rng_seed: RngSeed::Fixed(22),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn arbitrary_bytes_are_decoded_or_refused(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        if let Ok(frame) = Frame::decode(&bytes) {
            prop_assert!(fits_in_bytes(frame.parts.len(), bytes.len()));
        }
        let _ = Record::decode(&bytes);
    }

    #[test]
    fn mutated_frames_are_decoded_or_refused(
        changes in prop::collection::vec((any::<usize>(), any::<u8>()), 0..4),
        keep in 0..60_usize,
    ) {
        let bytes = mutate(frame().encode(), &changes, keep);
        if let Ok(frame) = Frame::decode(&bytes) {
            prop_assert!(fits_in_bytes(frame.parts.len(), bytes.len()));
            prop_assert_eq!(Frame::decode(&frame.encode()).ok(), Some(frame));
        }
    }

    #[test]
    fn mutated_records_are_decoded_or_refused(
        changes in prop::collection::vec((any::<usize>(), any::<u8>()), 0..4),
        keep in 0..300_usize,
    ) {
        let bytes = mutate(record().encode(), &changes, keep);
        if let Ok(record) = Record::decode(&bytes) {
            prop_assert_eq!(Record::decode(&record.encode()).ok(), Some(record));
        }
    }
}

#[test]
fn a_claimed_length_allocates_nothing() {
    // Sender, incarnation and sequence, followed by a list with a very large claimed length.
    let mut bytes = vec![1, 2, 3];
    bytes.extend([0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x01]);
    assert!(Frame::decode(&bytes).is_err());
}

#[test]
fn bytes_beyond_the_limits_are_refused_whatever_they_hold() {
    let mut bytes = frame().encode();
    assert!(Frame::decode(&bytes).is_ok());
    bytes.push(0);
    assert!(
        Frame::decode(&bytes).is_err(),
        "a byte after the end of the frame"
    );
    bytes.resize(FRAME_BYTES_MAX + 1, 0);
    assert!(Frame::decode(&bytes).is_err());
    let mut bytes = record().encode();
    bytes.resize(RECORD_BYTES_MAX, b' ');
    assert!(Record::decode(&bytes).is_ok());
    bytes.push(b' ');
    assert!(Record::decode(&bytes).is_err());
}
