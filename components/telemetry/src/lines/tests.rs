use super::*;

fn line(length: usize) -> Vec<u8> {
    let mut line = vec![b'x'; length - 1];
    line.push(b'\n');
    line
}

#[test]
fn lines_are_written_in_blocks_of_whole_lines() {
    let lines = [line(3000), line(1000), line(200), line(5000), line(4096), line(1)];
    let all = lines.concat();
    let blocks: Vec<&[u8]> = blocks(&all).collect();
    let lengths: Vec<usize> = blocks.iter().map(|block| block.len()).collect();
    assert_eq!(lengths, [4000, 200, 5000, 4096, 1]);
    assert_eq!(blocks.concat(), all);
}

#[test]
fn bytes_without_an_end_of_line_are_written() {
    let all = [line(4000), vec![b'x'; 5000]].concat();
    let blocks: Vec<&[u8]> = blocks(&all).collect();
    assert_eq!(blocks, [&all[..4000], &all[4000..]]);
    assert_eq!(super::blocks(&[]).count(), 0);
}
