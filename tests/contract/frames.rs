//! Encoding and decoding of the frames between nodes.

use cassialock::core::completion::Progress;
use cassialock::core::fingerprint::Fingerprint;
use cassialock::core::limit::Priority;
use cassialock::core::member::gossip::Fact;
use cassialock::core::retry::crash::Crash;
use cassialock::core::time::Time;
use cassialock::frame;
use cassialock::frame::FrameError;
use cassialock::node::peers::Call;
use cassialock::node::peers::StreamRecord;
use proptest::prelude::ProptestConfig;
use proptest::proptest;

fn calls() -> Vec<Call> {
    vec![
        Call::GetFacts,
        Call::GetConfig(7),
        Call::GetParts(vec!["config/part/1-00".into()]),
        Call::Facts(vec![
            Fact::Config { number: 9 },
            Fact::Crash(Crash {
                fingerprint: Fingerprint(3),
                server: "s".into(),
                at: Time::from_millis(5),
            }),
        ]),
        Call::TransferStream(StreamRecord {
            id: "n-1-2".into(),
            request: "r".into(),
            workspace: "w".into(),
            is_chat: true,
            body: vec![1, 2, 3],
            priority: Priority::Stream,
            deadline: Time::from_millis(99),
            progress: Progress {
                text: "one ".into(),
                token_ends: vec![4],
                ..Progress::default()
            },
        }),
    ]
}

#[test]
fn every_call_round_trips() {
    for call in calls() {
        let content = frame::encode(&call).unwrap();
        assert_eq!(content[0], frame::VERSION);
        assert_eq!(frame::decode::<Call>(&content).unwrap(), call);
    }
}

#[test]
fn damaged_frames_are_rejected() {
    let good = frame::encode(&calls()[3]).unwrap().to_vec();
    let mut newer = good.clone();
    newer[0] += 1;
    let mut longer = good.clone();
    longer.push(0);
    let huge = [
        &[frame::VERSION, 2][..],
        &[253, 255, 255, 255, 255, 255, 255, 255, 127],
    ]
    .concat();
    let cases = [
        ("empty", Vec::new(), FrameError::Garbled),
        ("other version", newer, FrameError::Version),
        ("cut", good[..good.len() - 1].to_vec(), FrameError::Garbled),
        ("too long", longer, FrameError::Garbled),
        ("huge length", huge, FrameError::Garbled),
    ];
    for (name, content, expected) in cases {
        assert_eq!(
            frame::decode::<Call>(&content).unwrap_err(),
            expected,
            "{name}"
        );
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(300) })]

    #[test]
    fn arbitrary_bytes_are_decoded_or_rejected(content in proptest::collection::vec(0_u8..=255, 0..300)) {
        let _ = frame::decode::<Call>(&content);
    }
}
