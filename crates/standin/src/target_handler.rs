//! HTTP request handling of a target.

use std::rc::Rc;
use std::time::Duration;

use http::{Method, Request, StatusCode, header};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde_json::json;

use crate::connections::Handler;
use crate::grant_messages::{GrantRefusal, GrantRequest, RevocationReply};
use crate::reply::{self, CloseConnection, Reply};
use crate::target::TargetState;
use crate::work::{self, TargetRequest};

impl Handler for TargetState {
    async fn handle(self: Rc<Self>, request: Request<Incoming>) -> Result<Reply, CloseConnection> {
        let runs_after_thaw = self.faults.is_frozen() && self.settings.borrow().runs_after_freeze;
        if runs_after_thaw {
            return work::run_detached(&self.clone(), self.respond(request)).await;
        }
        self.respond(request).await
    }
}

impl TargetState {
    async fn respond(self: Rc<Self>, request: Request<Incoming>) -> Result<Reply, CloseConnection> {
        self.faults.wait_until_thawed().await;
        let (head, body) = request.into_parts();
        if head.headers.contains_key(header::AUTHORIZATION) {
            self.record_violation("customer-key", format!("authorization on {}", head.uri.path()));
        }
        let body = body.collect().await.map_err(|_| CloseConnection)?.to_bytes();
        self.faults.wait_until_thawed().await;
        let checked = self.settings.borrow().checks_grants();
        match (&head.method, head.uri.path()) {
            (&Method::GET, "/wagtailmoor/load") => Ok(self.load_report()),
            (&Method::GET, "/wagtailmoor/grants") if checked => {
                let held = self.grants.borrow().held(self.now());
                Ok(reply::json(StatusCode::OK, &held))
            }
            (&Method::POST, "/wagtailmoor/grants") if checked => Ok(self.grant(&body)),
            (&Method::POST, "/wagtailmoor/revocations") if checked => self.revoke(&body).await,
            (_, path) if path.starts_with("/wagtailmoor/") => {
                Ok(reply::empty(StatusCode::NOT_FOUND))
            }
            _ => work::run(self, TargetRequest::new(&head, body)).await,
        }
    }

    fn load_report(&self) -> Reply {
        self.record_load();
        let settings = self.settings.borrow();
        let lag = Duration::from_millis(settings.report_lag_ms);
        let report = match &settings.false_report {
            Some(report) => Some(report.clone()),
            None => self.reports.borrow().delayed(self.now(), lag),
        };
        reply::json(StatusCode::OK, &report)
    }

    fn grant(&self, body: &[u8]) -> Reply {
        let grant = match self.parse_grant(body) {
            Ok(grant) => grant,
            Err(refusal) => return *refusal,
        };
        match self.grants.borrow_mut().grant(self.now(), &grant) {
            Ok(accepted) => reply::json(StatusCode::OK, &accepted),
            Err(GrantRefusal::OldGeneration(generation)) => old_generation(generation),
            Err(GrantRefusal::Expired(clock)) => {
                reply::json(StatusCode::GONE, &json!({ "clock": clock }))
            }
            Err(GrantRefusal::Unknown(clock)) => {
                reply::json(StatusCode::GONE, &json!({ "clock": clock, "unknown": true }))
            }
        }
    }

    async fn revoke(&self, body: &[u8]) -> Result<Reply, CloseConnection> {
        let revocation = match self.parse_grant(body) {
            Ok(revocation) => revocation,
            Err(refusal) => return Ok(*refusal),
        };
        if let Err(generation) = self.grants.borrow_mut().revoke(&revocation) {
            return Ok(old_generation(generation));
        }
        loop {
            let finished = self.finished.notified();
            if self.grants.borrow().is_drained(&revocation) {
                break;
            }
            finished.await;
        }
        self.faults.wait_until_thawed().await;
        let grant_id = revocation.grant_id;
        Ok(reply::json(StatusCode::OK, &RevocationReply { grant_id }))
    }

    fn parse_grant(&self, body: &[u8]) -> Result<GrantRequest, Box<Reply>> {
        let refuse = |message: String| Box::new(reply::error(StatusCode::BAD_REQUEST, message));
        let grant: GrantRequest =
            serde_json::from_slice(body).map_err(|error| refuse(error.to_string()))?;
        match grant.back_end == self.settings.borrow().back_end {
            true => Ok(grant),
            false => Err(refuse(format!("this server is not of back end {}", grant.back_end))),
        }
    }
}

fn old_generation(generation: wagtailmoor_core::Generation) -> Reply {
    reply::json(StatusCode::CONFLICT, &json!({ "generation": generation }))
}
