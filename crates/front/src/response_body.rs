//! The body of the response to a client.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use snafu::Snafu;
use tokio::time::{Sleep, sleep};
use wagtailmoor_dispatch::{AttemptId, PlanInput, PlanOutput};

use crate::gateway::Gateway;
use crate::pool::{Connection, SharedPool};
use crate::target_body::TargetBody;
use crate::tracked_plan::TrackedPlan;

/// The response is incomplete. The client's connection is closed before the end of the body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("target response truncated"))]
pub struct ResponseTruncated;

/// The body of a forwarded response or of a refusal.
pub struct ResponseBody<G: Gateway> {
    state: State<G>,
}

enum State<G: Gateway> {
    Refusal(http_body_util::Full<Bytes>),
    Forwarded(Box<ForwardedResponse<G>>),
    Done,
}

/// A connection that is passed back to its pool when the exchange ends cleanly.
pub(crate) struct PooledConnection<P> {
    pub(crate) pool: SharedPool<P>,
    pub(crate) connection: Option<Connection<P>>,
}

struct ForwardedResponse<G: Gateway> {
    body: TargetBody,
    connection: PooledConnection<G::ConnectionPermit>,
    attempt: AttemptId,
    tracked: TrackedPlan<G>,
    timer: Option<Pin<Box<Sleep>>>,
}

impl<G: Gateway + 'static> ResponseBody<G> {
    pub(crate) fn new(
        body: TargetBody,
        connection: PooledConnection<G::ConnectionPermit>,
        attempt: AttemptId,
        tracked: TrackedPlan<G>,
    ) -> Self {
        let mut response = ForwardedResponse { body, connection, attempt, tracked, timer: None };
        // The timers set so far belong to the exchange; this input yields those for the body.
        let outputs = response.tracked.handle(PlanInput::BodyProgress { attempt });
        response.apply(&outputs);
        if response.timer.is_none() {
            let now = response.tracked.gateway.now();
            let remaining = response.tracked.call.deadline.saturating_since(now);
            response.timer = Some(Box::pin(sleep(remaining)));
        }
        match response.body.is_end_stream() {
            true => {
                response.on_body_end();
                Self { state: State::Done }
            }
            false => Self { state: State::Forwarded(Box::new(response)) },
        }
    }

    pub(crate) fn refusal(body: http_body_util::Full<Bytes>) -> Self {
        Self { state: State::Refusal(body) }
    }
}

impl<G: Gateway + 'static> ForwardedResponse<G> {
    /// Applies the outputs of the plan; returns whether the response must be aborted.
    fn apply(&mut self, outputs: &[PlanOutput]) -> bool {
        let mut truncated = false;
        for output in outputs {
            match output {
                PlanOutput::SetTimer { at } => {
                    let remaining = at.saturating_since(self.tracked.gateway.now());
                    self.timer = Some(Box::pin(sleep(remaining)));
                }
                PlanOutput::Cancel { .. } => drop(self.connection.connection.take()),
                PlanOutput::Finish(verdict) => truncated = verdict.is_response_incomplete(),
                _ => {}
            }
        }
        truncated
    }

    fn poll(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, ResponseTruncated>>> {
        let attempt = self.attempt;
        match Pin::new(&mut self.body).poll_frame(context) {
            Poll::Ready(Some(Ok(frame))) => {
                let outputs = self.tracked.handle(PlanInput::BodyProgress { attempt });
                self.apply(&outputs);
                // With a known length, hyper does not poll again after the last byte.
                if self.body.is_end_stream() {
                    self.on_body_end();
                }
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Ready(Some(Err(_))) => {
                let outputs = self.tracked.handle(PlanInput::Lost { attempt });
                self.apply(&outputs);
                Poll::Ready(Some(Err(ResponseTruncated)))
            }
            Poll::Ready(None) => {
                self.on_body_end();
                Poll::Ready(None)
            }
            Poll::Pending => self.poll_timer(context),
        }
    }

    fn poll_timer(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, ResponseTruncated>>> {
        loop {
            match self.timer.as_mut().map(|timer| timer.as_mut().poll(context)) {
                Some(Poll::Ready(())) => {
                    self.timer = None;
                    let outputs = self.tracked.handle(PlanInput::Timer);
                    if self.apply(&outputs) {
                        return Poll::Ready(Some(Err(ResponseTruncated)));
                    }
                }
                _ => return Poll::Pending,
            }
        }
    }

    fn on_body_end(&mut self) {
        self.tracked.handle(PlanInput::BodyEnded { attempt: self.attempt });
        if let Some(connection) = self.connection.connection.take() {
            self.connection.pool.finish(connection);
        }
    }
}

impl<G: Gateway + 'static> Body for ResponseBody<G> {
    type Data = Bytes;
    type Error = ResponseTruncated;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, ResponseTruncated>>> {
        let this = self.get_mut();
        let polled = match &mut this.state {
            State::Refusal(body) => {
                return Pin::new(body).poll_frame(context).map_err(|never| match never {});
            }
            State::Forwarded(response) => response.poll(context),
            State::Done => return Poll::Ready(None),
        };
        match &polled {
            Poll::Ready(None) | Poll::Ready(Some(Err(_))) => this.state = State::Done,
            Poll::Ready(Some(Ok(_))) | Poll::Pending => {}
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        match &self.state {
            State::Refusal(body) => body.is_end_stream(),
            State::Forwarded(response) => response.body.is_end_stream(),
            State::Done => true,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.state {
            State::Refusal(body) => body.size_hint(),
            State::Forwarded(response) => response.body.size_hint(),
            State::Done => SizeHint::with_exact(0),
        }
    }
}
