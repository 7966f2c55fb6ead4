//! Decoding of hostile bytes gives a frame or an error and never panics.

use bytes::Bytes;
use proptest::collection::vec;
use proptest::prelude::any;
use proptest::prelude::prop;
use proptest::prop_assert;
use proptest::prop_assert_eq;
use proptest::proptest;

use mustardtiller_wire::BodyFraming;
use mustardtiller_wire::Frame;
use mustardtiller_wire::FrameReader;
use mustardtiller_wire::Header;
use mustardtiller_wire::LoadReport;
use mustardtiller_wire::MAX_FRAME_BYTES;
use mustardtiller_wire::RequestHead;
use mustardtiller_wire::WireErrorKind;
use mustardtiller_wire::WireVerdict;
use mustardtiller_wire::decode_datagram;
use mustardtiller_wire::encode_frame;

fn request(uri: String, value: Vec<u8>, body: Vec<u8>) -> Frame {
    Frame::Open {
        stream: 3,
        head: Box::new(RequestHead {
            upstream: "u".to_owned(),
            caller: "c".to_owned(),
            urgent: false,
            priority: 1,
            kind_digest: 5,
            idempotent: true,
            may_wait: true,
            method: "GET".to_owned(),
            uri,
            headers: vec![Header {
                name: "x".to_owned(),
                value: Bytes::from(value),
            }],
            deadline_micros: 9,
            target_micros: 8,
            token: None,
            depth: 1,
            retried: false,
            from_idle_host: false,
            body: BodyFraming::Inline(Bytes::from(body)),
        }),
    }
}

proptest! {
    #[test]
    fn frames_decode_from_reads_of_any_size(
        uri in ".{0,80}",
        value in vec(any::<u8>(), 0..200),
        body in vec(any::<u8>(), 0..5_000),
        read_sizes in vec(1_usize..700, 1..20),
    ) {
        let frames = [
            request(uri, value, body),
            Frame::Credit { stream: 3, bytes: 77 },
            Frame::Refused {
                stream: 3,
                verdict: WireVerdict::NotRun(8),
                load: LoadReport::default(),
            },
        ];
        let mut buf = Vec::new();
        for frame in &frames {
            encode_frame(frame, &mut buf).expect("the frames are below the limit");
        }
        let mut reader = FrameReader::default();
        let mut decoded = Vec::new();
        let mut rest = &buf[..];
        for size in read_sizes.iter().cycle() {
            let (chunk, tail) = rest.split_at((*size).min(rest.len()));
            reader.extend(chunk);
            while let Some(frame) = reader.next_frame().expect("the bytes are valid frames") {
                decoded.push(frame);
            }
            rest = tail;
            if rest.is_empty() {
                break;
            }
        }
        prop_assert_eq!(&decoded[..], &frames[..]);
    }

    #[test]
    fn arbitrary_bytes_do_not_panic(bytes in vec(any::<u8>(), 0..2_000)) {
        let mut reader = FrameReader::default();
        reader.extend(&bytes);
        while let Ok(Some(_)) = reader.next_frame() {}
        let _ = decode_datagram(&bytes);
    }

    #[test]
    fn a_changed_byte_does_not_decode_to_the_same_frame(
        index in any::<prop::sample::Index>(),
        flip in 1_u8..=255,
    ) {
        let mut buf = Vec::new();
        let frame = request("/a".to_owned(), vec![1, 2, 3], vec![9; 300]);
        encode_frame(&frame, &mut buf).expect("the frame is below the limit");
        let at = index.index(buf.len());
        buf[at] ^= flip;
        let mut reader = FrameReader::default();
        reader.extend(&buf);
        let decoded = reader.next_frame();
        prop_assert!(!matches!(decoded, Ok(Some(same)) if same == frame));
    }
}

#[test]
fn an_oversized_length_is_refused_before_the_payload_arrives() {
    let mut reader = FrameReader::default();
    reader.extend(&(MAX_FRAME_BYTES as u32 + 1).to_le_bytes());
    let error = reader
        .next_frame()
        .expect_err("the frame exceeds the limit");
    assert_eq!(error.kind(), WireErrorKind::TooLarge);
}

#[test]
fn an_oversized_frame_is_not_encoded() {
    let mut buf = vec![7];
    let frame = Frame::Data {
        stream: 1,
        bytes: Bytes::from(vec![0; MAX_FRAME_BYTES + 1]),
    };
    let error = encode_frame(&frame, &mut buf).expect_err("the frame exceeds the limit");
    assert_eq!((error.kind(), buf), (WireErrorKind::TooLarge, vec![7]));
}
