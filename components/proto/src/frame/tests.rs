use super::*;

#[test]
fn a_truncated_line_is_not_a_frame() {
    let mut line = Vec::new();
    Frame::data(3, b"abc").write(&mut line).unwrap();
    assert_eq!(Frame::read(&mut &line[..]).unwrap(), Frame::data(3, b"abc"));
    let truncated = &line[..line.len() - 1];
    assert!(matches!(Frame::read(&mut &truncated[..]), Err(FrameError::Closed)));
}
