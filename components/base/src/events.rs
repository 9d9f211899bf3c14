//! Streams of events.

/// Content type of a stream of events.
pub const EVENT_STREAM: &str = "text/event-stream";

/// A position in a stream of events. Lines end with a line feed, before which a carriage return may
/// stand; an empty line ends an event.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EventPosition {
    line: LineStart,
    /// Whether a line of the current event is complete.
    has_line: bool,
}

/// What the current line holds so far.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum LineStart {
    #[default]
    Empty,
    CarriageReturn,
    Text,
}

impl EventPosition {
    /// Moves past one byte. Returns whether an event ends with it.
    pub fn advance(&mut self, byte: u8) -> bool {
        match (byte, self.line) {
            (b'\n', LineStart::Text) => {
                *self = EventPosition { line: LineStart::Empty, has_line: true };
                false
            }
            (b'\n', LineStart::Empty | LineStart::CarriageReturn) => {
                *self = EventPosition::default();
                true
            }
            (b'\r', LineStart::Empty) => {
                self.line = LineStart::CarriageReturn;
                false
            }
            _ => {
                self.line = LineStart::Text;
                false
            }
        }
    }

    /// Moves past `data`. Returns the number of bytes up to the end of the last event that ends in it.
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
        self.has_line || self.line != LineStart::Empty
    }
}
