//! Log lines of requests on a hosting platform, and the order of streamed events.

use std::sync::Arc;
use std::time::Duration;

use bulrushtrestle_core::key::Fingerprint;
use bulrushtrestle_core::request::PromptPart;
use bytes::BytesMut;
use tokio::time::sleep;

use crate::traffic::hosted::drive::shared_parts;
use crate::traffic::hosted::refusal_log::{LINES_PER_SECOND, RefusalLog};
use crate::traffic::hosted::sequence::Sequence;
use crate::traffic::sse::Splitter;

/// Guards against an overloaded router that writes a log line for each request that it refuses.
#[tokio::test]
async fn few_refusals_of_a_second_have_a_line_of_their_own() {
    let refusal_log = Arc::new(RefusalLog::default());
    for second in 0..2 {
        let lines = (0..1_000).filter(|_| refusal_log.allows_line()).count();
        assert_eq!(lines, LINES_PER_SECOND as usize, "second {second}");
        sleep(Duration::from_millis(1_200)).await;
    }
}

/// Guards against lines of failed attempts that do not tell a part of prompts that crashes targets from a bad target.
#[test]
fn a_failed_attempt_names_the_parts_that_other_requests_may_share() {
    struct Case {
        name: &'static str,
        parts: &'static [u64],
        field: &'static str,
    }
    let cases = [
        Case {
            name: "no prompt",
            parts: &[],
            field: "-",
        },
        Case {
            name: "only the request's own part",
            parts: &[0xa],
            field: "-",
        },
        Case {
            name: "shared parts",
            parts: &[0x5c1e_07a2, 0xb, 0xc],
            field: "5c1e07a2,b",
        },
        Case {
            name: "more parts than a line names",
            parts: &[1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11],
            field: "1,2,3,4,5,6,7,8",
        },
    ];
    for case in cases {
        let part = |&content| PromptPart {
            content: Fingerprint(content),
            tokens: 1,
        };
        let parts: Vec<PromptPart> = case.parts.iter().map(part).collect();
        assert_eq!(shared_parts(&parts), case.field, "{}", case.name);
    }
}

/// What becomes of the events of one attempt.
#[derive(Debug, PartialEq, Eq)]
enum Outcome {
    /// The answer is complete.
    Complete,
    /// An event is out of order, and the answer may be resumed after the id.
    Resumable(u64),
    /// An event is out of order, and the answer cannot be resumed.
    Final,
    /// The attempt resumes an answer and has no event with an id.
    NotContinued,
}

/// Pushes the events of an attempt that are named by their ids: `-` has none, `:` is a comment and `D` the end mark.
/// Returns those that were forwarded, and what became of the answer.
fn push_all(sequence: &mut Sequence, events: &str) -> (String, Outcome) {
    let mut splitter = Splitter::default();
    for event in events.split_whitespace() {
        let raw = match event {
            "-" => "data: x\n\n".to_owned(),
            ":" => ": x\n\n".to_owned(),
            "D" => "data: [DONE]\n\n".to_owned(),
            id => format!("id: {id}\ndata: x\n\n"),
        };
        splitter.push(raw.as_bytes()).expect("small events");
    }
    sequence.begin_attempt();
    let mut batch = BytesMut::new();
    let mut outcome = Outcome::Complete;
    while let Some(event) = splitter.next() {
        if let Err(error) = sequence.push(event, &mut batch) {
            outcome = match error.is_resumable {
                true => Outcome::Resumable(sequence.delivered()),
                false => Outcome::Final,
            };
            break;
        }
    }
    if outcome == Outcome::Complete {
        sequence.finish(&mut batch);
        if !sequence.has_continued() {
            outcome = Outcome::NotContinued;
        }
    }
    let text = String::from_utf8(batch.to_vec()).expect("text");
    let events = text.split_terminator("\n\n").map(|event| match event {
        "data: x" => "-",
        ": x" => ":",
        "data: [DONE]" => "D",
        event => event
            .trim_start_matches("id: ")
            .trim_end_matches("\ndata: x"),
    });
    let events: Vec<&str> = events.collect();
    (events.join(" "), outcome)
}

/// Guards against a spoilt id of an event after which sound events of the same answer are dropped as repeated ones, while the
/// stream ends as complete.
#[test]
fn no_event_is_left_out_of_a_stream_that_is_forwarded_as_complete() {
    struct Case {
        name: &'static str,
        events: &'static str,
        forwarded: &'static str,
        outcome: Outcome,
    }
    let case = |name, events, forwarded, outcome| Case {
        name,
        events,
        forwarded,
        outcome,
    };
    let whole = |name, events| case(name, events, events, Outcome::Complete);
    let cases = [
        whole("sound", "1 2 3 4"),
        whole("ids that start at 0", "0 1 2 3"),
        whole("ids that start late", "1000 1001 1002"),
        whole("steps of six, the last one shorter", "6 12 18 20"),
        whole("a first step that is shorter", "1 7 13 19"),
        whole("steps that grow", "1 2 4 9 30 31"),
        whole("no ids", "- - - D"),
        whole("comments and an end mark", ": 1 : 2 : D"),
        whole("an event without an id", "1 2 - 4 5"),
        whole("two events without an id", "1 2 - - 5 6"),
        whole("an id that jumps at the end", "1 2 3 94"),
        whole("an id that jumps before events without one", "1 2 9 - - D"),
        case(
            "an id that jumps",
            "1 2 93 4 5 6",
            "1 2",
            Outcome::Resumable(2),
        ),
        case(
            "an id that jumps beside one without",
            "1 2 93 - 5 6",
            "1 2",
            Outcome::Resumable(2),
        ),
        case(
            "an id that falls",
            "1 2 3 0 5 6",
            "1 2 3",
            Outcome::Resumable(3),
        ),
        case(
            "an id that falls at the end",
            "1 2 3 1",
            "1 2 3",
            Outcome::Resumable(3),
        ),
        case("an id twice", "1 2 2 3", "1 2", Outcome::Resumable(2)),
        case(
            "the second id jumps, the first is large",
            "51 92 53",
            "51 92",
            Outcome::Final,
        ),
        case("ids by two", "2 4 6 1", "2 4 6", Outcome::Resumable(6)),
        case("the first id jumps", "9 2 3 4", "9", Outcome::Final),
        case(
            "the second id jumps",
            "1 92 3 4",
            "1",
            Outcome::Resumable(1),
        ),
        case("the second id falls", "1 0 3 4", "1", Outcome::Final),
        case(
            "an id that falls after an event without one",
            "1 2 - 1",
            "1 2 -",
            Outcome::Final,
        ),
    ];
    for case in cases {
        let mut sequence = Sequence::default();
        let (forwarded, outcome) = push_all(&mut sequence, case.events);
        assert_eq!(forwarded, case.forwarded, "{}", case.name);
        assert_eq!(outcome, case.outcome, "{}", case.name);
    }
}

/// Guards against a resumed answer that repeats events, leaves some out, joins those of another run, or continues at a spoilt id.
#[test]
fn a_stream_is_resumed_after_the_last_event_whose_id_is_confirmed() {
    struct Case {
        name: &'static str,
        /// The events of the first attempt until it breaks off, and whether the answer can then be resumed.
        first: &'static str,
        is_resumable: bool,
        /// The id from which the second attempt resumes.
        from: u64,
        second: &'static str,
        forwarded: &'static str,
        outcome: Outcome,
    }
    const RESUMED: Case = Case {
        name: "goes on",
        first: "1 2 3",
        is_resumable: true,
        from: 3,
        second: "4 5 6",
        forwarded: "4 5 6",
        outcome: Outcome::Complete,
    };
    let cases = [
        RESUMED,
        Case {
            name: "goes on after a comment",
            second: ": 4 5 6",
            forwarded: ": 4 5 6",
            ..RESUMED
        },
        // Whether the events that it repeats are those that the caller has is not known.
        Case {
            name: "starts again from the beginning",
            second: "1 2 3 4 5 6",
            forwarded: "",
            outcome: Outcome::Resumable(3),
            ..RESUMED
        },
        Case {
            name: "repeats the last event",
            second: "3 4 5 6",
            forwarded: "",
            outcome: Outcome::Resumable(3),
            ..RESUMED
        },
        Case {
            name: "has an id twice",
            second: "4 4 5 6",
            forwarded: "4",
            outcome: Outcome::Resumable(4),
            ..RESUMED
        },
        Case {
            name: "begins with an event without an id",
            second: "- 4 5 6",
            forwarded: "",
            outcome: Outcome::Resumable(3),
            ..RESUMED
        },
        Case {
            name: "has events without an id only",
            second: "- - D",
            forwarded: "",
            outcome: Outcome::Resumable(3),
            ..RESUMED
        },
        Case {
            name: "has an event without an id later on",
            second: "4 - 6",
            forwarded: "4 - 6",
            ..RESUMED
        },
        Case {
            name: "has no event",
            second: "",
            forwarded: "",
            outcome: Outcome::NotContinued,
            ..RESUMED
        },
        Case {
            name: "has a comment only",
            second: ":",
            forwarded: ":",
            outcome: Outcome::NotContinued,
            ..RESUMED
        },
        Case {
            name: "steps of six",
            first: "6 12 18",
            from: 18,
            second: "24 30 31",
            forwarded: "24 30 31",
            ..RESUMED
        },
        Case {
            name: "steps of six, the last event is due",
            first: "6 12 18",
            from: 18,
            second: "20",
            forwarded: "20",
            ..RESUMED
        },
        Case {
            name: "steps of six, not resumed at the event that is due",
            first: "6 12 18",
            from: 18,
            second: "30 36",
            forwarded: "",
            outcome: Outcome::Resumable(18),
            ..RESUMED
        },
        Case {
            name: "goes on after the first event",
            first: "1",
            from: 1,
            second: "2 3",
            forwarded: "2 3",
            ..RESUMED
        },
        Case {
            name: "goes on after an event with the id 0",
            first: "0",
            from: 0,
            second: "1 2",
            forwarded: "1 2",
            ..RESUMED
        },
        // The only id may be spoilt itself.
        Case {
            name: "is not resumed at the event that is due after the first",
            first: "1",
            from: 1,
            second: "5 6 7",
            forwarded: "",
            outcome: Outcome::Final,
            ..RESUMED
        },
        Case {
            name: "starts again after the first event",
            first: "1",
            from: 1,
            second: "1 2 3",
            forwarded: "",
            outcome: Outcome::Final,
            ..RESUMED
        },
        Case {
            name: "begins with another opening event",
            first: "- 1 2",
            from: 2,
            second: "- 3 4",
            forwarded: "",
            outcome: Outcome::Resumable(2),
            ..RESUMED
        },
        Case {
            name: "breaks off at an id that jumps",
            first: "1 2 3 94",
            ..RESUMED
        },
        Case {
            name: "is not resumed at the event that is due",
            second: "5 6",
            forwarded: "",
            outcome: Outcome::Resumable(3),
            ..RESUMED
        },
        Case {
            name: "the first id of the second attempt is spoilt and falls",
            second: "0 5 6",
            forwarded: "",
            outcome: Outcome::Resumable(3),
            ..RESUMED
        },
        Case {
            name: "an id of the second attempt falls",
            second: "4 5 1 7",
            forwarded: "4 5",
            outcome: Outcome::Resumable(5),
            ..RESUMED
        },
        Case {
            name: "breaks off after an event without an id",
            first: "1 2 3 -",
            is_resumable: false,
            ..RESUMED
        },
    ];
    for case in cases {
        let mut sequence = Sequence::default();
        sequence.begin_attempt();
        let mut splitter = Splitter::default();
        for event in case.first.split_whitespace() {
            let raw = match event {
                "-" => "data: x\n\n".to_owned(),
                id => format!("id: {id}\ndata: x\n\n"),
            };
            splitter.push(raw.as_bytes()).expect("small events");
        }
        while let Some(event) = splitter.next() {
            let pushed = sequence.push(event, &mut BytesMut::new());
            pushed.expect("the ids increase");
        }
        assert_eq!(sequence.is_resumable(), case.is_resumable, "{}", case.name);
        assert_eq!(sequence.delivered(), case.from, "{}", case.name);
        if !case.is_resumable {
            continue;
        }
        let (forwarded, outcome) = push_all(&mut sequence, case.second);
        assert_eq!(forwarded, case.forwarded, "{}", case.name);
        assert_eq!(outcome, case.outcome, "{}", case.name);
    }
}

/// Guards against bytes of a stream that go missing because any one of them is spoilt: what is complete holds every byte that
/// the target sent, and what is resumed continues with the piece that is due.
#[test]
fn any_one_spoilt_byte_leaves_a_stream_whole_or_breaks_it_off_at_a_known_piece() {
    const PIECES: usize = 12;
    const SPOILT_BY: &[u8] = b"09x-: \n\r\0\xff";
    let pieces: Vec<String> = (1..=PIECES)
        .map(|number| format!("id: {number}\ndata: piece {number}\n\n"))
        .collect();
    let sound = pieces.concat();
    for at in 0..sound.len() {
        for &byte in SPOILT_BY {
            let mut sent = sound.clone().into_bytes();
            sent[at] = byte;
            let mut splitter = Splitter::default();
            splitter.push(&sent).expect("a small stream");
            let mut sequence = Sequence::default();
            sequence.begin_attempt();
            let mut batch = BytesMut::new();
            let mut error = None;
            while error.is_none()
                && let Some(event) = splitter.next()
            {
                error = sequence.push(event, &mut batch).err();
            }
            let name = format!("byte {at} is {byte:#x}");
            match error {
                None if splitter.has_partial_event() => {}
                None => {
                    sequence.finish(&mut batch);
                    assert_eq!(&batch[..], &sent[..], "{name}");
                }
                Some(error) => {
                    assert!(sent.starts_with(&batch), "{name}");
                    if error.is_resumable {
                        let due: usize = pieces
                            [usize::try_from(sequence.delivered()).expect("small")..]
                            .iter()
                            .map(String::len)
                            .sum();
                        assert_eq!(batch.len() + due, sound.len(), "{name}: {error:?}");
                    }
                }
            }
        }
    }
}

/// Guards against a stream that lacks pieces because its caller asked it to go on after an id, and the router knows nothing of
/// that position.
#[test]
fn the_events_of_a_stream_that_a_caller_resumes_follow_the_id_that_it_names() {
    struct Case {
        name: &'static str,
        events: &'static str,
        forwarded: &'static str,
        outcome: Outcome,
    }
    let case = |name, events, forwarded, outcome| Case {
        name,
        events,
        forwarded,
        outcome,
    };
    let cases = [
        case("sound", "51 52 53", "51 52 53", Outcome::Complete),
        case(
            "the second id jumps",
            "51 92 53",
            "51",
            Outcome::Resumable(51),
        ),
        // Nothing was forwarded, so that the request is sent again as the caller sent it.
        case("from the beginning", "1 2 3", "", Outcome::Resumable(0)),
        case("the last event again", "50 51", "", Outcome::Resumable(0)),
    ];
    for case in cases {
        let mut sequence = Sequence::asked_after(Some(50));
        let (forwarded, outcome) = push_all(&mut sequence, case.events);
        assert_eq!(forwarded, case.forwarded, "{}", case.name);
        assert_eq!(outcome, case.outcome, "{}", case.name);
        assert!(sequence.is_resumable(), "{}", case.name);
        assert_eq!(sequence.unconfirmed_first(), None, "{}", case.name);
    }
}
