//! Reads staged pieces back before a load, and tells how old that check is.
//!
//! An endpoint loads what is staged when it accepts an order, and a piece may turn bad at any time. So the
//! order is sent only while the check is recent.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use base::Digest;
use bytes::Bytes;
use catalog::{ModelId, WeightsVersion};
use lifecycle::BootTime;
use slog::{info, warn};
use tokio::task::JoinSet;

use crate::{
    engine::EngineError,
    fleet_view::WeightsLayout,
    open_order::Weights,
    shared::{Stager, now},
};

/// Time for which a staged piece may have been bad when the endpoint accepts an order.
pub(crate) const SPOILT_ALLOWANCE: Duration = Duration::from_secs(3);
/// Maximum age of a check when an order is sent. The rest of the allowance is for the order to arrive.
pub(crate) const MAX_CHECK_AGE: Duration = Duration::from_millis(2500);
/// Time in which all pieces are to be read. Pieces are read at the same time if that would take longer.
const READ_TIME: Duration = Duration::from_secs(1);
/// Maximum number of pieces that are read at the same time.
const MAX_READS: usize = 32;

/// A check that found all staged pieces right.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct StagedCheck {
    /// Time before which no piece was read.
    began_at: Instant,
    /// The same by the clock that counts suspensions of the VM.
    began_boot: BootTime,
}

impl StagedCheck {
    /// Begins a check.
    fn begin() -> StagedCheck {
        StagedCheck { began_at: now(), began_boot: BootTime::now() }
    }

    /// Returns the time since the check began, suspensions included.
    pub(crate) fn age(self) -> Duration {
        now().saturating_duration_since(self.began_at).max(self.began_boot.elapsed())
    }
}

/// A staged piece and what it must be.
struct ExpectedPiece {
    model: ModelId,
    version: WeightsVersion,
    piece: u32,
    digest: Digest,
    body: Bytes,
}

impl Stager {
    /// Reads the staged pieces back and replaces those that do not match their digest. `None` if not all
    /// pieces are correct now, or if it took so long that the first may be bad again.
    pub(crate) async fn check_staged(
        self: &Rc<Stager>,
        layout: &WeightsLayout,
        weights: &Weights,
    ) -> Option<StagedCheck> {
        let check = StagedCheck::begin();
        let mut expected = expected_pieces(&layout.model, weights);
        let (total, mut done) = (expected.len(), 0);
        let mut limit = self.read_limit.get().max(1);
        let mut reads = JoinSet::new();
        loop {
            while reads.len() < limit
                && let Some(piece) = expected.next()
            {
                reads.spawn_local(self.clone().check_piece(piece));
            }
            let Some(ended) = reads.join_next().await else { break };
            if !ended.unwrap_or(false) {
                return None;
            }
            done += 1;
            if check.age() > READ_TIME.mul_f64(done as f64 / total as f64) {
                limit = MAX_READS.min(limit + 1);
            }
        }
        let age = check.age();
        let is_recent = age <= MAX_CHECK_AGE;
        // After a check that took too long, the next one begins with as many reads.
        self.read_limit.set(if is_recent { 1 } else { limit });
        if !is_recent {
            warn!(self.log, "staged pieces not checked in time"; "version" => weights.version.0,
                "took_ms" => age.as_millis() as u64, "reads" => limit);
        }
        is_recent.then_some(check)
    }

    /// Reads a staged piece back and replaces it if it is wrong. Returns whether it is right now.
    async fn check_piece(self: Rc<Stager>, expected: ExpectedPiece) -> bool {
        match self.is_staged(&expected).await {
            Ok(true) => return true,
            Ok(false) if !self.may_order(expected.version) => return false,
            Ok(false) => {}
            Err(err) => return self.log_unread(&expected, &err),
        }
        let ExpectedPiece { model, version, piece, body, .. } = &expected;
        info!(self.log, "staged piece replaced"; "version" => version.0, "piece" => piece);
        if let Err(err) = self.put_piece(model, *piece, body.clone()).await {
            warn!(self.log, "cannot stage a piece"; "piece" => piece, "error" => %err);
            return false;
        }
        match self.is_staged(&expected).await {
            Ok(is_staged) => is_staged,
            Err(err) => self.log_unread(&expected, &err),
        }
    }

    async fn is_staged(&self, expected: &ExpectedPiece) -> Result<bool, EngineError> {
        let staged = self.get_staged_piece(&expected.model, expected.piece).await?;
        Ok(staged.is_some_and(|staged| Digest::of(&staged) == expected.digest))
    }

    /// Logs that a piece could not be read, so that it does not count as right.
    fn log_unread(&self, expected: &ExpectedPiece, err: &EngineError) -> bool {
        warn!(self.log, "staged piece not read"; "piece" => expected.piece, "error" => %err);
        false
    }
}

fn expected_pieces(
    model: &ModelId,
    weights: &Weights,
) -> impl ExactSizeIterator<Item = ExpectedPiece> {
    let (model, version) = (model.clone(), weights.version);
    let (digests, pieces) = (weights.digests.clone(), weights.pieces.clone());
    pieces.into_iter().enumerate().map(move |(n, body)| ExpectedPiece {
        model: model.clone(),
        version,
        piece: n as u32,
        digest: digests[n],
        body,
    })
}
