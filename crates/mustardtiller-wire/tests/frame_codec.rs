//! Frames from hostile bytes: an error or a frame, never a panic.

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
            body: BodyFraming::Buffered(Bytes::from(body)),
        }),
    }
}

proptest! {
    #[test]
    fn frames_come_back_however_they_are_cut(
        uri in ".{0,80}",
        value in vec(any::<u8>(), 0..200),
        body in vec(any::<u8>(), 0..5_000),
        cuts in vec(1_usize..700, 1..20),
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
            encode_frame(frame, &mut buf).expect("the frames are small");
        }
        let mut reader = FrameReader::default();
        let mut read = Vec::new();
        let mut rest = &buf[..];
        for cut in cuts.iter().cycle() {
            let (piece, tail) = rest.split_at((*cut).min(rest.len()));
            reader.extend(piece);
            while let Some(frame) = reader.next_frame().expect("the bytes are good") {
                read.push(frame);
            }
            rest = tail;
            if rest.is_empty() {
                break;
            }
        }
        prop_assert_eq!(&read[..], &frames[..]);
    }

    #[test]
    fn any_bytes_are_refused_or_read(bytes in vec(any::<u8>(), 0..2_000)) {
        let mut reader = FrameReader::default();
        reader.extend(&bytes);
        while let Ok(Some(_)) = reader.next_frame() {}
        let _ = decode_datagram(&bytes);
    }

    #[test]
    fn one_changed_byte_is_no_panic(
        index in any::<prop::sample::Index>(),
        flip in 1_u8..=255,
    ) {
        let mut buf = Vec::new();
        let frame = request("/a".to_owned(), vec![1, 2, 3], vec![9; 300]);
        encode_frame(&frame, &mut buf).expect("the frame is small");
        let at = index.index(buf.len());
        buf[at] ^= flip;
        let mut reader = FrameReader::default();
        reader.extend(&buf);
        let read = reader.next_frame();
        prop_assert!(!matches!(read, Ok(Some(same)) if same == frame));
    }
}

#[test]
fn a_length_beyond_the_limit_is_refused_before_its_bytes_come() {
    let mut reader = FrameReader::default();
    reader.extend(&(MAX_FRAME_BYTES as u32 + 1).to_le_bytes());
    let error = reader.next_frame().expect_err("it is too large");
    assert_eq!(error.kind(), WireErrorKind::TooLarge);
}

#[test]
fn a_frame_beyond_the_limit_is_not_written() {
    let mut buf = vec![7];
    let frame = Frame::Data {
        stream: 1,
        bytes: Bytes::from(vec![0; MAX_FRAME_BYTES + 1]),
    };
    let error = encode_frame(&frame, &mut buf).expect_err("it is too large");
    assert_eq!((error.kind(), buf), (WireErrorKind::TooLarge, vec![7]));
}
