use peering::{MAX_DATAGRAM, Message};

use super::*;

const SECOND: Duration = Duration::from_secs(1);

fn keys(parts: &[&'static str]) -> Vec<PartKey> {
    let parts: Vec<Bytes> = parts.iter().map(|part| Bytes::from_static(part.as_bytes())).collect();
    part_keys(&"llm".parse().unwrap(), &parts)
}

fn request(number: u8) -> Digest {
    Digest([number; 32])
}

/// Exchanges all news between two gateways.
fn exchange(a: &mut SuspectParts, b: &mut SuspectParts, now: Instant) {
    while let Some(news) = a.take_news(now) {
        b.record_news(&news, now);
    }
    while let Some(news) = b.take_news(now) {
        a.record_news(&news, now);
    }
}

#[test]
fn the_last_part_of_a_prompt_is_not_shared() {
    assert_eq!(keys(&[]), []);
    assert_eq!(keys(&["a"]), []);
    assert_eq!(keys(&["a", "b", "a", "c"]), keys(&["a", "b", "x"]));
    let other = part_keys(&"other".parse().unwrap(), &[Bytes::from("a"), Bytes::from("b")]);
    assert_ne!(keys(&["a", "b"]), other);
}

/// Each gateway sees only some of the crashes that a part causes.
#[test]
fn crashes_that_several_gateways_saw_count_together() {
    let (mut a, mut b) = (SuspectParts::default(), SuspectParts::default());
    let (parts, mut now) = (keys(&["shared", "deadly", "own"]), Instant::now());
    for number in 0..3 {
        let gateway = if number % 2 == 0 { &mut a } else { &mut b };
        gateway.record_loss(&request(number), &parts, now);
        exchange(&mut a, &mut b, now);
        now += SECOND;
    }
    for gateway in [&a, &b] {
        assert_eq!(gateway.refused_part(&parts), Some(parts[1]));
        assert_eq!(gateway.refused_part(&keys(&["shared", "own"])), None);
    }
}

/// A part is answered at one gateway while requests with it are lost at another.
#[test]
fn an_answer_at_another_gateway_clears_a_part() {
    let (mut a, mut b) = (SuspectParts::default(), SuspectParts::default());
    let (parts, mut now) = (keys(&["shared", "own"]), Instant::now());
    for number in 0..6 {
        a.record_loss(&request(number), &parts, now);
        exchange(&mut a, &mut b, now);
        b.record_answer(&parts, now + SECOND / 2);
        exchange(&mut a, &mut b, now + SECOND / 2);
        now += SECOND;
    }
    assert_eq!(a.refused_part(&parts), None);
    assert_eq!(b.refused_part(&parts), None);
}

/// A gateway that starts knows nothing of the crashes before.
#[test]
fn a_gateway_that_starts_learns_which_parts_are_refused() {
    let (mut old, mut new) = (SuspectParts::default(), SuspectParts::default());
    let (parts, now) = (keys(&["deadly", "own"]), Instant::now());
    assert!(old.refusals(now).is_none());
    for number in 0..3 {
        old.record_loss(&request(number), &parts, now + SECOND * number.into());
    }
    let told = old.refusals(now + SECOND * 3).unwrap();
    assert_eq!(new.record_news(&told, now + SECOND * 3), parts);
    assert_eq!(new.record_news(&told, now + SECOND * 4), []);
    assert_eq!(new.refused_part(&parts), Some(parts[0]));
    // It ends when it ends elsewhere.
    new.expire(now + Duration::from_secs(121));
    assert_eq!(new.refused_part(&parts), Some(parts[0]));
    new.expire(now + Duration::from_secs(122));
    assert_eq!(new.refused_part(&parts), None);
}

#[test]
fn each_piece_of_news_is_sent_twice_and_fits_a_datagram() {
    let (mut suspects, now) = (SuspectParts::default(), Instant::now());
    let many = keys(&["a", "b", "c", "d", "e", "f", "g", "h", "i", "own"]);
    assert_eq!(many.len(), MAX_PARTS);
    for number in 0..20 {
        suspects.record_loss(&request(number), &many, now);
    }
    suspects.record_answer(&many, now);
    let mut lost = 0;
    let mut answered = 0;
    while let Some(news) = suspects.take_news(now + Duration::from_secs(60)) {
        lost += news.lost.len();
        answered += news.answered.len();
        assert!(Message::Parts(news).encode().unwrap().len() <= MAX_DATAGRAM);
    }
    assert_eq!((lost, answered), (2 * 20, 2 * MAX_PARTS));
}
