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
use crate::tracked::Tracked;

/// The response is incomplete. The client's connection is closed before the end of the body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("the answer of the target was cut short"))]
pub struct CutShort;

/// The body of a forwarded response or of a refusal.
pub struct AnswerBody<G: Gateway> {
    state: State<G>,
}

enum State<G: Gateway> {
    Refusal(http_body_util::Full<Bytes>),
    Answer(Box<Answer<G>>),
    Done,
}

/// A connection that is returned to its pool when the exchange ends cleanly.
pub(crate) struct CheckedOut<P> {
    pub(crate) pool: SharedPool<P>,
    pub(crate) connection: Option<Connection<P>>,
}

struct Answer<G: Gateway> {
    body: TargetBody,
    connection: CheckedOut<G::ConnectionPermit>,
    attempt: AttemptId,
    tracked: Tracked<G>,
    timer: Option<Pin<Box<Sleep>>>,
}

impl<G: Gateway> AnswerBody<G> {
    pub(crate) fn new(
        body: TargetBody,
        connection: CheckedOut<G::ConnectionPermit>,
        attempt: AttemptId,
        tracked: Tracked<G>,
    ) -> Self {
        let mut answer = Answer { body, connection, attempt, tracked, timer: None };
        // The timers set so far belong to the exchange; this input yields those for the body.
        let outputs = answer.tracked.on(PlanInput::BodyProgress { attempt });
        answer.act(&outputs);
        if answer.timer.is_none() {
            let now = answer.tracked.gateway.now();
            let left = answer.tracked.call.deadline.saturating_since(now);
            answer.timer = Some(Box::pin(sleep(left)));
        }
        match answer.body.is_end_stream() {
            true => {
                answer.end();
                Self { state: State::Done }
            }
            false => Self { state: State::Answer(Box::new(answer)) },
        }
    }

    pub(crate) fn refusal(body: http_body_util::Full<Bytes>) -> Self {
        Self { state: State::Refusal(body) }
    }
}

impl<G: Gateway> Answer<G> {
    /// Applies the outputs of the plan; returns whether the response must be aborted.
    fn act(&mut self, outputs: &[PlanOutput]) -> bool {
        let mut cut = false;
        for output in outputs {
            match output {
                PlanOutput::SetTimer { at } => {
                    let left = at.saturating_since(self.tracked.gateway.now());
                    self.timer = Some(Box::pin(sleep(left)));
                }
                PlanOutput::Cancel { .. } => drop(self.connection.connection.take()),
                PlanOutput::Finish(verdict) => cut = verdict.is_response_incomplete(),
                _ => {}
            }
        }
        cut
    }

    fn poll(&mut self, context: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, CutShort>>> {
        let attempt = self.attempt;
        match Pin::new(&mut self.body).poll_frame(context) {
            Poll::Ready(Some(Ok(frame))) => {
                let outputs = self.tracked.on(PlanInput::BodyProgress { attempt });
                self.act(&outputs);
                // With a known length, hyper does not poll again after the last byte.
                if self.body.is_end_stream() {
                    self.end();
                }
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Ready(Some(Err(_))) => {
                let outputs = self.tracked.on(PlanInput::Lost { attempt });
                self.act(&outputs);
                Poll::Ready(Some(Err(CutShort)))
            }
            Poll::Ready(None) => {
                self.end();
                Poll::Ready(None)
            }
            Poll::Pending => self.poll_timer(context),
        }
    }

    fn poll_timer(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, CutShort>>> {
        loop {
            match self.timer.as_mut().map(|timer| timer.as_mut().poll(context)) {
                Some(Poll::Ready(())) => {
                    self.timer = None;
                    let outputs = self.tracked.on(PlanInput::Timer);
                    if self.act(&outputs) {
                        return Poll::Ready(Some(Err(CutShort)));
                    }
                }
                _ => return Poll::Pending,
            }
        }
    }

    fn end(&mut self) {
        self.tracked.on(PlanInput::BodyEnded { attempt: self.attempt });
        if let Some(connection) = self.connection.connection.take() {
            self.connection.pool.put_back(connection);
        }
    }
}

impl<G: Gateway> Body for AnswerBody<G> {
    type Data = Bytes;
    type Error = CutShort;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, CutShort>>> {
        let this = self.get_mut();
        let polled = match &mut this.state {
            State::Refusal(body) => {
                return Pin::new(body).poll_frame(context).map_err(|never| match never {});
            }
            State::Answer(answer) => answer.poll(context),
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
            State::Answer(answer) => answer.body.is_end_stream(),
            State::Done => true,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.state {
            State::Refusal(body) => body.size_hint(),
            State::Answer(answer) => answer.body.size_hint(),
            State::Done => SizeHint::with_exact(0),
        }
    }
}
