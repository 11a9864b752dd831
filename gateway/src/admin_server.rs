//! The listener for operators' tools: status, metrics and explanations.

use std::convert::Infallible;
use std::sync::Arc;

use damaskloom_lib::ids::{Epoch, Revision, TargetId, VmId};
use damaskloom_lib::target_picker::TargetStanding;
use damaskloom_lib::verdict::TargetExplanation;
use http::header::{CONTENT_TYPE, HeaderValue};
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde::Serialize;
use tokio::net::TcpListener;

use crate::body_stream::AnswerBody;
use crate::gateway::GatewayState;

#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
struct StatusDocument {
    vm: VmId,
    revision: Revision,
    epoch: Epoch,
    serves_keyed: bool,
    /// The bytes sent to peers since the process started.
    peer_bytes_out: u64,
}

#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
struct ErrorDocument {
    error: &'static str,
}

/// Serves operators' tools until the task is aborted.
pub async fn run_admin_server(state: Arc<GatewayState>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let state = Arc::clone(&state);
        tokio::spawn(async move {
            let service = service_fn(move |request| {
                let response = answer(&state, &request);
                async move { Ok::<_, Infallible>(response) }
            });
            let _ = http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}

fn answer(state: &GatewayState, request: &Request<Incoming>) -> Response<AnswerBody> {
    let path = request.uri().path();
    if request.method() != Method::GET {
        return document(
            StatusCode::METHOD_NOT_ALLOWED,
            &ErrorDocument { error: "only GET" },
        );
    }
    match path {
        "/v1/status" => document(StatusCode::OK, &status(state)),
        "/v1/burn" => document(
            StatusCode::OK,
            &state.burn.snapshot(state.clock.now(), &state.node),
        ),
        "/metrics" => metrics(state),
        _ => match path.strip_prefix("/v1/explain/target/") {
            Some(id) => explain(state, id),
            None => document(
                StatusCode::NOT_FOUND,
                &ErrorDocument {
                    error: "no such page",
                },
            ),
        },
    }
}

fn status(state: &GatewayState) -> StatusDocument {
    StatusDocument {
        vm: state.settings.vm.clone(),
        revision: state.config.revision(),
        epoch: state.epoch.epoch(),
        serves_keyed: state.may_serve_keyed(),
        peer_bytes_out: state
            .outbox
            .handle()
            .map_or(0, |handle| handle.counters().bytes_out),
    }
}

fn metrics(state: &GatewayState) -> Response<AnswerBody> {
    match state.meters.encode() {
        Ok(text) => {
            let mut response = Response::new(AnswerBody::buffered(text));
            let content_type = HeaderValue::from_static("text/plain; version=0.0.4");
            response.headers_mut().insert(CONTENT_TYPE, content_type);
            response
        }
        Err(_) => document(
            StatusCode::INTERNAL_SERVER_ERROR,
            &ErrorDocument {
                error: "the metrics cannot be encoded",
            },
        ),
    }
}

#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
struct TargetDocument {
    target: TargetId,
    standing: TargetStanding,
    in_flight: u32,
    /// The evaluation of the target, which only its evaluators have.
    #[serde(rename = "judgement", skip_serializing_if = "Option::is_none")]
    evaluation: Option<TargetExplanation>,
}

fn explain(state: &GatewayState, id: &str) -> Response<AnswerBody> {
    let target = id.parse().ok().and_then(|id| state.config.target(&id));
    let Some(target) = target else {
        let error = ErrorDocument {
            error: "no such target",
        };
        return document(StatusCode::NOT_FOUND, &error);
    };
    let explanation = TargetDocument {
        standing: state.health.standing(&target.service, &target.id),
        in_flight: state.targets.pool(&target).in_flight(),
        evaluation: state.health.explain(&target.service, &target.id),
        target: target.id,
    };
    document(StatusCode::OK, &explanation)
}

fn document(status: StatusCode, body: &impl Serialize) -> Response<AnswerBody> {
    let text = serde_json::to_vec(body).expect("admin documents are always valid JSON");
    let mut response = Response::new(AnswerBody::buffered(text));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}
