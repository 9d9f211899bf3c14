//! Streams of events.

/// Content type of a stream of events.
pub const EVENT_STREAM: &str = "text/event-stream";

/// A position in a stream of events. Lines end with a line feed, before which a carriage return may
/// stand; an empty line ends an event. A line that begins with a colon is a comment.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EventPosition {
    line: Line,
    /// Whether a line is complete since the last empty one.
    has_line: bool,
    /// Whether a line since the last empty one is no comment.
    has_field: bool,
    /// Number of events that have ended, those of comments alone excepted.
    event_count: u64,
}

/// What the current line holds so far.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum Line {
    #[default]
    Empty,
    CarriageReturn,
    Comment,
    Field,
}

impl EventPosition {
    /// Moves past one byte. Returns whether an empty line ends with it.
    pub fn advance(&mut self, byte: u8) -> bool {
        match (byte, self.line) {
            (b'\n', Line::Empty | Line::CarriageReturn) => {
                let event_count = self.event_count + u64::from(self.has_field);
                *self = EventPosition { event_count, ..EventPosition::default() };
                return true;
            }
            (b'\n', Line::Comment | Line::Field) => {
                self.line = Line::Empty;
                self.has_line = true;
            }
            (b'\r', Line::Empty) => self.line = Line::CarriageReturn,
            (b':', Line::Empty) => self.line = Line::Comment,
            (_, Line::Comment) => {}
            _ => {
                self.line = Line::Field;
                self.has_field = true;
            }
        }
        false
    }

    /// Moves past `data`. Returns the number of bytes up to the end of the last empty line in it.
    pub fn advance_all(&mut self, data: &[u8]) -> usize {
        let mut end = 0;
        for (at, byte) in data.iter().enumerate() {
            if self.advance(*byte) {
                end = at + 1;
            }
        }
        end
    }

    /// Whether an event has begun and not ended.
    pub fn is_inside_event(self) -> bool {
        self.has_line || self.line != Line::Empty
    }

    /// Number of events that have ended, those of comments alone excepted.
    pub fn event_count(self) -> u64 {
        self.event_count
    }
}

#[cfg(test)]
mod tests;
