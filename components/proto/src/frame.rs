//! Frames of an answer between agent and entry: one JSON line each.

use std::io::{BufRead, Write};

use base::{AttemptId, ReleaseId, message};
use base64::{Engine as _, engine::general_purpose::STANDARD};

use crate::{Crash, ExecutionStatus, RefusalReason};

/// Longest accepted line, in bytes.
const MAX_LINE_BYTES: u64 = 1 << 20;

message! {
    /// One step of an answer.
    #[serde(tag = "frame", rename_all = "snake_case")]
    pub enum Frame {
        /// The endpoint began to answer.
        Head {
            /// The attempt that is answered.
            attempt: AttemptId,
            /// HTTP status of the answer.
            status: u16,
            /// Content type of the answer.
            content_type: String,
            /// The release that answers; `None` for plain services.
            release: Option<ReleaseId>,
        },
        /// The next bytes of the answer.
        Data {
            /// Bytes before these.
            offset: u64,
            /// The bytes, in base64.
            body: String,
        },
        /// Nothing new, but the attempt is alive.
        Heartbeat,
        /// The answer is whole.
        End {
            /// All bytes of the answer.
            length: u64,
        },
        /// The attempt was refused.
        Refused {
            /// Why.
            reason: RefusalReason,
            /// Whether it ran.
            fate: ExecutionStatus,
        },
        /// The endpoint failed while it answered.
        Failed {
            /// The crash of the endpoint that ended it, as far as the agent can tell.
            crash: Option<Crash>,
            /// Whether it ran.
            fate: ExecutionStatus,
        },
    }
}

/// Why a frame could not be read.
#[derive(Debug)]
pub enum FrameError {
    /// The connection failed or went silent.
    Io(std::io::Error),
    /// The connection ended before the answer was whole.
    Closed,
    /// The line is not a frame.
    Malformed(String),
}

impl std::fmt::Display for FrameError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            FrameError::Io(err) => write!(f, "connection failed: {err}; try another"),
            FrameError::Closed => f.write_str("connection ended early; ask for the fate"),
            FrameError::Malformed(err) => write!(f, "frame is malformed: {err}; update the peer"),
        }
    }
}

impl std::error::Error for FrameError {}

impl Frame {
    /// A data frame.
    pub fn data(offset: u64, body: &[u8]) -> Frame {
        Frame::Data { offset, body: STANDARD.encode(body) }
    }

    /// The bytes of a data frame's body.
    pub fn decode(body: &str) -> Result<Vec<u8>, FrameError> {
        STANDARD.decode(body).map_err(|err| FrameError::Malformed(err.to_string()))
    }

    /// Writes the frame as a line and flushes it.
    pub fn write(&self, out: &mut impl Write) -> std::io::Result<()> {
        let mut line = serde_json::to_vec(self)?;
        line.push(b'\n');
        out.write_all(&line)?;
        out.flush()
    }

    /// Reads the next frame.
    pub fn read(input: &mut impl BufRead) -> Result<Frame, FrameError> {
        let mut line = Vec::new();
        let mut limited = std::io::Read::take(input, MAX_LINE_BYTES);
        limited.read_until(b'\n', &mut line).map_err(FrameError::Io)?;
        if line.last() != Some(&b'\n') {
            return Err(FrameError::Closed);
        }
        serde_json::from_slice(&line).map_err(|err| FrameError::Malformed(err.to_string()))
    }
}

#[cfg(test)]
mod tests;
