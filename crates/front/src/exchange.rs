//! Runs the attempts of one client request until a response head can be forwarded.

use std::rc::Rc;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::future::{AbortHandle, Abortable};
use futures_util::stream::FuturesUnordered;
use http::Response;
use tokio::time::sleep;
use wagtailmoor_core::{Instant, Outcome, Reason, TargetId};
use wagtailmoor_dispatch::{AttemptId, Fingerprint, PlanInput, PlanOutput, ResponseHead, Verdict};

use crate::attempt::{self, Destination, SendResult};
use crate::body::{ClientFault, CollectedBody, FaultCell, RequestBody};
use crate::dialect::{AttemptHead, Dialect};
use crate::gateway::{AssignedTarget, Call, Gateway};
use crate::headers;
use crate::pool::{Connection, SharedPool};
use crate::refusal::Refusal;
use crate::response_body::{PooledConnection, ResponseBody};
use crate::response_buffers::ResponseBuffers;
use crate::target_body::TargetBody;
use crate::target_request::TargetRequest;
use crate::tracked_plan::TrackedPlan;
use crate::transfer::Transfer;

/// An asynchronous operation of an exchange.
enum Step<P> {
    Choose(AttemptId, Vec<TargetId>),
    Connect(AttemptId, Destination),
    Send(AttemptId, Connection<P>, Box<http::Request<RequestBody>>),
    Timer(Instant),
}

/// The result of a step.
enum Event<G: Gateway> {
    Assigned(AttemptId, Result<AssignedTarget<G::Guard>, Reason>),
    Connected(AttemptId, Option<Connection<G::ConnectionPermit>>),
    Sent(AttemptId, SendResult<G::ConnectionPermit>),
    Timer,
}

/// I/O state of one attempt.
struct AttemptIo<P> {
    id: AttemptId,
    destination: Option<Destination>,
    connection: Option<Connection<P>>,
    response: Option<Box<Response<TargetBody>>>,
    abort_handle: Option<AbortHandle>,
}

/// An admitted request with everything needed to send it.
pub(crate) struct AdmittedRequest<G: Gateway> {
    pub(crate) call: Rc<Call>,
    pub(crate) fingerprint: Fingerprint,
    pub(crate) request: TargetRequest,
    pub(crate) body: CollectedBody,
    pub(crate) fault: FaultCell,
    pub(crate) credit: G::Credit,
}

/// One client request and the I/O of its attempts.
pub(crate) struct Exchange<G: Gateway> {
    pool: SharedPool<G::ConnectionPermit>,
    buffers: Rc<ResponseBuffers>,
    request: TargetRequest,
    body: Option<CollectedBody>,
    fault: FaultCell,
    credit: Option<G::Credit>,
    attempts: Vec<AttemptIo<G::ConnectionPermit>>,
    tracked: TrackedPlan<G>,
}

/// The response to forward to the client, or the refusal to send in its place.
pub(crate) type ExchangeResult<G> = Result<Response<ResponseBody<G>>, Refusal>;

impl<G: Gateway + 'static> Exchange<G> {
    pub(crate) fn new(
        gateway: Rc<G>,
        pool: SharedPool<G::ConnectionPermit>,
        buffers: Rc<ResponseBuffers>,
        admitted: AdmittedRequest<G>,
    ) -> Self {
        let AdmittedRequest { call, fingerprint, request, body, fault, credit } = admitted;
        let replayable = matches!(body, CollectedBody::Complete(_));
        let tracked = TrackedPlan::new(gateway, call, fingerprint, replayable);
        let (credit, body) = (Some(credit), Some(body));
        Self { pool, buffers, request, body, fault, credit, attempts: Vec::new(), tracked }
    }

    /// Runs attempts until a response head can be forwarded or the request has failed.
    pub(crate) async fn run(mut self) -> ExchangeResult<G> {
        let gateway = Rc::clone(&self.tracked.gateway);
        let (pool, buffers) = (Rc::clone(&self.pool), Rc::clone(&self.buffers));
        let mut steps = FuturesUnordered::new();
        let mut outputs = self.tracked.start();
        loop {
            let mut started = Vec::new();
            let completion = self.apply(&outputs, &mut started);
            if let Some(completion) = completion {
                return self.complete(completion);
            }
            for (attempt, step) in started {
                let (handle, registration) = AbortHandle::new_pair();
                self.set_abort_handle(attempt, handle);
                let call = Rc::clone(&self.tracked.call);
                let step = run_step(
                    Rc::clone(&gateway),
                    Rc::clone(&pool),
                    Rc::clone(&buffers),
                    call,
                    step,
                );
                steps.push(Abortable::new(step, registration));
            }
            outputs = match steps.next().await {
                Some(Ok(event)) => self.on_event(event),
                // A step that was aborted belongs to a cancelled attempt.
                Some(Err(_)) => Vec::new(),
                None => unreachable!("the deadline timer outlasts the plan"),
            };
        }
    }

    fn apply(
        &mut self,
        outputs: &[PlanOutput],
        started: &mut Vec<(Option<AttemptId>, Step<G::ConnectionPermit>)>,
    ) -> Option<Completion> {
        for output in outputs {
            match output {
                PlanOutput::Choose { attempt } => {
                    self.attempts.push(AttemptIo {
                        id: *attempt,
                        destination: None,
                        connection: None,
                        response: None,
                        abort_handle: None,
                    });
                    let tried = self.tracked.plan.tried();
                    started.push((Some(*attempt), Step::Choose(*attempt, tried)));
                }
                PlanOutput::Connect { attempt, .. } => {
                    let destination = self.io(*attempt).destination.clone();
                    let destination = destination.expect("an assigned attempt has a destination");
                    started.push((Some(*attempt), Step::Connect(*attempt, destination)));
                }
                PlanOutput::Send { attempt } => started.push(self.start_send(*attempt)),
                PlanOutput::SetTimer { at } => started.push((None, Step::Timer(*at))),
                PlanOutput::Cancel { attempt } => self.cancel(*attempt),
                PlanOutput::Answer { attempt } => return Some(Completion::Response(*attempt)),
                PlanOutput::Finish(verdict) => return Some(Completion::Verdict(verdict.clone())),
                PlanOutput::Observe { .. } | PlanOutput::Lost { .. } => {}
            }
        }
        None
    }

    fn start_send(&mut self, attempt: AttemptId) -> (Option<AttemptId>, Step<G::ConnectionPermit>) {
        let now = self.tracked.gateway.now();
        if let Some(credit) = self.credit.take() {
            self.tracked.gateway.spend(credit);
        }
        let io = self.io(attempt);
        let destination = io.destination.clone().expect("an assigned attempt has a destination");
        let connection = io.connection.take().expect("a connected attempt has a connection");
        let body = self.request_body(connection.transfer());
        let call = &self.tracked.call;
        let head = AttemptHead {
            call,
            attempt,
            target: &destination.target,
            ownership: destination.ownership,
            remaining: call.deadline.saturating_since(now),
        };
        let request = self.request.attempt(self.tracked.gateway.dialect(), &head, body);
        // Yields no output: the plan only records that bytes may have been sent.
        self.tracked.handle(PlanInput::BytesSent { attempt });
        (Some(attempt), Step::Send(attempt, connection, Box::new(request)))
    }

    fn request_body(&mut self, transfer: &Rc<Transfer>) -> RequestBody {
        match self.body.take() {
            Some(CollectedBody::Complete(bytes)) => {
                let body = RequestBody::kept(bytes.clone(), transfer);
                self.body = Some(CollectedBody::Complete(bytes));
                body
            }
            Some(CollectedBody::Partial(streamed)) => RequestBody::streamed(streamed, transfer),
            None => unreachable!("the plan sends a streamed body only once"),
        }
    }

    /// Keeps the body of a request that was not sent for the next attempt.
    fn take_back(&mut self, body: RequestBody) {
        if let Some(streamed) = body.into_streamed() {
            self.body = Some(CollectedBody::Partial(streamed));
        }
    }

    fn on_event(&mut self, event: Event<G>) -> Vec<PlanOutput> {
        match event {
            // A lost connection may have been recorded since the request was admitted, also by an
            // earlier attempt of this request.
            Event::Assigned(attempt, Ok(_)) if self.tracked.crashes_targets() => {
                self.tracked.handle(PlanInput::NoTarget { attempt, reason: Reason::CrashesTargets })
            }
            Event::Assigned(attempt, Ok(assigned)) => {
                let AssignedTarget { target, address, guard, ownership, send_before } = assigned;
                let destination = Destination { target: target.clone(), address, ownership };
                self.io(attempt).destination = Some(destination);
                self.tracked.handle(PlanInput::Assigned { attempt, target, guard, send_before })
            }
            Event::Assigned(attempt, Err(reason)) => {
                self.tracked.handle(PlanInput::NoTarget { attempt, reason })
            }
            Event::Connected(attempt, Some(connection)) => {
                self.io(attempt).connection = Some(connection);
                self.tracked.handle(PlanInput::Connected { attempt })
            }
            Event::Connected(attempt, None) => self.tracked.handle(PlanInput::Lost { attempt }),
            Event::Sent(attempt, sent) => self.on_sent(attempt, sent),
            Event::Timer => self.tracked.handle(PlanInput::Timer),
        }
    }

    fn on_sent(
        &mut self,
        attempt: AttemptId,
        sent: SendResult<G::ConnectionPermit>,
    ) -> Vec<PlanOutput> {
        match (sent, self.fault.get()) {
            (SendResult::Head(head, response, connection), _) => {
                self.on_response(attempt, head, response, connection)
            }
            (_, Some(ClientFault::Disconnected)) => self.tracked.handle(PlanInput::ClientGone),
            (_, Some(ClientFault::Stalled)) => self.tracked.handle(PlanInput::ClientStalled),
            (SendResult::Unsent(body), None) => {
                self.take_back(body);
                self.tracked.handle(PlanInput::Unsent { attempt })
            }
            (SendResult::Lost, None) => self.tracked.handle(PlanInput::Lost { attempt }),
        }
    }

    fn on_response(
        &mut self,
        attempt: AttemptId,
        head: ResponseHead,
        response: Box<Response<TargetBody>>,
        connection: Connection<G::ConnectionPermit>,
    ) -> Vec<PlanOutput> {
        let gateway = Rc::clone(&self.tracked.gateway);
        let destination = self.io(attempt).destination.clone();
        if let (Some(destination), Some(load)) =
            (destination, gateway.dialect().load_report(response.headers()))
        {
            gateway.on_load_report(&destination.target, load);
        }
        self.check_not_owner(attempt, head);
        let io = self.io(attempt);
        io.response = Some(response);
        io.connection = Some(connection);
        let outputs = self.tracked.handle(PlanInput::Head { attempt, head });
        let forwards = outputs.iter().any(|output| matches!(output, PlanOutput::Answer { .. }));
        if !forwards {
            self.finish_connection(attempt);
        }
        outputs
    }

    /// Passes the connection of a refused attempt to the pool if its response was read completely.
    fn finish_connection(&mut self, attempt: AttemptId) {
        let io = self.io(attempt);
        match (io.response.take(), io.connection.take()) {
            (Some(response), Some(connection)) if response.body().is_complete() => {
                self.pool.finish(connection);
            }
            _ => {}
        }
    }

    fn check_not_owner(&mut self, attempt: AttemptId, head: ResponseHead) {
        let destination = self.io(attempt).destination.clone();
        match destination {
            Some(Destination { target, ownership, .. })
                if head.status == http::StatusCode::MISDIRECTED_REQUEST.as_u16()
                    && head.not_run =>
            {
                self.tracked.gateway.on_not_owner(&self.tracked.call, &target, ownership);
            }
            _ => {}
        }
    }

    fn cancel(&mut self, attempt: AttemptId) {
        let io = self.io(attempt);
        if let Some(handle) = io.abort_handle.take() {
            handle.abort();
        }
        io.connection = None;
        io.response = None;
    }

    fn set_abort_handle(&mut self, attempt: Option<AttemptId>, handle: AbortHandle) {
        if let Some(attempt) = attempt {
            self.io(attempt).abort_handle = Some(handle);
        }
    }

    fn io(&mut self, attempt: AttemptId) -> &mut AttemptIo<G::ConnectionPermit> {
        let found = self.attempts.iter_mut().find(|known| known.id == attempt);
        found.expect("the plan names only attempts that it started")
    }

    fn complete(mut self, completion: Completion) -> ExchangeResult<G> {
        match completion {
            Completion::Verdict(verdict) => {
                let retry_after = self.tracked.gateway.retry_after(&self.tracked.call, &verdict);
                Err(refusal_for(&verdict, retry_after))
            }
            Completion::Response(attempt) => {
                let io = self.io(attempt);
                let response = io.response.take().expect("an answered attempt has a response");
                let connection = io.connection.take().expect("an answered attempt is connected");
                let connection = PooledConnection { pool: self.pool, connection: Some(connection) };
                Ok(forward_response(*response, connection, attempt, self.tracked))
            }
        }
    }
}

/// Why an exchange stops running attempts.
enum Completion {
    Response(AttemptId),
    Verdict(Verdict),
}

async fn run_step<G: Gateway>(
    gateway: Rc<G>,
    pool: SharedPool<G::ConnectionPermit>,
    buffers: Rc<ResponseBuffers>,
    call: Rc<Call>,
    step: Step<G::ConnectionPermit>,
) -> Event<G> {
    match step {
        Step::Choose(attempt, tried) => {
            Event::Assigned(attempt, gateway.assign(&call, &tried).await)
        }
        Step::Connect(attempt, destination) => {
            Event::Connected(attempt, attempt::connect(&*gateway, &pool, &call, &destination).await)
        }
        Step::Send(attempt, connection, request) => {
            let sent = attempt::send(&*gateway, &call, connection, *request, &buffers).await;
            Event::Sent(attempt, sent)
        }
        Step::Timer(at) => {
            sleep(at.saturating_since(gateway.now())).await;
            Event::Timer
        }
    }
}

fn refusal_for(verdict: &Verdict, retry_after: Option<Duration>) -> Refusal {
    let reason = verdict.reason.unwrap_or(Reason::TargetLost);
    let detail = match verdict.outcome {
        Outcome::NotRun => "no target ran the request",
        _ => "a target may have run the request",
    };
    Refusal { outcome: verdict.outcome, retry_after, ..Refusal::not_run(reason, detail) }
}

fn forward_response<G: Gateway + 'static>(
    response: Response<TargetBody>,
    connection: PooledConnection<G::ConnectionPermit>,
    attempt: AttemptId,
    tracked: TrackedPlan<G>,
) -> Response<ResponseBody<G>> {
    let (mut parts, body) = response.into_parts();
    headers::remove_hop_by_hop(&mut parts.headers);
    tracked.gateway.dialect().translate_response(&mut parts.headers);
    parts.version = http::Version::HTTP_11;
    Response::from_parts(parts, ResponseBody::new(body, connection, attempt, tracked))
}
