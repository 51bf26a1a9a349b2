//! Encoding of frames: no message may be lost, merged, oversized or truncated.

use bytes::Bytes;
use cornelridge_wire::{codec, generated};

const SEEDS: [u64; 4] = [1, 7, 42, 4711];

fn chunk(length: usize) -> generated::BodyChunk {
    generated::BodyChunk { data: vec![7; length].into(), last: length.is_multiple_of(2) }
}

/// Chunks of any size must give the encoded frames, each once and in order.
#[test]
fn frames_survive_any_split() {
    for seed in SEEDS {
        arbtest::arbtest(|u| {
            let lengths: Vec<usize> = (0..u.int_in_range(1..=8)?)
                .map(|_| u.int_in_range(0..=3_000))
                .collect::<Result<_, _>>()?;
            let mut encoded = Vec::new();
            for length in &lengths {
                codec::encode_frame(&chunk(*length), codec::MAX_FRAME_BYTES, &mut encoded).unwrap();
            }
            let mut rest = Bytes::from(encoded);
            let mut decoder = codec::FrameDecoder::default();
            let mut decoded = Vec::new();
            while !rest.is_empty() {
                let size = u.int_in_range(1..=rest.len())?;
                decoder.push(rest.split_to(size));
                while let Some(frame) = decoder.next_frame(codec::MAX_FRAME_BYTES).unwrap() {
                    decoded.push(codec::decode_payload::<generated::BodyChunk>(frame).unwrap());
                }
            }
            assert!(decoder.is_at_boundary());
            assert_eq!(decoded, lengths.iter().map(|length| chunk(*length)).collect::<Vec<_>>());
            Ok(())
        })
        .seed(seed);
    }
}

/// Arbitrary bytes must give an error or a message, never a panic or a frame above the limit.
#[test]
fn arbitrary_bytes_do_not_panic() {
    for seed in SEEDS {
        arbtest::arbtest(|u| {
            let bytes: Vec<u8> = u.arbitrary()?;
            let mut decoder = codec::FrameDecoder::default();
            decoder.push(Bytes::from(bytes));
            while let Ok(Some(frame)) = decoder.next_frame(100) {
                assert!(frame.len() <= 100);
                let _ = codec::decode_payload::<generated::StreamHead>(frame);
            }
            Ok(())
        })
        .seed(seed);
    }
}

/// A message above the limit must not be encoded, and a longer announced length must be refused
/// before the payload arrives.
#[test]
fn oversized_frames_are_refused() {
    let mut buffer = Vec::new();
    let refused =
        codec::encode_frame(&chunk(codec::MAX_FRAME_BYTES), codec::MAX_FRAME_BYTES, &mut buffer);
    assert!(matches!(refused, Err(codec::FrameError::TooLong { .. })), "{refused:?}");
    assert!(buffer.is_empty());
    let mut decoder = codec::FrameDecoder::default();
    decoder.push(Bytes::from_static(&[0, 1, 0, 1]));
    let refused = decoder.next_frame(codec::MAX_FRAME_BYTES);
    assert!(
        matches!(refused, Err(codec::FrameError::TooLong { length: 65_537, .. })),
        "{refused:?}"
    );
}

/// A full chunk must fit into a frame.
#[test]
fn a_full_chunk_fits_into_a_frame() {
    let mut buffer = Vec::new();
    codec::encode_frame(&chunk(codec::MAX_CHUNK_BYTES), codec::MAX_FRAME_BYTES, &mut buffer)
        .unwrap();
}
