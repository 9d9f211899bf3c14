//! Keeps staged pieces as they are while a load order may still be accepted.
//!
//! An endpoint loads what is staged at the moment at which it accepts an order, and an order without an
//! answer may be accepted later. It names the number of orders that the endpoint had accepted, and is
//! rejected once that number has changed.

use std::rc::Rc;

use base::Digest;
use bytes::Bytes;
use catalog::WeightsVersion;

/// All pieces of a version.
#[derive(Debug, Clone)]
pub(crate) struct Weights {
    pub(crate) version: WeightsVersion,
    pub(crate) digests: Rc<Vec<Digest>>,
    pub(crate) pieces: Vec<Bytes>,
}

/// A load order that was sent, and what was staged then.
#[derive(Debug, Clone)]
pub(crate) struct OpenOrder {
    pub(crate) weights: Weights,
    /// The number of accepted orders that the order names.
    pub(crate) sequence: u64,
    /// Whether an order with that number got no answer.
    is_unanswered: bool,
}

/// How a load order that was sent ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum OrderEnd {
    /// The endpoint accepted it, or had done so before.
    Accepted,
    /// The endpoint did not accept it, or never got it.
    NotAccepted,
    /// There was no answer; it may still be accepted.
    Unanswered,
}

/// The load order that may still be accepted, if there is one.
#[derive(Debug, Default)]
pub(crate) struct OpenOrders(Option<OpenOrder>);

impl OpenOrders {
    /// The order that may still be accepted.
    pub(crate) fn current(&self) -> Option<&OpenOrder> {
        self.0.as_ref()
    }

    /// Whether pieces of a version may be staged.
    pub(crate) fn may_stage(&self, version: WeightsVersion) -> bool {
        self.0.as_ref().is_none_or(|order| order.weights.version == version)
    }

    /// Records that an order is about to be sent.
    pub(crate) fn open(&mut self, weights: Weights, sequence: u64) {
        let is_repeat = self.0.as_ref().is_some_and(|order| order.sequence == sequence);
        let is_unanswered = is_repeat && self.0.as_ref().is_some_and(|order| order.is_unanswered);
        self.0 = Some(OpenOrder { weights, sequence, is_unanswered });
    }

    /// Records an order that an earlier run of this process may have sent.
    pub(crate) fn inherit(&mut self, weights: Weights, sequence: u64) {
        self.0 = Some(OpenOrder { weights, sequence, is_unanswered: true });
    }

    /// Records how the order that was sent last ended.
    pub(crate) fn record_end(&mut self, end: OrderEnd) {
        let Some(order) = &mut self.0 else { return };
        match end {
            OrderEnd::Accepted => self.0 = None,
            OrderEnd::Unanswered => order.is_unanswered = true,
            OrderEnd::NotAccepted if order.is_unanswered => {}
            OrderEnd::NotAccepted => self.0 = None,
        }
    }

    /// Records the number of orders that the endpoint has accepted. Returns whether an order that might
    /// have been accepted cannot be any more.
    pub(crate) fn record_sequence(&mut self, sequence: u64) -> bool {
        let is_over = self.0.as_ref().is_some_and(|order| order.sequence != sequence);
        if is_over {
            self.0 = None;
        }
        is_over
    }
}

#[cfg(test)]
mod tests;
