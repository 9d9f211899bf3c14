//! Reads staged pieces back before a load, and tells how old that check is.
//!
//! An endpoint loads what is staged when it accepts an order, and a piece may turn bad at any time. So the
//! order is sent only while the check is recent.

use std::{
    ops::ControlFlow,
    rc::Rc,
    time::{Duration, Instant},
};

use base::Digest;
use bytes::Bytes;
use catalog::{ModelId, WeightsVersion};
use lifecycle::BootTime;
use slog::{info, warn};
use tokio::{task::JoinSet, time::timeout_at};

use crate::{
    engine::EngineError,
    fleet_view::WeightsLayout,
    open_order::Weights,
    read_pace::ReadPace,
    shared::{Stager, now},
};

/// Time for which a staged piece may have been bad when the endpoint accepts an order.
pub(crate) const SPOILT_ALLOWANCE: Duration = Duration::from_secs(3);
/// Maximum age of a check when an order is sent. The rest of the allowance is for the order to arrive.
pub(crate) const MAX_CHECK_AGE: Duration = Duration::from_millis(2500);

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
        let pieces = expected_pieces(&layout.model, weights);
        let mut unchecked = pieces.len();
        let reads = pieces.map(|piece| self.clone().check_piece(piece));
        self.run_reads(reads, |is_right| {
            unchecked -= usize::from(is_right);
            if is_right { ControlFlow::Continue(()) } else { ControlFlow::Break(()) }
        })
        .await;
        if unchecked > 0 {
            return None;
        }
        let age = check.age();
        let is_recent = age <= MAX_CHECK_AGE;
        if !is_recent {
            warn!(self.log, "staged pieces not checked in time"; "version" => weights.version.0,
                "took_ms" => age.as_millis() as u64, "reads" => self.read_limit.get());
        }
        is_recent.then_some(check)
    }

    /// Runs `reads` of staged pieces, as many at the same time as their pace asks for, and hands their results to
    /// `handle` until it breaks off.
    pub(crate) async fn run_reads<R>(
        &self,
        mut reads: impl ExactSizeIterator<Item = R>,
        mut handle: impl FnMut(R::Output) -> ControlFlow<()>,
    ) where
        R: Future<Output: 'static> + 'static,
    {
        let mut pace = ReadPace::new(reads.len(), self.read_limit.get(), now());
        let mut running = JoinSet::new();
        loop {
            while running.len() < pace.limit()
                && let Some(read) = reads.next()
            {
                running.spawn_local(read);
            }
            match timeout_at(pace.silent_at().into(), running.join_next()).await {
                Ok(Some(Ok(result))) => {
                    pace.record_end(now());
                    if handle(result).is_break() {
                        break;
                    }
                }
                Ok(Some(Err(err))) => {
                    warn!(self.log, "read of a staged piece ended"; "error" => %err);
                    break;
                }
                Ok(None) => break,
                Err(_) => pace.record_silence(reads.len(), now()),
            }
        }
        self.read_limit.set(pace.next_limit(now()));
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
